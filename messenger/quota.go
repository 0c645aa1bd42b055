package messenger

import (
	"context"
	"math"
	"time"

	"github.com/cockroachdb/errors"

	"almondstep"
	"almondstep/messenger/peerpb"
)

const (
	// maxQuotaShares bounds the organisations in a report or a lease.
	maxQuotaShares = 4096
	// maxOrganisationBytes bounds the name of an organisation.
	maxOrganisationBytes = 1024
)

var _ almondstep.QuotaClient = (*Client)(nil)

// AskQuota asks a lender for the quota of one request, or returns it.
func (c *Client) AskQuota(ctx context.Context, to almondstep.Address, ask almondstep.QuotaAsk) (*almondstep.QuotaAnswer, error) {
	req := &peerpb.QuotaAskRequest{Organisation: string(ask.Organisation), Returned: ask.Return, Redirected: ask.Redirected}
	count(c.Sent, "quotaAsk", req)
	r, err := call(ctx, c.peer(to), (*clients).Ask, req)
	if err != nil {
		return nil, classify(err)
	}
	return &almondstep.QuotaAnswer{
		Granted: r.GetGranted(), Unknown: r.GetUnknown(), Elsewhere: r.GetElsewhere(), RetryAfter: time.Duration(r.GetRetryAfter()),
	}, nil
}

// ReportQuota calls Report of the service Quota; the service Rollout has one too.
func (c *clients) ReportQuota(ctx context.Context, req *peerpb.QuotaReportRequest) (*peerpb.QuotaLeaseReply, error) {
	return c.Quota.Report(ctx, req)
}

// ReportQuota reports a lender's demand to a coordinator.
func (c *Client) ReportQuota(ctx context.Context, to almondstep.Address, report *almondstep.QuotaReport) (*almondstep.QuotaLease, error) {
	req := &peerpb.QuotaReportRequest{
		From: string(report.From), Group: uint32(report.Group), Epoch: report.Epoch, Lease: report.Lease,
		Settled: report.Settled, Fresh: report.Fresh, Demand: encodeShares(report.Demand),
	}
	count(c.Sent, "quotaReport", req)
	r, err := call(ctx, c.peer(to), (*clients).ReportQuota, req)
	if err != nil {
		return nil, classify(err)
	}
	if len(r.GetExceeded()) > maxQuotaShares {
		return nil, errors.Wrap(almondstep.ErrUnavailable, "a message about quotas lists too many organisations")
	}
	lease := &almondstep.QuotaLease{Epoch: r.GetEpoch(), Number: r.GetNumber(), Default: r.GetDefaultFraction(), Complete: r.GetComplete(), Refused: r.GetRefused()}
	if lease.Fractions, err = decodeShares(r.GetFractions()); err != nil {
		return nil, err
	}
	for _, o := range r.GetExceeded() {
		lease.Exceeded = append(lease.Exceeded, almondstep.OrganisationName(o))
	}
	if !isFraction(lease.Default) {
		return nil, errors.Wrap(almondstep.ErrUnavailable, "a lease of quotas has an invalid fraction")
	}
	for _, f := range lease.Fractions {
		if !isFraction(f.Value) {
			return nil, errors.Wrap(almondstep.ErrUnavailable, "a lease of quotas has an invalid fraction")
		}
	}
	return lease, nil
}

// isFraction reports whether a value is from 0 to 1; rounding may exceed 1 a little.
func isFraction(f float64) bool { return f >= 0 && f <= 1.001 }

// quotaHandler implements the generated peerpb.Quota with a QuotaServer.
type quotaHandler struct {
	quotas almondstep.QuotaServer
	sent   func(kind string, bytes int)
}

// Ask returns the lender's decision.
func (h *quotaHandler) Ask(ctx context.Context, r *peerpb.QuotaAskRequest) (*peerpb.QuotaAskReply, error) {
	a, err := h.quotas.AskQuota(ctx, almondstep.QuotaAsk{
		Organisation: almondstep.OrganisationName(r.GetOrganisation()), Return: r.GetReturned(), Redirected: r.GetRedirected(),
	})
	if err != nil {
		return nil, twirpError(err)
	}
	out := &peerpb.QuotaAskReply{Granted: a.Granted, Unknown: a.Unknown, Elsewhere: a.Elsewhere, RetryAfter: int64(a.RetryAfter)}
	count(h.sent, "quotaAnswer", out)
	return out, nil
}

// Report returns the coordinator's lease.
func (h *quotaHandler) Report(ctx context.Context, r *peerpb.QuotaReportRequest) (*peerpb.QuotaLeaseReply, error) {
	demand, err := decodeShares(r.GetDemand())
	if err != nil {
		return nil, twirpError(err)
	}
	l, err := h.quotas.ReportQuota(ctx, &almondstep.QuotaReport{
		From: almondstep.DaemonID(r.GetFrom()), Group: int(r.GetGroup()), Epoch: r.GetEpoch(), Lease: r.GetLease(),
		Settled: r.GetSettled(), Fresh: r.GetFresh(), Demand: demand,
	})
	if err != nil {
		return nil, twirpError(err)
	}
	out := &peerpb.QuotaLeaseReply{
		Epoch: l.Epoch, Number: l.Number, DefaultFraction: l.Default, Complete: l.Complete, Refused: l.Refused, Fractions: encodeShares(l.Fractions),
	}
	for _, o := range l.Exceeded {
		out.Exceeded = append(out.Exceeded, string(o))
	}
	count(h.sent, "quotaLease", out)
	return out, nil
}

func encodeShares(shares []almondstep.OrganisationShare) []*peerpb.OrganisationShare {
	list := make([]*peerpb.OrganisationShare, len(shares))
	for i, s := range shares {
		list[i] = &peerpb.OrganisationShare{Organisation: string(s.Organisation), Value: s.Value}
	}
	return list
}

// decodeShares decodes a bounded list of finite figures that aren't negative.
func decodeShares(list []*peerpb.OrganisationShare) ([]almondstep.OrganisationShare, error) {
	if len(list) > maxQuotaShares {
		return nil, errors.Wrap(almondstep.ErrUnavailable, "a message about quotas lists too many organisations")
	}
	shares := make([]almondstep.OrganisationShare, len(list))
	for i, s := range list {
		if v := s.GetValue(); !(v >= 0) || math.IsInf(v, 1) || len(s.GetOrganisation()) > maxOrganisationBytes {
			return nil, errors.Wrap(almondstep.ErrUnavailable, "a message about quotas has an invalid figure")
		}
		shares[i] = almondstep.OrganisationShare{Organisation: almondstep.OrganisationName(s.GetOrganisation()), Value: s.GetValue()}
	}
	return shares, nil
}
