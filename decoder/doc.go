// Package decoder reads JSON with comments and remembers where each value
// stands.
//
// The operators' text and the settings are written by hand. Whoever made five
// mistakes in one file wants to see five lines, each with its place, and not
// one line five times over. So a value of the wrong type doesn't stop the
// reading: it becomes a Problem, and the checks that follow add theirs.
//
//	{"slots": "two", "conections": 25}
//
// gives two problems:
//
//	1:11: slots: a string instead of a whole number: write a whole number here
//	1:18: unknown key "conections": remove it or correct it; known here: connections, slots
package decoder
