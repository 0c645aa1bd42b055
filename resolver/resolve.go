package resolver

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"

	"almondstep"
)

// Match is one service that a name refers to.
type Match struct {
	scheme  almondstep.SchemeName
	service almondstep.ServiceName
}

// Scheme returns the scheme that has the name; it is empty if the name is the
// service's canonical one.
func (m Match) Scheme() almondstep.SchemeName { return m.scheme }

// Service returns the service that the name refers to.
func (m Match) Service() almondstep.ServiceName { return m.service }

// String formats the match for error messages.
func (m Match) String() string {
	if m.scheme == "" {
		return fmt.Sprintf("%s by its own name", m.service)
	}
	return fmt.Sprintf("%s in %s", m.service, m.scheme)
}

// Matches lists all services that a name refers to: by scheme, in the order of the
// configuration, and by canonical name last.
func Matches(c *almondstep.Catalog, name string) []Match {
	var matches []Match
	for _, scheme := range c.Schemes() {
		if s, ok := c.Lookup(scheme, name); ok {
			matches = append(matches, Match{scheme: scheme, service: s})
		}
	}
	if s, ok := c.Service(almondstep.ServiceName(name)); ok {
		matches = append(matches, Match{service: s.Name()})
	}
	return matches
}

// Resolve returns the service that a name refers to in a scheme, or in any if
// scheme is empty. The error is an almondstep.ErrAmbiguousName that lists all
// matches, or an almondstep.ErrNotFound that suggests similar names.
func Resolve(c *almondstep.Catalog, scheme almondstep.SchemeName, name string) (almondstep.ServiceName, error) {
	if scheme != "" {
		return resolveIn(c, scheme, name)
	}
	matches := Matches(c, name)
	if len(matches) == 0 {
		return "", errors.Wrapf(almondstep.ErrNotFound, "no service is called %q%s", name, suggestions(c, "", name))
	}
	for _, m := range matches[1:] {
		if m.service != matches[0].service {
			return "", errors.Wrapf(almondstep.ErrAmbiguousName, "%q means %s; give the scheme", name, joinMatches(matches))
		}
	}
	return matches[0].service, nil
}

func resolveIn(c *almondstep.Catalog, scheme almondstep.SchemeName, name string) (almondstep.ServiceName, error) {
	if s, ok := c.Lookup(scheme, name); ok {
		return s, nil
	}
	if !slices.Contains(c.Schemes(), scheme) {
		return "", errors.Wrapf(almondstep.ErrNotFound, "scheme %q doesn't exist; there are %v", scheme, c.Schemes())
	}
	return "", errors.Wrapf(almondstep.ErrNotFound, "scheme %q has no name %q%s", scheme, name, suggestions(c, scheme, name))
}

func joinMatches(matches []Match) string {
	parts := make([]string, 0, len(matches))
	for _, m := range matches {
		parts = append(parts, m.String())
	}
	return strings.Join(parts, ", ")
}

const (
	// maxSuggestions is the number of similar names that an error lists.
	maxSuggestions = 3
	// maxDistance is the largest Levenshtein distance of a similar name.
	maxDistance = 3
)

// suggestions lists similar names of a scheme for an error message. If scheme is
// empty, it lists names of all schemes and canonical names.
func suggestions(c *almondstep.Catalog, scheme almondstep.SchemeName, name string) string {
	type candidate struct {
		name     string
		distance int
	}
	var near []candidate
	consider := func(other string) {
		if d := distance(name, other); d <= maxDistance && d < len(other) {
			near = append(near, candidate{name: other, distance: d})
		}
	}
	for _, t := range c.Config().Services {
		for _, s := range slices.Sorted(maps.Keys(t.Names)) {
			if scheme == "" || scheme == s {
				consider(t.Names[s])
			}
		}
		if scheme == "" {
			consider(string(t.Name))
		}
	}
	if len(near) == 0 {
		return ""
	}
	slices.SortStableFunc(near, func(a, b candidate) int { return cmp.Compare(a.distance, b.distance) })
	var names []string
	for _, found := range near[:min(len(near), maxSuggestions)] {
		names = append(names, fmt.Sprintf("%q", found.name))
	}
	return "; close to it: " + strings.Join(slices.Compact(names), ", ")
}

// distance returns the Levenshtein distance of a and b, or maxDistance+1 if their
// lengths differ by more than maxDistance.
func distance(a, b string) int {
	from, to := []rune(a), []rune(b)
	if len(from)-len(to) > maxDistance || len(to)-len(from) > maxDistance {
		return maxDistance + 1
	}
	row := make([]int, len(to)+1)
	for j := range row {
		row[j] = j
	}
	for i, r := range from {
		diagonal := row[0]
		row[0] = i + 1
		for j, s := range to {
			cost := 1
			if r == s {
				cost = 0
			}
			next := min(row[j+1]+1, row[j]+1, diagonal+cost)
			diagonal = row[j+1]
			row[j+1] = next
		}
	}
	return row[len(to)]
}
