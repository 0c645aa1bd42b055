// Package patcher makes and applies patches between two editions of a JSON
// document (with or without comments).
//
// A document is cut into spans: one for each element of a list in the outermost
// object, with the comma, blanks and comments before it. The spans put together
// are the document, byte for byte, so comments and layout survive and the hash
// of the whole comes out right. A patch says which runs of the old edition's
// spans to copy and what to insert between them, so several edits make one
// patch, and its size depends on what changed and not on the document.
//
//	old:   {"zones": [{"name": "a"}, {"name": "b"}, {"name": "c"}]}
//	new:   {"zones": [{"name": "a"}, {"name": "b", "out": true}, {"name": "c"}]}
//	patch: [[0,1]," {\"name\": \"b\", \"out\": true},",[2,2]]
//
// which reads: copy 1 span from 0 on, insert the text, copy 2 spans from 2 on.
package patcher
