package server_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"almondstep"
	"almondstep/server"
)

// countingFrontend counts the searches that reach it.
type countingFrontend struct {
	almondstep.Frontend
	searches int
}

func (c *countingFrontend) Search(context.Context, *almondstep.SearchArrived) *almondstep.Answer {
	c.searches++
	return &almondstep.Answer{Outcome: almondstep.OutcomeComplete}
}

// A body above MaxBodyBytes is refused and starts no search, with or without a
// Content-Length.
func TestBodyIsBounded(t *testing.T) {
	const maxBody = 1024
	frontend := &countingFrontend{}
	s := &server.Server{Name: "test", Routes: server.CallerRoutes(frontend, maxBody), MaxBodyBytes: maxBody}
	if err := s.Init(); err != nil {
		t.Fatal(err)
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go s.Serve(l)
	t.Cleanup(func() { s.Close() })
	body := `{"name": "n", "tenant": "t", "class": "c", "text": "` + strings.Repeat("x", maxBody) + `"}`
	for _, c := range []struct {
		name   string
		body   io.Reader
		status int
	}{
		{"length given", strings.NewReader(body), http.StatusRequestEntityTooLarge},
		{"length not given", io.MultiReader(strings.NewReader(body)), http.StatusBadRequest},
	} {
		resp, err := http.Post("http://"+l.Addr().String()+server.PathSearch, "application/json", c.body)
		if err != nil {
			t.Fatal(err)
		}
		resp.Body.Close()
		if got, want := resp.StatusCode, c.status; got != want {
			t.Errorf("%s: got status %d, want %d", c.name, got, want)
		}
	}
	if got, want := frontend.searches, 0; got != want {
		t.Errorf("got %d searches, want %d", got, want)
	}
}
