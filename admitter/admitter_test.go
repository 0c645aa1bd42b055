package admitter_test

import (
	"fmt"
	"testing"
	"time"

	"almondstep"
	"almondstep/admitter"
)

func catalog() *almondstep.Catalog {
	c, err := almondstep.NewCatalog(almondstep.CatalogConfig{Tenants: []almondstep.TenantConfig{
		{Name: "flood", Share: 1, MaxOpen: 1_000}, {Name: "other", Share: 1, MaxOpen: 1_000},
	}})
	if err != nil {
		panic(err)
	}
	return c
}

func request(tenant almondstep.TenantName, priority int) admitter.Request {
	t, _ := catalog().Tenant(tenant)
	return admitter.Request{Service: "desk", Tenant: t, Priority: priority, Remaining: time.Second}
}

func ExampleAdmitter() {
	c, a := catalog(), admitter.New(100, 1)
	admitted := func(tenant almondstep.TenantName) int {
		n := 0
		for range 1_000 {
			if _, ok := a.Admit(c, request(tenant, 0)); ok {
				n++
			}
		}
		return n
	}
	fmt.Println(admitted("flood"), admitted("other"))
	// Output: 75 25
}

// A class leaves a quarter of the limit to each class above it, but may use at
// least a quarter. A single tenant with half of the shares may use at most three
// quarters.
func TestLowerClassesLeaveRoom(t *testing.T) {
	for priority, want := range []int{75, 75, 50, 25, 25} {
		c, a := catalog(), admitter.New(100, 1)
		for range 1_000 {
			a.Admit(c, request("flood", priority))
		}
		if got := a.Open(); got != want {
			t.Errorf("priority %d: got %d open, want %d", priority, got, want)
		}
		if _, ok := a.Admit(c, request("other", 0)); !ok {
			t.Errorf("priority %d: got an urgent query of another tenant refused, want it admitted", priority)
		}
	}
}

// A tenant's MaxOpen is divided among the partitions of a daemon, rounded up.
func TestTenantBound(t *testing.T) {
	c, a := catalog(), admitter.New(100, 4)
	r := request("flood", 0)
	r.Tenant.MaxOpen = 10
	for range 20 {
		a.Admit(c, r)
	}
	if got, want := a.Open(), 3; got != want {
		t.Errorf("got %d open, want %d", got, want)
	}
}

// A query that can't meet its deadline is refused, but one in 16 is admitted,
// so that a service that has become fast again is detected.
func TestInfeasibleDeadline(t *testing.T) {
	c, a := catalog(), admitter.New(100, 1)
	r := request("other", 0)
	r.TypicalLatency = 2 * time.Second
	admitted := 0
	for range 160 {
		code, ok := a.Admit(c, r)
		if !ok && code != almondstep.CodeDeadline {
			t.Fatalf("got code %q, want %q", code, almondstep.CodeDeadline)
		}
		if ok {
			admitted++
		}
	}
	if got, want := admitted, 10; got != want {
		t.Errorf("got %d admitted, want %d", got, want)
	}
}

// Released queries no longer count towards the limit, in whatever order they are
// released.
func TestReleaseMakesRoom(t *testing.T) {
	c, a := catalog(), admitter.New(100, 1)
	for range 3 {
		for range 100 {
			a.Admit(c, request("flood", 0))
			a.Admit(c, request("other", 0))
		}
		if got, want := a.Open(), 100; got != want {
			t.Fatalf("got %d open, want %d", got, want)
		}
		for range 50 {
			a.Release("desk", "other", false)
			a.Release("desk", "flood", false)
		}
		if got, want := a.Open(), 0; got != want {
			t.Fatalf("got %d open, want %d", got, want)
		}
	}
}
