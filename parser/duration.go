package parser

import (
	"fmt"
	"strings"
	"time"

	"almondstep/decoder"
)

// checkDuration parses a duration and checks its range. If the duration is missing,
// invalid or out of range, it returns 0 and records a problem, unless decoding has
// recorded one already.
func (c *checker) checkDuration(path, text string, lower, upper time.Duration) time.Duration {
	d, err := time.ParseDuration(text)
	if err == nil && d >= lower && d <= upper {
		return d
	}
	field := path[strings.LastIndexByte(path, '/')+1:]
	remedy := fmt.Sprintf("write a duration from %s to %s with its unit, like \"40ms\"", lower, upper)
	switch {
	case !c.positions.Has(path):
		c.add(path, remedy, "%s is missing", field)
	case c.positions.At(path).Kind() != decoder.KindString:
		// Reported when it was decoded.
	case err != nil:
		c.add(path, remedy, "%s %q is no duration", field, text)
	default:
		c.add(path, remedy, "%s is %s", field, d)
	}
	return 0
}
