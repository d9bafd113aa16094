// Package groupcontrol controls a rank group from the sidecars of its backend
// servers. It does the I/O around the packages lease, experts and mapswitch.
//
// Each sidecar of a group is a member: it passes the commands of the coordinator
// to the ranks of its backend server and votes on map switches. The sidecar
// that holds the lease of the group is also the coordinator: it collects expert
// counts from all members, decides whether to rebalance and drives the switch.
//
// One goroutine, the event loop, owns the state machines. The others (rank
// commands, weights, planner, and one sender for each other member) exchange
// messages with it through rings. Any message may be lost; the state machines
// retransmit.
package groupcontrol
