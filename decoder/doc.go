// Package decoder decodes JSON with comments and keeps the position of each
// value.
//
// The configuration and the settings are written by hand, so all errors in a
// file are reported at once, each with its position. A value of the wrong type
// therefore doesn't stop decoding: it is recorded as a Problem, and later checks
// add theirs.
//
//	{"slots": "two", "conections": 25}
//
// yields two problems:
//
//	1:11: slots: a string instead of a whole number: write a whole number here
//	1:18: unknown key "conections": remove it or correct it; known here: connections, slots
package decoder
