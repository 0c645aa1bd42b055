// Package messenger carries messages between daemons by twirp.
//
// The error of a failed call distinguishes whether it can have had an effect:
// ErrNotRun if the connection was refused or the other daemon refused the call,
// ErrUnavailable otherwise. The guarantee that requests run at most once depends on
// that difference, so this package never sends a message twice.
package messenger
