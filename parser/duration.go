package parser

import (
	"fmt"
	"strings"
	"time"

	"almondstep/decoder"
)

// duration checks a duration's unit and range. It gives 0 if it is missing or bad.
func (c *checker) duration(path, text string, least, most time.Duration) time.Duration {
	field := path[strings.LastIndexByte(path, '/')+1:]
	remedy := fmt.Sprintf("write a duration from %s to %s with its unit, like \"40ms\"", least, most)
	node := c.places.At(path)
	if !c.places.Has(path) {
		c.add(path, remedy, "%s is missing", field)
		return 0
	}
	if node.Kind() != decoder.KindString {
		return 0
	}
	d, err := time.ParseDuration(text)
	if err != nil {
		c.add(path, remedy, "%s %q is no duration", field, text)
		return 0
	}
	if d < least || d > most {
		c.add(path, remedy, "%s is %s", field, d)
		return 0
	}
	return d
}
