package messenger_test

import (
	"context"
	"math"
	"net"
	"reflect"
	"testing"

	"almondstep"
	"almondstep/messenger"
)

// quotaServer records what it is asked and answers with lease.
type quotaServer struct {
	asked    almondstep.QuotaAsk
	reported *almondstep.QuotaReport
	lease    *almondstep.QuotaLease
}

func (s *quotaServer) AskQuota(_ context.Context, ask almondstep.QuotaAsk) (*almondstep.QuotaAnswer, error) {
	s.asked = ask
	return filled[almondstep.QuotaAnswer](), nil
}

func (s *quotaServer) ReportQuota(_ context.Context, report *almondstep.QuotaReport) (*almondstep.QuotaLease, error) {
	s.reported = report
	return s.lease, nil
}

// Messages about quotas arrive with every field, and a lease with fractions that can't be right is
// refused: it would lift the limit of an organisation.
func TestQuotaMessages(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	lease := filled[almondstep.QuotaLease]()
	lease.Default, lease.Fractions[0].Value, lease.Fractions[1].Value = 0.5, 0.25, 0.125
	server := &quotaServer{lease: lease}
	s := &messenger.Server{Quotas: server}
	s.Init()
	go s.Serve(l)
	t.Cleanup(func() { s.Close() })
	addr, c := almondstep.Address(l.Addr().String()), &messenger.Client{}

	ask, report := filled[almondstep.QuotaAsk](), filled[almondstep.QuotaReport]()
	answer, err := c.AskQuota(t.Context(), addr, *ask)
	if err != nil || !reflect.DeepEqual(answer, filled[almondstep.QuotaAnswer]()) || server.asked != *ask {
		t.Errorf("got answer %+v to %+v (%v), want all fields", answer, server.asked, err)
	}
	got, err := c.ReportQuota(t.Context(), addr, report)
	if err != nil || !reflect.DeepEqual(got, lease) || !reflect.DeepEqual(server.reported, report) {
		t.Errorf("got lease %+v for %+v (%v), want all fields", got, server.reported, err)
	}
	for _, wrong := range []float64{-1, 2, math.NaN(), math.Inf(1)} {
		lease.Fractions[1].Value = wrong
		if got, err := c.ReportQuota(t.Context(), addr, report); err == nil {
			t.Errorf("got lease %+v, want an error for the fraction %v", got, wrong)
		}
	}
}
