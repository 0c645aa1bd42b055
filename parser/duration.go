package parser

import (
	"fmt"
	"strings"
	"time"

	"almondstep/decoder"
)

// duration checks a duration's unit and range. It gives 0 if it is missing or bad.
func (c *checker) duration(path, text string, least, most time.Duration) time.Duration {
	d, err := time.ParseDuration(text)
	if err == nil && d >= least && d <= most {
		return d
	}
	field := path[strings.LastIndexByte(path, '/')+1:]
	remedy := fmt.Sprintf("write a duration from %s to %s with its unit, like \"40ms\"", least, most)
	switch {
	case !c.places.Has(path):
		c.add(path, remedy, "%s is missing", field)
	case c.places.At(path).Kind() != decoder.KindString:
		// Reported when it was decoded.
	case err != nil:
		c.add(path, remedy, "%s %q is no duration", field, text)
	default:
		c.add(path, remedy, "%s is %s", field, d)
	}
	return 0
}
