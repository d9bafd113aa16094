// Package standin provides stand-ins (test fakes) for the systems that
// filbertmux depends on, for tests and the demo: the platform (log, instance
// list, weight store), model engines, rank groups and plain services.
//
// Each stand-in serves HTTP and is safe for concurrent use. The platform's faults
// can be injected at run time, from Go or by PUT /v1/faults.
package standin
