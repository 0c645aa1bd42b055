package almondstep

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
)

// OrganisationName names an organisation in the configuration of the routes.
type OrganisationName string

// OrganisationSpec is the input of NewOrganisation.
type OrganisationSpec struct {
	Name OrganisationName
	// Keys are the API keys of the organisation's callers. They are secret.
	Keys []string
	// KeyDigests are the texts of the digests of further keys, see KeyDigestText.
	KeyDigests []string
	// Priority replaces that of a route; nil keeps the route's.
	Priority *int
	// Rate and Burst limit the requests of the organisation at all daemons together: Rate
	// in requests per second, Burst in requests. A Rate of 0 sets no limit.
	Rate  float64
	Burst float64
	// Regions are the regions whose upstreams may receive the requests; empty allows all.
	Regions []RegionName
}

// Organisation is a group of callers with common API keys, limits and regions. It is
// immutable.
type Organisation struct {
	name     OrganisationName
	priority *int
	rate     float64
	burst    float64
	regions  []RegionName
	digests  []keyDigest
}

// keyDigest is the hash of an API key, under which the organisation is looked up: the
// duration of a look-up doesn't reveal how much of a key is correct.
type keyDigest [sha256.Size]byte

func digestOf(apiKey string) keyDigest { return sha256.Sum256([]byte(apiKey)) }

// KeyDigestText returns the digest of an API key as a text, which identifies the key without
// revealing it; empty for an empty key, which is invalid.
func KeyDigestText(apiKey string) string {
	if apiKey == "" {
		return ""
	}
	d := digestOf(apiKey)
	return hex.EncodeToString(d[:])
}

// parseDigest parses the text of a digest, and reports whether it is one.
func parseDigest(text string) (d keyDigest, ok bool) {
	b, err := hex.DecodeString(text)
	if err != nil || len(b) != len(d) {
		return d, false
	}
	return keyDigest(b), true
}

// NewOrganisation validates the spec and returns its organisation, or ErrInvalid. The error
// names no key.
func NewOrganisation(spec OrganisationSpec) (*Organisation, error) {
	fail := func(problem string) (*Organisation, error) {
		return nil, errors.Wrapf(ErrInvalid, "organisation %q: %s", spec.Name, problem)
	}
	switch {
	case spec.Name == "":
		return fail("the name is missing")
	case !fitsHeader(string(spec.Name)):
		return fail("the name has control characters, or spaces around it")
	case spec.Rate < 0:
		return fail("the rate is negative")
	case spec.Burst < 0:
		return fail("the burst is negative")
	case slices.Contains(spec.Keys, ""):
		return fail("a key is empty")
	}
	o := &Organisation{
		name:     spec.Name,
		priority: spec.Priority,
		rate:     spec.Rate,
		burst:    spec.Burst,
		regions:  spec.Regions,
	}
	for _, k := range spec.Keys {
		o.digests = append(o.digests, digestOf(k))
	}
	for _, text := range spec.KeyDigests {
		d, ok := parseDigest(text)
		if !ok {
			return fail("a key or its digest is invalid")
		}
		o.digests = append(o.digests, d)
	}
	return o, nil
}

// fitsHeader reports whether a text can be the value of a header field as it is.
func fitsHeader(text string) bool {
	isControl := func(r rune) bool { return r < ' ' || r == 0x7f }
	return !strings.ContainsFunc(text, isControl) && strings.TrimSpace(text) == text
}

// Name is the organisation's name, which upstreams receive.
func (o *Organisation) Name() OrganisationName { return o.name }

// Limited reports whether the organisation's rate of requests is limited.
func (o *Organisation) Limited() bool { return o.rate > 0 }

// Rate is the limit in requests per second at all daemons together; 0 if there is none.
func (o *Organisation) Rate() float64 { return o.rate }

// Burst is the number of requests allowed in addition to those of the rate.
func (o *Organisation) Burst() float64 { return o.burst }

// noRegion is the name of no region, for a route whose regions exclude all of those that its
// caller's organisation allows.
const noRegion = RegionName("-")

// RouteFor returns the route as it applies to the requests of an organisation: with the
// organisation's priority, and only with the regions that both allow.
func (o *Organisation) RouteFor(r *Route) *Route {
	if o.priority == nil && len(o.regions) == 0 {
		return r
	}
	spec := r.spec
	if o.priority != nil {
		spec.Priority = *o.priority
	}
	spec.Regions = commonRegions(spec.Regions, o.regions)
	return &Route{spec: spec}
}

// commonRegions returns the regions that both lists allow; an empty list allows all.
func commonRegions(a, b []RegionName) []RegionName {
	switch {
	case len(a) == 0:
		return b
	case len(b) == 0:
		return a
	}
	var common []RegionName
	for _, region := range a {
		if slices.Contains(b, region) {
			common = append(common, region)
		}
	}
	if len(common) == 0 {
		return []RegionName{noRegion}
	}
	return common
}
