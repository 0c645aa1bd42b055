package parser

import (
	"almondstep"
	"almondstep/decoder"
)

// Problem is one thing that is wrong in a text, where, and what to do.
type Problem = decoder.Problem

// Parse checks the operators' text. The error lists all problems at once; it
// is a *decoder.InvalidError and an almondstep.ErrInvalid.
func Parse(body []byte) (*almondstep.Catalog, error) {
	return ParseFile("", body)
}

// ParseFile is Parse for a text whose file's name goes before each problem.
func ParseFile(file string, body []byte) (*almondstep.Catalog, error) {
	doc, err := decoder.Parse(body)
	if err != nil {
		return nil, decoder.WithFile(err, file)
	}
	c := &checker{seen: make(map[almondstep.ServiceName]int)}
	c.places = doc.Decode(&c.text)
	c.check()
	if err := doc.Err(file); err != nil {
		return nil, err
	}
	return almondstep.NewCatalog(c.text)
}
