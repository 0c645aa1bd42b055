// Package messenger carries messages between daemons by twirp.
//
// The error of a failed call shows whether the call can have had an effect: it is
// ErrNotRun if the dial failed or the other daemon refused the call, which excludes
// an effect, and ErrUnavailable otherwise. The guarantee that requests run at most
// once depends on that difference, and on never sending a message twice.
package messenger
