package hedge

// Window is the number of requests over which the share of extra requests holds. It is
// counted in requests and not in time, because requests would leave a window of time while
// the hedges made for them stay in it, and the share would be exceeded afterwards.
const Window = 1000

// borrowedShare is the part of the allowed hedges up to which a route may make more than its
// own part.
const borrowedShare = 0.5

// shareWindow counts the hedges of a service within its last requests.
//
// A hedge is allowed if the hedges within the window, with it, are at most the share of the
// requests there. A route has a part of them by its own requests. Beyond that it may use what
// the other routes leave, until half of all is used: the other half is for routes that
// haven't used their own part.
type shareWindow struct {
	share float64
	// ring holds the last requests; next is the place of the next one.
	ring   []windowEntry
	next   int
	hedges int
	routes map[string]*routeUse
}

// windowEntry is a request, with the routes of the hedges made until the next one.
type windowEntry struct {
	route  string
	hedges []string
}

// routeUse counts the requests and the hedges of a route within the window.
type routeUse struct{ requests, hedges int }

func newShareWindow(share float64) *shareWindow {
	return &shareWindow{share: share, routes: make(map[string]*routeUse)}
}

func (w *shareWindow) use(route string) *routeUse {
	u, ok := w.routes[route]
	if !ok {
		u = &routeUse{}
		w.routes[route] = u
	}
	return u
}

// recordRequest adds a request, which displaces the oldest one with its hedges.
func (w *shareWindow) recordRequest(route string) {
	w.use(route).requests++
	entry := windowEntry{route: route}
	if len(w.ring) < Window {
		w.ring = append(w.ring, entry)
		return
	}
	w.remove(w.ring[w.next])
	w.ring[w.next] = entry
	w.next = (w.next + 1) % Window
}

func (w *shareWindow) remove(e windowEntry) {
	w.routes[e.route].requests--
	w.hedges -= len(e.hedges)
	for _, route := range e.hedges {
		w.routes[route].hedges--
		w.forgetUnused(route)
	}
	w.forgetUnused(e.route)
}

func (w *shareWindow) forgetUnused(route string) {
	if u, ok := w.routes[route]; ok && *u == (routeUse{}) {
		delete(w.routes, route)
	}
}

// check returns whether the share of extra requests allows another hedge of a route.
func (w *shareWindow) check(route string) Reason {
	u, ok := w.routes[route]
	allowed := w.share * float64(len(w.ring))
	switch with := float64(w.hedges + 1); {
	case !ok || with > allowed:
		return ShareUsed
	case float64(u.hedges+1) > w.share*float64(u.requests) && with > borrowedShare*allowed:
		return RouteShareUsed
	default:
		return Allowed
	}
}

// recordHedge adds a hedge after the last request.
func (w *shareWindow) recordHedge(route string) {
	last := &w.ring[(w.next+len(w.ring)-1)%len(w.ring)]
	last.hedges = append(last.hedges, route)
	w.use(route).hedges++
	w.hedges++
}
