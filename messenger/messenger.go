// Package messenger carries messages between daemons by twirp.
//
// A call that fails says whether it can have had an effect: ErrNotRun if the
// connection was refused or the other daemon refused, ErrUnavailable otherwise.
// Everything the tier promises about requests that run at most once rests on
// that difference, so nothing here ever sends a message a second time.
package messenger
