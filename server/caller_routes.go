package server

import (
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/zeromicro/go-zero/rest"
	"github.com/zeromicro/go-zero/rest/httpx"

	"almondstep"
	"almondstep/claimer"
)

const (
	// PathSearch takes a POST with a SearchRequest.
	PathSearch = "/v1/search"
	// PathRun takes a POST with a RunRequest.
	PathRun = "/v1/run"
	// PathReady returns 200 if the daemon is ready for callers' requests, else 503 and the
	// reason.
	PathReady = "/readyz"

	// KeyHeader carries the caller's idempotency key: <unix milliseconds>-<random>.
	KeyHeader = "Almondstep-Key"
	// QueryHeader carries the query's id in the response, as it is logged.
	QueryHeader = "Almondstep-Query"

	maxNameBytes = 512
	maxTextBytes = 64 << 10
	maxLimit     = 10_000
	defaultLimit = 100
	maxDeadline  = 60 * time.Second
)

// SearchRequest is the body of a search.
type SearchRequest struct {
	Scheme almondstep.SchemeName `json:"scheme,omitempty"`
	Name   string                `json:"name"`
	Tenant almondstep.TenantName `json:"tenant"`
	Class  almondstep.ClassName  `json:"class"`
	Text   string                `json:"text"`
	// Limit is the maximum number of records returned, 1 to 10,000; 0 means 100.
	Limit int `json:"limit,omitempty"`
	// Deadline is like "40ms", at most 60s; empty means the class's own.
	Deadline string `json:"deadline,omitempty"`
}

// RunRequest is the body of a request to run an operation.
type RunRequest struct {
	Scheme    almondstep.SchemeName `json:"scheme,omitempty"`
	Name      string                `json:"name"`
	Tenant    almondstep.TenantName `json:"tenant"`
	Class     almondstep.ClassName  `json:"class"`
	Operation string                `json:"operation"`
	// RecordKey is the key of the record the operation is on.
	RecordKey string `json:"recordKey"`
	Body      string `json:"body"`
	// Deadline is like "40ms", at most 60s; empty means the class's own.
	Deadline string `json:"deadline,omitempty"`
}

// Refusal is the body of the response to a malformed request, which has not run. An
// operator's route that fails returns it with only the message set.
type Refusal struct {
	Outcome almondstep.Outcome     `json:"outcome"`
	Code    almondstep.RefusalCode `json:"code"`
	Message string                 `json:"message"`
}

// codeInvalid is the code of a malformed request.
const codeInvalid almondstep.RefusalCode = "invalid"

// CallerRoutes returns the routes for callers of frontend, with bodies of at most
// maxBody bytes.
func CallerRoutes(frontend almondstep.Frontend, maxBody int64) []rest.Route {
	h := callerHandler{frontend: frontend, maxBody: maxBody}
	return []rest.Route{
		{Method: http.MethodPost, Path: PathSearch, Handler: h.search},
		{Method: http.MethodPost, Path: PathRun, Handler: h.run},
		{Method: http.MethodGet, Path: PathReady, Handler: ReadyHandler(frontend)},
	}
}

type callerHandler struct {
	frontend almondstep.Frontend
	maxBody  int64
}

func (h callerHandler) search(w http.ResponseWriter, r *http.Request) {
	var req SearchRequest
	if err := decode(io.LimitReader(r.Body, h.maxBody), &req); err != nil {
		refuse(w, err)
		return
	}
	e, err := req.event()
	if err != nil {
		refuse(w, err)
		return
	}
	reply(w, h.frontend.Search(r.Context(), e))
}

func (h callerHandler) run(w http.ResponseWriter, r *http.Request) {
	var req RunRequest
	if err := decode(io.LimitReader(r.Body, h.maxBody), &req); err != nil {
		refuse(w, err)
		return
	}
	e, err := req.event(r.Header.Get(KeyHeader), time.Now())
	if err != nil {
		refuse(w, err)
		return
	}
	reply(w, h.frontend.Execute(r.Context(), e))
}

// ReadyHandler returns the handler of PathReady.
func ReadyHandler(frontend almondstep.Frontend) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		v := frontend.View()
		if v.Ready() {
			w.WriteHeader(http.StatusOK)
			_, _ = io.WriteString(w, "ready\n")
			return
		}
		w.WriteHeader(http.StatusServiceUnavailable)
		_, _ = io.WriteString(w, v.Unready()+"\n")
	}
}

func (q SearchRequest) event() (*almondstep.SearchArrived, error) {
	if err := checkText("text", q.Text, maxTextBytes); err != nil {
		return nil, err
	}
	if err := checkNames(q.Name, string(q.Scheme), string(q.Tenant), string(q.Class)); err != nil {
		return nil, err
	}
	deadline, err := parseDeadline(q.Deadline)
	if err != nil {
		return nil, err
	}
	limit := q.Limit
	if limit == 0 {
		limit = defaultLimit
	}
	if limit < 0 || limit > maxLimit {
		return nil, errors.Wrapf(almondstep.ErrInvalid, "limit: %d is not from 1 to %d", q.Limit, maxLimit)
	}
	return &almondstep.SearchArrived{
		ID:          almondstep.QueryID(rand.Uint64()),
		Scheme:      q.Scheme,
		Name:        q.Name,
		Tenant:      q.Tenant,
		Class:       q.Class,
		Text:        q.Text,
		Limit:       limit,
		Deadline:    deadline,
		Fingerprint: almondstep.FingerprintOf(q.Name, "", q.Text),
	}, nil
}

func (q RunRequest) event(key string, now time.Time) (*almondstep.RunArrived, error) {
	if err := checkText("body", q.Body, maxTextBytes); err != nil {
		return nil, err
	}
	if err := checkNames(q.Name, string(q.Scheme), string(q.Tenant), string(q.Class)); err != nil {
		return nil, err
	}
	if q.Operation == "" || q.RecordKey == "" {
		return nil, errors.Wrap(almondstep.ErrInvalid, "operation and recordKey are required")
	}
	if err := checkKey(key, now); err != nil {
		return nil, err
	}
	deadline, err := parseDeadline(q.Deadline)
	if err != nil {
		return nil, err
	}
	return &almondstep.RunArrived{
		ID:          almondstep.QueryID(rand.Uint64()),
		Scheme:      q.Scheme,
		Name:        q.Name,
		Tenant:      q.Tenant,
		Class:       q.Class,
		Operation:   q.Operation,
		RecordKey:   q.RecordKey,
		Body:        q.Body,
		Key:         key,
		Deadline:    deadline,
		Fingerprint: almondstep.FingerprintOf(q.Name, q.Operation, q.RecordKey+"\x00"+q.Body),
	}, nil
}

// checkKey rejects a malformed key, and one for which a resend of the request might
// not be recognized. An empty key is allowed: the request then runs as one attempt,
// and a resend counts as another request.
func checkKey(key string, now time.Time) error {
	if key == "" {
		return nil
	}
	k, err := claimer.ParseKey(key)
	if err != nil {
		return errors.Wrap(err, KeyHeader)
	}
	return errors.Wrap(k.Check(now), KeyHeader)
}

func checkNames(names ...string) error {
	for _, n := range names {
		if len(n) > maxNameBytes {
			return errors.Wrapf(almondstep.ErrInvalid, "a name is longer than %d bytes", maxNameBytes)
		}
	}
	return nil
}

func checkText(field, text string, maxBytes int) error {
	if len(text) > maxBytes {
		return errors.Wrapf(almondstep.ErrInvalid, "%s: longer than %d bytes", field, maxBytes)
	}
	return nil
}

func parseDeadline(s string) (time.Duration, error) {
	if s == "" {
		return 0, nil
	}
	d, err := time.ParseDuration(s)
	if err != nil {
		return 0, errors.Wrapf(almondstep.ErrInvalid, "deadline: %q is not a time like 40ms", s)
	}
	if d <= 0 || d > maxDeadline {
		return 0, errors.Wrapf(almondstep.ErrInvalid, "deadline: %s is not above 0 and at most %s", d, maxDeadline)
	}
	return d, nil
}

// decode reads exactly one JSON value without unknown keys.
func decode(body io.Reader, dst any) error {
	d := json.NewDecoder(body)
	d.DisallowUnknownFields()
	if err := d.Decode(dst); err != nil {
		return errors.Wrapf(almondstep.ErrInvalid, "body: %v", err)
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return errors.Wrap(almondstep.ErrInvalid, "body: more than one JSON value")
	}
	return nil
}

func refuse(w http.ResponseWriter, err error) {
	status, code := http.StatusBadRequest, codeInvalid
	if errors.Is(err, claimer.ErrKeyExpired) {
		status, code = http.StatusGone, almondstep.CodeKeyExpired
	}
	httpx.WriteJson(w, status, Refusal{
		Outcome: almondstep.OutcomeNotRun,
		Code:    code,
		Message: err.Error(),
	})
}

func reply(w http.ResponseWriter, a *almondstep.Answer) {
	w.Header().Set(QueryHeader, a.Query.String())
	httpx.WriteJson(w, statusOf(a), a)
}

// statusOf returns the HTTP status of an answer: 200 for an answer, whose coverage
// shows whether it is complete, 4xx if the caller must change the request, 503 if
// it may resend the request unchanged, 504 if the outcome is unknown.
func statusOf(a *almondstep.Answer) int {
	switch a.Outcome {
	case almondstep.OutcomeComplete, almondstep.OutcomePartial:
		return http.StatusOK
	case almondstep.OutcomeUnknown:
		return http.StatusGatewayTimeout
	default:
		return statusOfRefusal(a.Code)
	}
}

func statusOfRefusal(c almondstep.RefusalCode) int {
	switch c {
	case almondstep.CodeUnknownName, almondstep.CodeUnknownOp:
		return http.StatusNotFound
	case almondstep.CodeAmbiguousName, almondstep.CodeKeyInvalid, almondstep.CodeUnknownTenant, almondstep.CodeUnknownClass:
		return http.StatusBadRequest
	case almondstep.CodeKeyExpired:
		return http.StatusGone
	case almondstep.CodeQuarantined:
		return http.StatusUnprocessableEntity
	default:
		return http.StatusServiceUnavailable
	}
}
