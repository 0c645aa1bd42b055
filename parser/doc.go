// Package parser parses and validates the configuration.
//
// It checks everything that later code relies on before a text can be accepted:
// names are unique, a name refers to one service in each scheme, every
// referenced name exists, dependencies have no cycle, and every number is in its
// range. All problems are reported at once.
//
//	catalog, err := parser.Parse(body)
//	var invalid *decoder.InvalidError
//	if errors.As(err, &invalid) {
//		for _, p := range invalid.Problems() { ... p.Line(), p.Column(), p.Reason(), p.Remedy() }
//	}
package parser
