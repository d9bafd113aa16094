// Package untrusted holds tests with clients that keep to no limits: many large
// bodies at once, bodies that never end, and connections that stay open.
//
// Each test starts the daemons as processes on loopback addresses and checks what
// doesn't depend on the speed of the host: that the process lives, that its memory and
// its sockets stay within the limits of its settings, and that it still serves an
// ordinary request while the other clients stay connected. The tests run one at a time.
package untrusted
