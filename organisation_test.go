package almondstep_test

import (
	"testing"

	"github.com/cockroachdb/errors"

	"almondstep"
)

// Guards against a name that ends the field in which upstreams receive it and begins another
// one: calls to upstreams are encoded without a further check.
func TestNameOfOrganisationFitsHeader(t *testing.T) {
	for name, want := range map[almondstep.OrganisationName]bool{
		"ralo620": true, "Peñaflor Sur": true, "a\r\nServer: x": false, "a\x00": false, "a\x7f": false, " a": false, "a\t": false, "": false,
	} {
		_, err := almondstep.NewOrganisation(almondstep.OrganisationSpec{Name: name})
		if got := err == nil; got != want || err != nil && !errors.Is(err, almondstep.ErrInvalid) {
			t.Errorf("%q: got valid %v (%v), want %v", name, got, err, want)
		}
	}
}
