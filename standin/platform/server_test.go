package platform_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"almondstep/standin/platform"
)

// do sends one request and returns the status and body of its answer; status 0 means no
// answer.
func do(t *testing.T, srv *httptest.Server, method, path, body string) (int, string) {
	t.Helper()
	r, err := http.NewRequest(method, srv.URL+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	resp, err := srv.Client().Do(r)
	if err != nil {
		return 0, ""
	}
	defer func() { _ = resp.Body.Close() }()
	got, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, string(got)
}

// Checks a sequence of calls over plain HTTP, malformed calls included.
func TestSession(t *testing.T) {
	srv := httptest.NewServer(&platform.Server{})
	defer srv.Close()
	for _, step := range []struct {
		method, path, body string
		status             int
		want               string
	}{
		{"GET", "/v1/kv?key=a", "", 404, ""},
		{"PUT", "/v1/kv?key=a&base=0", "one", 200, ""},
		{"GET", "/v1/kv?key=a", "", 200, "one"},
		{"PUT", "/v1/kv?key=a&base=0", "two", 409, ""},
		{"GET", "/v1/kv?key=a&after=1&waitMillis=1", "", 304, ""},
		{"PUT", "/v1/kv?key=b&base=0", strings.Repeat("x", platform.MaxValueBytes+1), 413, ""},
		{"GET", "/v1/kv?key=b", "", 404, ""},
		{"GET", "/v1/kv", "", 400, ""},
		{"PUT", "/v1/kv?key=a", "x", 400, ""},
		{"GET", "/v1/kv?key=a&after=x&waitMillis=1", "", 400, ""},
		{"PUT", "/v1/lease?key=z&holder=h", "", 400, ""},
		{"PUT", "/v1/lease?key=z&holder=h&ttlMillis=1000", "", 204, ""},
		{"PUT", "/v1/lease?key=z&holder=i&ttlMillis=1000", "", 409, ""},
		{"PUT", "/v1/fleet", "{", 400, ""},
		{"PUT", "/v1/fleet", `{"daemons":[],"upstreams":[]}`, 200, `{"revision":1}`},
		{"GET", "/v1/fleet", "", 200, `{"revision":1,"daemons":[],"upstreams":[]}`},
		{"PUT", "/switches", `{"outage":true}`, 200, ""},
		{"GET", "/v1/kv?key=a", "", 503, ""},
		{"PUT", "/v1/kv?key=a&base=1", "two", 503, ""},
		{"PUT", "/switches", `{}`, 200, ""},
		{"PUT", "/v1/kv?key=a&base=1", "two", 200, ""},
		{"POST", "/rollback?key=a&writes=1", "", 200, ""},
		{"GET", "/v1/kv?key=a", "", 200, "one"},
		{"POST", "/rollback?key=a&writes=5", "", 400, ""},
		{"GET", "/counts", "", 200, `{"fleet":1,"get":8,"lease":3,"put":6}`},
	} {
		status, body := do(t, srv, step.method, step.path, step.body)
		if status != step.status {
			t.Errorf("%s %s: got status %d, want %d", step.method, step.path, status, step.status)
		}
		if got := strings.TrimSpace(body); step.want != "" && got != step.want {
			t.Errorf("%s %s: got %s, want %s", step.method, step.path, got, step.want)
		}
	}
}
