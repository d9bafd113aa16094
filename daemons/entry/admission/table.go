package admission

import (
	"slices"

	"github.com/filbertmux/filbertmux/config/table"
	"github.com/filbertmux/filbertmux/serve/fairqueue"
)

// applyTable takes classes, reserves and weights from the table in force. The
// caller holds mu.
func (a *Controller) applyTable() {
	view := a.config.View()
	if view == a.view {
		return
	}
	a.view = view
	classes := classesOf(view)
	changed := !slices.Equal(classes, a.classes)
	a.classes = classes
	for _, s := range a.services {
		// SetClasses forgets the shares served so far, so it is called only for
		// a real change.
		if changed {
			s.queue.SetClasses(classes)
		}
		setWeights(s.queue, view)
	}
}

// classesOf returns the classes, the most urgent first.
func classesOf(view *table.View) []fairqueue.Class {
	var classes []fairqueue.Class
	for _, c := range view.Classes() {
		classes = append(classes, fairqueue.Class{Name: c.Name, Reserve: c.Reserve})
	}
	return classes
}

func setWeights(queue *fairqueue.Queue[*waiter], view *table.View) {
	for _, o := range view.Organisations() {
		queue.SetWeight(o.Name, view.WeightOf(o.Name))
	}
}
