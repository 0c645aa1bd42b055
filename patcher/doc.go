// Package patcher makes and applies patches between two versions of a JSON
// document (with or without comments).
//
// A document is cut into spans: one for each element of a list in the outermost
// object, with the blanks and comments before it and the comma after it. The
// concatenated spans are the document, byte for byte, so a patch preserves comments
// and layout and reproduces the hash of the whole. A patch lists the runs of the old
// version's spans to copy and the text to insert between them, so several edits make
// one patch, and its size depends on the changes and not on the document.
//
//	old:   {"zones": [{"name": "a"}, {"name": "b"}, {"name": "c"}]}
//	new:   {"zones": [{"name": "a"}, {"name": "b", "out": true}, {"name": "c"}]}
//	patch: [[0,1]," {\"name\": \"b\", \"out\": true},",[2,1]]
//
// The patch means: copy 1 span from 0 on, insert the text, copy 1 span from 2 on.
package patcher
