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

// Meaning is one thing a name stands for.
type Meaning struct {
	scheme  almondstep.SchemeName
	service almondstep.ServiceName
}

// Scheme is the scheme that has the name; empty for a canonical name.
func (m Meaning) Scheme() almondstep.SchemeName { return m.scheme }

// Service is what the name means there.
func (m Meaning) Service() almondstep.ServiceName { return m.service }

// String writes the meaning for people.
func (m Meaning) String() string {
	if m.scheme == "" {
		return fmt.Sprintf("%s by its own name", m.service)
	}
	return fmt.Sprintf("%s in %s", m.service, m.scheme)
}

// Meanings lists all a name stands for, the schemes in the order of the text
// and a canonical name last.
func Meanings(c *almondstep.Catalog, name string) []Meaning {
	var meanings []Meaning
	for _, scheme := range c.Schemes() {
		if s, ok := c.Lookup(scheme, name); ok {
			meanings = append(meanings, Meaning{scheme: scheme, service: s})
		}
	}
	if s, ok := c.Service(almondstep.ServiceName(name)); ok {
		meanings = append(meanings, Meaning{service: s.Name()})
	}
	return meanings
}

// Resolve finds the service that a name means in a scheme, or in any if scheme
// is empty. The error is an almondstep.ErrAmbiguousName that lists all meanings,
// or an almondstep.ErrNotFound with names that are close.
func Resolve(c *almondstep.Catalog, scheme almondstep.SchemeName, name string) (almondstep.ServiceName, error) {
	if scheme != "" {
		return resolveIn(c, scheme, name)
	}
	meanings := Meanings(c, name)
	if len(meanings) == 0 {
		return "", errors.Wrapf(almondstep.ErrNotFound, "no service is called %q%s", name, hint(c, "", name))
	}
	for _, m := range meanings[1:] {
		if m.service != meanings[0].service {
			return "", errors.Wrapf(almondstep.ErrAmbiguousName, "%q means %s; give the scheme", name, list(meanings))
		}
	}
	return meanings[0].service, nil
}

func resolveIn(c *almondstep.Catalog, scheme almondstep.SchemeName, name string) (almondstep.ServiceName, error) {
	if s, ok := c.Lookup(scheme, name); ok {
		return s, nil
	}
	if !slices.Contains(c.Schemes(), scheme) {
		return "", errors.Wrapf(almondstep.ErrNotFound, "scheme %q doesn't exist; there are %v", scheme, c.Schemes())
	}
	return "", errors.Wrapf(almondstep.ErrNotFound, "scheme %q has no name %q%s", scheme, name, hint(c, scheme, name))
}

func list(meanings []Meaning) string {
	parts := make([]string, 0, len(meanings))
	for _, m := range meanings {
		parts = append(parts, m.String())
	}
	return strings.Join(parts, ", ")
}

const (
	// maxHints is the number of close names an error lists.
	maxHints = 3
	// maxDistance is the number of changed characters up to which a name is close.
	maxDistance = 3
)

// hint lists names of a scheme, or of all if it is empty, that are close.
func hint(c *almondstep.Catalog, scheme almondstep.SchemeName, name string) string {
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
	for _, found := range near[:min(len(near), maxHints)] {
		names = append(names, fmt.Sprintf("%q", found.name))
	}
	return "; close to it: " + strings.Join(slices.Compact(names), ", ")
}

// distance is the number of characters to insert, delete or replace to make b
// out of a; more than maxDistance if the lengths rule closeness out.
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
