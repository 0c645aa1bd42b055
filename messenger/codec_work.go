package messenger

import (
	"time"

	"almondstep"
	"almondstep/messenger/peerpb"
)

// groupItems packs items by service and partitioning, so that a message to an
// owner of ten shards of one service contains the service name once.
//
// Example: shards 3 and 7 of intake-desk/20 become one group with shards
// [3 7] and their two upstreams.
func groupItems(items []almondstep.Item) []*peerpb.ItemGroup {
	var groups []*peerpb.ItemGroup
	var last *peerpb.ItemGroup
	for _, it := range items {
		service := string(it.Shard.Service())
		if last == nil || last.GetService() != service || last.GetOf() != it.Shard.ShardCount() {
			last = &peerpb.ItemGroup{Service: service, Of: it.Shard.ShardCount()}
			groups = append(groups, last)
		}
		last.Shards = append(last.Shards, it.Shard.Index())
		last.Upstreams = append(last.Upstreams, string(it.Upstream))
	}
	return groups
}

func ungroupItems(groups []*peerpb.ItemGroup) []almondstep.Item {
	n := 0
	for _, g := range groups {
		n += len(g.GetShards())
	}
	items := make([]almondstep.Item, 0, n)
	for _, g := range groups {
		service := almondstep.ServiceName(g.GetService())
		upstreams := g.GetUpstreams()
		for i, shard := range g.GetShards() {
			if i >= len(upstreams) {
				break
			}
			items = append(items, almondstep.Item{
				Shard:    almondstep.NewShard(service, shard, g.GetOf()),
				Upstream: almondstep.Address(upstreams[i]),
			})
		}
	}
	return items
}

func encodeWork(from almondstep.DaemonID, w *almondstep.Work) *peerpb.WorkRequest {
	return &peerpb.WorkRequest{
		From:        string(from),
		Query:       uint64(w.Query),
		Attempt:     uint32(w.Attempt),
		Version:     uint64(w.Version),
		Class:       string(w.Class),
		Priority:    int32(w.Priority),
		Tenant:      string(w.Tenant),
		Text:        w.Text,
		Limit:       int32(w.Limit),
		Operation:   w.Operation,
		Idempotent:  w.Idempotent,
		Fingerprint: uint64(w.Fingerprint),
		Remaining:   int64(w.Remaining),
		FlushAfter:  int64(w.FlushAfter),
		Hedge:       w.Hedge,
		Items:       groupItems(w.Items),
	}
}

func decodeWork(r *peerpb.WorkRequest) *almondstep.Work {
	return &almondstep.Work{
		Query:       almondstep.QueryID(r.GetQuery()),
		Attempt:     almondstep.AttemptID(r.GetAttempt()),
		Version:     almondstep.Version(r.GetVersion()),
		Class:       almondstep.ClassName(r.GetClass()),
		Priority:    int(r.GetPriority()),
		Tenant:      almondstep.TenantName(r.GetTenant()),
		Text:        r.GetText(),
		Limit:       int(r.GetLimit()),
		Operation:   r.GetOperation(),
		Idempotent:  r.GetIdempotent(),
		Fingerprint: almondstep.Fingerprint(r.GetFingerprint()),
		Remaining:   time.Duration(r.GetRemaining()),
		FlushAfter:  time.Duration(r.GetFlushAfter()),
		Hedge:       r.GetHedge(),
		Items:       ungroupItems(r.GetItems()),
	}
}

func encodeWorkReply(a *almondstep.WorkAnswered) *peerpb.WorkReply {
	items := make([]almondstep.Item, len(a.Items))
	outcomes := make([]*peerpb.Outcome, len(a.Items))
	for i, it := range a.Items {
		items[i] = it.Item
		outcomes[i] = &peerpb.Outcome{
			Outcome: uint32(it.Outcome),
			Reason:  string(it.Reason),
			Total:   int64(it.Total),
			Took:    int64(it.Took),
		}
	}
	records := make([]*peerpb.Record, len(a.Records))
	for i, r := range a.Records {
		records[i] = &peerpb.Record{Key: r.Key, Body: r.Body}
	}
	return &peerpb.WorkReply{
		Query:    uint64(a.ID),
		Attempt:  uint32(a.Attempt),
		Owner:    string(a.Owner),
		Version:  uint64(a.Version),
		Items:    groupItems(items),
		Outcomes: outcomes,
		Records:  records,
		Sources:  a.Sources,
	}
}

func decodeWorkReply(r *peerpb.WorkReply) *almondstep.WorkAnswered {
	items := ungroupItems(r.GetItems())
	outcomes := r.GetOutcomes()
	n := min(len(items), len(outcomes))
	answers := make([]almondstep.ItemAnswer, n)
	for i := range n {
		o := outcomes[i]
		answers[i] = almondstep.ItemAnswer{
			Item:    items[i],
			Outcome: almondstep.ItemOutcome(o.GetOutcome()),
			Reason:  almondstep.Reason(o.GetReason()),
			Total:   int(o.GetTotal()),
			Took:    time.Duration(o.GetTook()),
		}
	}
	records := make([]almondstep.Record, len(r.GetRecords()))
	for i, rec := range r.GetRecords() {
		records[i] = almondstep.Record{Key: rec.GetKey(), Body: rec.GetBody()}
	}
	return &almondstep.WorkAnswered{
		ID:      almondstep.QueryID(r.GetQuery()),
		Attempt: almondstep.AttemptID(r.GetAttempt()),
		Owner:   almondstep.DaemonID(r.GetOwner()),
		Version: almondstep.Version(r.GetVersion()),
		Items:   answers,
		Records: records,
		Sources: r.GetSources(),
	}
}
