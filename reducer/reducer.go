// Package reducer dispatches every event to the partition of the state that handles
// it.
//
// A Reducer holds the state of one thread: that of the control thread, or one traffic
// thread's queries, gathers, upstreams and requests. The type of an event determines
// the partition, so that all threads use the same function:
//
//	ControlTick, ProbeArrived, ...     -> Control
//	SearchArrived, WorkAnswered, ...   -> Queries    (the entry daemon's side)
//	WorkArrived, ItemFinished, ...     -> Gathers    (the owner's side of a Work)
//	ItemArrived, AttemptEnded, ...     -> Upstreams  (the owner's side of an upstream)
//	RequestArrived, CallEnded, ...     -> Requests   (routed requests)
//	RequestQuota, ...                  -> Quotas     (organisations' rate limits)
//	(RolloutEvent)                     -> Rollouts   (the shares of new versions)
//	ControlTick                        -> Control, Quotas and Rollouts
//	ViewChanged                        -> all partitions but Control
//
// It uses no clock and does no I/O. The same events in the same order produce the
// same effects, which the golden files record.
package reducer

import "almondstep"

// Partition is a part of a traffic thread's state.
type Partition interface {
	Reduce(now almondstep.Instant, v *almondstep.View, e almondstep.Event, out []almondstep.Effect) []almondstep.Effect
}

// ControlPartition is the control thread's state. It creates the views, so its
// Reduce takes none.
type ControlPartition interface {
	Reduce(now almondstep.Instant, e almondstep.Event, out []almondstep.Effect) []almondstep.Effect
}

// Reducer is the state of one thread. A control thread sets Control and, for routed
// requests, Quotas and Rollouts; a traffic thread sets the others.
type Reducer struct {
	Control   ControlPartition
	Quotas    Partition
	Rollouts  Partition
	Queries   Partition
	Gathers   Partition
	Upstreams Partition
	Requests  Partition
}

// Reduce processes one event and appends the resulting effects to out. An event of a
// partition that this reducer doesn't have is ignored.
func (r *Reducer) Reduce(now almondstep.Instant, v *almondstep.View, e almondstep.Event, out []almondstep.Effect) []almondstep.Effect {
	switch e.(type) {
	case *almondstep.ViewChanged:
		return r.viewChanged(now, v, e, out)
	case *almondstep.WorkArrived, *almondstep.CollectArrived, *almondstep.CancelArrived,
		*almondstep.GatherTimer, *almondstep.ItemFinished:
		return reduceIn(r.Gathers, now, v, e, out)
	case *almondstep.RequestArrived, *almondstep.RequesterGone, *almondstep.RequestTimer, *almondstep.CallEnded,
		*almondstep.GatherEnded, *almondstep.RTTMeasured, *almondstep.QuotaDecided, *almondstep.RecheckClaimed,
		*almondstep.ExplainRequest:
		return reduceIn(r.Requests, now, v, e, out)
	case almondstep.QueryEvent:
		return reduceIn(r.Queries, now, v, e, out)
	case almondstep.UpstreamEvent:
		return reduceIn(r.Upstreams, now, v, e, out)
	case *almondstep.ControlTick:
		return r.tick(now, v, e, out)
	case almondstep.ControlEvent:
		if r.Control == nil {
			return out
		}
		return r.Control.Reduce(now, e, out)
	case almondstep.QuotaEvent:
		return reduceIn(r.Quotas, now, v, e, out)
	case almondstep.RolloutEvent:
		return reduceIn(r.Rollouts, now, v, e, out)
	}
	return out
}

// tick passes the event to all control partitions.
func (r *Reducer) tick(now almondstep.Instant, v *almondstep.View, e almondstep.Event, out []almondstep.Effect) []almondstep.Effect {
	if r.Control != nil {
		out = r.Control.Reduce(now, e, out)
	}
	out = reduceIn(r.Quotas, now, v, e, out)
	return reduceIn(r.Rollouts, now, v, e, out)
}

// viewChanged passes the event to all partitions but Control, the upstreams first. The
// outcomes of items that they refuse under the new view are effects, which are returned
// to the gathers as events of their own.
func (r *Reducer) viewChanged(now almondstep.Instant, v *almondstep.View, e almondstep.Event, out []almondstep.Effect) []almondstep.Effect {
	out = reduceIn(r.Upstreams, now, v, e, out)
	out = reduceIn(r.Gathers, now, v, e, out)
	out = reduceIn(r.Requests, now, v, e, out)
	out = reduceIn(r.Quotas, now, v, e, out)
	out = reduceIn(r.Rollouts, now, v, e, out)
	return reduceIn(r.Queries, now, v, e, out)
}

func reduceIn(p Partition, now almondstep.Instant, v *almondstep.View, e almondstep.Event, out []almondstep.Effect) []almondstep.Effect {
	if p == nil {
		return out
	}
	return p.Reduce(now, v, e, out)
}
