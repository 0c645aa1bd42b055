package messenger

import (
	"context"
	"time"

	"almondstep"
	"almondstep/messenger/peerpb"
)

var _ almondstep.RolloutClient = (*Client)(nil)

// ReportRollout calls Report of the service Rollout; the service Quota has one too.
func (c *clients) ReportRollout(ctx context.Context, req *peerpb.RolloutReport) (*peerpb.RolloutReply, error) {
	return c.Rollout.Report(ctx, req)
}

// ReportRollout sends a report on rollouts to a daemon.
func (c *Client) ReportRollout(ctx context.Context, to almondstep.Address, report *almondstep.RolloutReport) (*almondstep.RolloutReply, error) {
	req := encodeRolloutReport(report)
	count(c.Sent, "rolloutReport", req)
	r, err := call(ctx, c.peer(to), (*clients).ReportRollout, req)
	if err != nil {
		return nil, classify(err)
	}
	return decodeRolloutReply(r), nil
}

// rolloutHandler implements the generated peerpb.Rollout with a RolloutServer.
type rolloutHandler struct {
	rollouts almondstep.RolloutServer
	sent     func(kind string, bytes int)
}

// Report passes a report on and returns the decisions.
func (h *rolloutHandler) Report(ctx context.Context, r *peerpb.RolloutReport) (*peerpb.RolloutReply, error) {
	reply, err := h.rollouts.ReportRollout(ctx, decodeRolloutReport(r))
	if err != nil {
		return nil, twirpError(err)
	}
	out := encodeRolloutReply(reply)
	count(h.sent, "rolloutReply", out)
	return out, nil
}

func encodeRolloutReport(report *almondstep.RolloutReport) *peerpb.RolloutReport {
	r := &peerpb.RolloutReport{From: string(report.From)}
	for _, t := range report.Tallies {
		tally := &peerpb.RolloutTally{
			Service: string(t.Service), OrderRevision: t.OrderRevision, Stage: uint32(t.Stage),
			OldOpen: int32(t.OldOpen), Paused: t.Paused, Requests: t.Requests, Exposed: t.Exposed,
		}
		for _, c := range t.Counts {
			tally.Counts = append(tally.Counts, &peerpb.RolloutCounts{
				Route: string(c.Route), New: c.New, Answers: c.Answers, Bad: c.Bad, Latencies: c.Latencies,
			})
		}
		r.Tallies = append(r.Tallies, tally)
	}
	return r
}

func decodeRolloutReport(r *peerpb.RolloutReport) *almondstep.RolloutReport {
	report := &almondstep.RolloutReport{From: almondstep.DaemonID(r.GetFrom())}
	for _, t := range r.GetTallies() {
		tally := almondstep.RolloutTally{
			Service: almondstep.ServiceName(t.GetService()), OrderRevision: t.GetOrderRevision(),
			Stage: almondstep.RolloutStage(t.GetStage()), OldOpen: int(t.GetOldOpen()), Paused: t.GetPaused(),
			Requests: t.GetRequests(), Exposed: t.GetExposed(),
		}
		for _, c := range t.GetCounts() {
			tally.Counts = append(tally.Counts, almondstep.RolloutCounts{
				Route: almondstep.RouteName(c.GetRoute()), New: c.GetNew(), Answers: c.GetAnswers(), Bad: c.GetBad(),
				Latencies: c.GetLatencies(),
			})
		}
		report.Tallies = append(report.Tallies, tally)
	}
	return report
}

func encodeRolloutReply(reply *almondstep.RolloutReply) *peerpb.RolloutReply {
	r := &peerpb.RolloutReply{Leads: reply.Leads}
	for _, d := range reply.Decisions {
		decision := &peerpb.RolloutDecision{
			Service: string(d.Service), Version: string(d.Version), OrderRevision: d.OrderRevision,
			State: uint32(d.State), Stage: uint32(d.Stage), Share: d.Share, Age: int64(d.Age),
		}
		for _, v := range d.Avoid {
			decision.Avoid = append(decision.Avoid, string(v))
		}
		r.Decisions = append(r.Decisions, decision)
	}
	return r
}

func decodeRolloutReply(r *peerpb.RolloutReply) *almondstep.RolloutReply {
	reply := &almondstep.RolloutReply{Leads: r.GetLeads()}
	for _, d := range r.GetDecisions() {
		decision := almondstep.RolloutDecision{
			Service: almondstep.ServiceName(d.GetService()), Version: almondstep.UpstreamVersion(d.GetVersion()),
			OrderRevision: d.GetOrderRevision(), State: almondstep.RolloutState(d.GetState()),
			Stage: almondstep.RolloutStage(d.GetStage()), Share: d.GetShare(), Age: time.Duration(d.GetAge()),
		}
		for _, v := range d.GetAvoid() {
			decision.Avoid = append(decision.Avoid, almondstep.UpstreamVersion(v))
		}
		reply.Decisions = append(reply.Decisions, decision)
	}
	return reply
}
