package admission

import (
	"slices"

	"github.com/filbertmux/filbertmux/config/table"
	"github.com/filbertmux/filbertmux/serve/fairqueue"
)

// applyTable applies the classes, reserves and weights of the table in force. The
// caller holds mu.
func (c *Controller) applyTable() {
	view := c.config.View()
	if view == c.view {
		return
	}
	c.view = view
	classes := queueClasses(view)
	changed := !slices.Equal(classes, c.classes)
	c.classes = classes
	for _, s := range c.services {
		// SetClasses resets the shares served so far, so it is called only if the
		// classes have changed.
		if changed {
			s.queue.SetClasses(classes)
		}
		setWeights(s.queue, view)
	}
}

// queueClasses returns the classes in descending priority.
func queueClasses(view *table.View) []fairqueue.Class {
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
