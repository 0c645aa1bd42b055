package messenger

import (
	"context"
	"encoding/json"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"almondstep"
	"almondstep/messenger/peerpb"
)

// connectTimeout bounds the wait for a connection over which a request is
// delegated. The remaining time sent with the request is computed before that wait,
// and so is too long by as much.
const connectTimeout = 200 * time.Millisecond

// Gather delegates a request over shards to another daemon. The error is ErrNotRun if
// nothing was sent.
func (c *Client) Gather(ctx context.Context, to almondstep.Address, req *almondstep.GatherRequest) (*almondstep.Reply, error) {
	ctx, connected, cancel := connectWithin(ctx, connectTimeout)
	defer cancel()
	r, err := call(ctx, c.peer(to), (*clients).Gather, encodeGather(req, remaining(ctx, req)))
	switch {
	case err == nil:
		return decodeGatherReply(r)
	case !connected():
		return nil, errors.Mark(err, almondstep.ErrNotRun)
	default:
		return nil, classify(err)
	}
}

// remaining returns the time that a request has left now, which is less than its
// Remaining if it waited before this call.
func remaining(ctx context.Context, req *almondstep.GatherRequest) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return req.Remaining
	}
	return max(time.Millisecond, min(req.Remaining, time.Until(deadline)))
}

// connectWithin cancels a call that gets no connection within wait. As long as
// connected returns false, no part of the call has been sent.
func connectWithin(ctx context.Context, wait time.Duration) (_ context.Context, connected func() bool, cancel func()) {
	ctx, stop := context.WithCancel(ctx)
	var gotConn atomic.Bool
	timer := time.AfterFunc(wait, func() {
		if !gotConn.Load() {
			stop()
		}
	})
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { gotConn.Store(true) },
	})
	return ctx, gotConn.Load, func() {
		timer.Stop()
		stop()
	}
}

// gatherHandler implements the generated peerpb.Delegate with a GatherServer.
type gatherHandler struct {
	gatherer almondstep.GatherServer
}

// Gather returns once the shards have answered or the requester's time is over.
func (h *gatherHandler) Gather(ctx context.Context, r *peerpb.GatherRequest) (*peerpb.GatherReply, error) {
	req, err := decodeGather(r)
	if err != nil {
		return nil, twirpError(errors.Mark(err, almondstep.ErrNotRun))
	}
	reply, err := h.gatherer.Gather(ctx, req)
	if err != nil {
		return nil, twirpError(err)
	}
	return encodeGatherReply(reply)
}

func encodeGather(req *almondstep.GatherRequest, remaining time.Duration) *peerpb.GatherRequest {
	m, p := req.Request, req.Route.Spec()
	r := &peerpb.GatherRequest{
		Key:          m.Key,
		Method:       m.Method,
		Target:       m.Target,
		Path:         m.Path,
		Host:         m.Host,
		Header:       make([]*peerpb.HeaderField, len(m.Header)),
		Body:         m.Body,
		Organisation: string(m.Organisation),
		Remaining:    int64(remaining),
		Route: &peerpb.GatherRoute{
			Name:          string(p.Name),
			Host:          p.Host,
			Prefix:        p.Prefix,
			Timeout:       int64(p.Timeout),
			LatencyTarget: int64(p.LatencyTarget),
			Priority:      int32(p.Priority),
			Attempts:      int32(p.Attempts),
			Records:       int32(p.Records),
			LeastCoverage: p.MinCoverage,
			Version:       uint64(req.Version),
			Shards:        make([]string, len(p.Shards)),
		},
	}
	for i, f := range m.Header {
		r.Header[i] = &peerpb.HeaderField{Name: f.Name, Value: f.Value}
	}
	for i, s := range p.Shards {
		r.Route.Shards[i] = string(s)
	}
	for _, region := range p.Regions {
		r.Route.Regions = append(r.Route.Regions, string(region))
	}
	return r
}

func decodeGather(r *peerpb.GatherRequest) (*almondstep.GatherRequest, error) {
	m := &almondstep.RequestMessage{
		Key:    r.GetKey(),
		Method: r.GetMethod(),
		Target: r.GetTarget(),
		Path:   r.GetPath(),
		Host:   r.GetHost(),
		Body:   r.GetBody(),
		Header: make(almondstep.Header, len(r.GetHeader())),

		Organisation: almondstep.OrganisationName(r.GetOrganisation()),
	}
	for i, f := range r.GetHeader() {
		m.Header[i] = almondstep.HeaderField{Name: f.GetName(), Value: f.GetValue()}
	}
	route, err := decodeRoute(r.GetRoute())
	if err != nil {
		return nil, err
	}
	return &almondstep.GatherRequest{
		Request:   m,
		Route:     &route,
		Version:   almondstep.RouteVersion(r.GetRoute().GetVersion()),
		Remaining: time.Duration(r.GetRemaining()),
	}, nil
}

// decodeRoute decodes a route. Requests over shards are idempotent.
func decodeRoute(r *peerpb.GatherRoute) (almondstep.Route, error) {
	p := almondstep.RouteSpec{
		Name:          almondstep.RouteName(r.GetName()),
		Host:          r.GetHost(),
		Prefix:        r.GetPrefix(),
		Idempotent:    true,
		Timeout:       time.Duration(r.GetTimeout()),
		LatencyTarget: time.Duration(r.GetLatencyTarget()),
		Priority:      int(r.GetPriority()),
		Attempts:      int(r.GetAttempts()),
		Records:       int(r.GetRecords()),
		MinCoverage:   r.GetLeastCoverage(),
		Shards:        make([]almondstep.ServiceName, len(r.GetShards())),
	}
	for i, s := range r.GetShards() {
		p.Shards[i] = almondstep.ServiceName(s)
	}
	for _, region := range r.GetRegions() {
		p.Regions = append(p.Regions, almondstep.RegionName(region))
	}
	return almondstep.NewRoute(p)
}

func encodeGatherReply(reply *almondstep.Reply) (*peerpb.GatherReply, error) {
	trace, err := json.Marshal(reply.Trace)
	if err != nil {
		return nil, twirpError(err)
	}
	r := &peerpb.GatherReply{
		Outcome:    string(reply.Outcome),
		Code:       string(reply.Code),
		RetryAfter: int64(reply.RetryAfter),
		Trace:      trace,
	}
	if m := reply.Merged; m != nil {
		r.Merged = true
		r.Records = m.Records
		r.Signatures = m.Signatures
		r.Missing = int32(m.Missing)
	}
	return r, nil
}

func decodeGatherReply(r *peerpb.GatherReply) (*almondstep.Reply, error) {
	reply := &almondstep.Reply{
		Outcome:    almondstep.Outcome(r.GetOutcome()),
		Code:       almondstep.RefusalCode(r.GetCode()),
		RetryAfter: time.Duration(r.GetRetryAfter()),
	}
	if err := json.Unmarshal(r.GetTrace(), &reply.Trace); err != nil {
		return nil, errors.Wrapf(almondstep.ErrUnavailable, "decode the trace of a delegated request: %v", err)
	}
	if r.GetMerged() {
		reply.Merged = &almondstep.MergedAnswer{
			Records:    r.GetRecords(),
			Signatures: r.GetSignatures(),
			Missing:    int(r.GetMissing()),
		}
	}
	return reply, nil
}
