// Package groupcontrol runs the control of a rank group in one of the group's
// sidecars. It does the I/O around the packages lease, experts and mapswitch.
//
// Each sidecar of a group is a member: it passes the commands of the holder to
// the ranks of its backend server and votes on map switches. The sidecar with
// the lease is also the holder: it collects expert counts from all members,
// decides whether to rebalance and drives the switch.
//
// One goroutine owns the state machines. The others (rank commands, weights,
// planner, and one sender for each other member) exchange messages with it
// through rings. All messages may be lost; the state machines repeat them.
package groupcontrol
