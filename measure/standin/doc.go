// Package standin holds small stand-ins for what surrounds filbertmux in
// tests and in the demo: the platform (log, instance list, weight store),
// model engines, rank groups and plain services.
//
// Each stand-in is an http.Handler and is safe for concurrent use. Faults are
// set at run time, from Go or by PUT /v1/faults.
package standin
