// Package parser turns the operators' text into a checked catalog.
//
// Everything that later code relies on is checked here, once, before a text
// can be accepted: names are unique, a name means one service in each scheme,
// every reference exists, dependencies have no cycle, and every number is in
// its range. All problems are reported at once.
//
//	catalog, err := parser.Parse(body)
//	var invalid *decoder.InvalidError
//	if errors.As(err, &invalid) {
//		for _, p := range invalid.Problems() { ... p.Line(), p.Column(), p.Reason(), p.Remedy() }
//	}
package parser
