package parser

import (
	"almondstep"
	"almondstep/decoder"
)

// Problem is one error in a text with its position and a remedy.
type Problem = decoder.Problem

// Parse parses and checks the configuration. The error lists all problems at
// once; it is a *decoder.InvalidError and an almondstep.ErrInvalid.
func Parse(body []byte) (*almondstep.Catalog, error) {
	return ParseFile("", body)
}

// ParseFile is like Parse, and prefixes each problem in the error's text with the
// file's name.
func ParseFile(file string, body []byte) (*almondstep.Catalog, error) {
	doc, err := decoder.Parse(body)
	if err != nil {
		return nil, decoder.WithFile(err, file)
	}
	c := &checker{serviceIndex: make(map[almondstep.ServiceName]int)}
	c.positions = doc.Decode(&c.text)
	c.check()
	if err := doc.Err(file); err != nil {
		return nil, err
	}
	return almondstep.NewCatalog(c.text)
}
