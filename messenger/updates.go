package messenger

import (
	"context"
	"time"

	"almondstep"
	"almondstep/messenger/peerpb"
	"almondstep/patcher"
)

var _ almondstep.DelegateClient = (*Client)(nil)

// WatchRegistry waits for a registry update from a daemon. Long entries whose base the
// request holds may arrive as patches, which are applied here.
func (c *Client) WatchRegistry(ctx context.Context, to almondstep.Address, q *almondstep.RegistryUpdateRequest) (*almondstep.RegistryUpdate, error) {
	req := encodeUpdateRequest(q)
	count(c.Sent, "news", req)
	r, err := call(ctx, c.peer(to), (*clients).Watch, req)
	if err != nil {
		return nil, classify(err)
	}
	n := decodeUpdate(r)
	return n, patcher.ApplyEntries(q.PatchBases, n.Entries)
}

// updateHandler is the generated interface over a RegistryUpdateServer.
type updateHandler struct {
	updates almondstep.RegistryUpdateServer
	sent    func(kind string, bytes int)
}

// Watch returns when something has changed or the requester's wait is over.
func (h *updateHandler) Watch(ctx context.Context, r *peerpb.NewsRequest) (*peerpb.NewsReply, error) {
	n, err := h.updates.WatchRegistry(ctx, decodeUpdateRequest(r))
	if err != nil {
		return nil, twirpError(err)
	}
	out := encodeUpdate(n)
	count(h.sent, "newsReply", out)
	return out, nil
}

// encodeUpdateRequest omits the values that the requester holds.
func encodeUpdateRequest(q *almondstep.RegistryUpdateRequest) *peerpb.NewsRequest {
	r := &peerpb.NewsRequest{After: q.After, Wait: int64(q.Wait)}
	for _, e := range q.PatchBases {
		r.Holds = append(r.Holds, &peerpb.RegistryEntry{Key: e.Key, Revision: e.Revision})
	}
	return r
}

func decodeUpdateRequest(r *peerpb.NewsRequest) *almondstep.RegistryUpdateRequest {
	q := &almondstep.RegistryUpdateRequest{After: r.GetAfter(), Wait: time.Duration(r.GetWait())}
	for _, e := range r.GetHolds() {
		q.PatchBases = append(q.PatchBases, almondstep.RegistryEntry{Key: e.GetKey(), Revision: e.GetRevision()})
	}
	return q
}

func encodeUpdate(n *almondstep.RegistryUpdate) *peerpb.NewsReply {
	r := &peerpb.NewsReply{
		Revision: n.Revision,
		Whole:    n.Full,
		Entries:  make([]*peerpb.RegistryEntry, len(n.Entries)),
		LostAgo:  int64(n.SinceOutage),
		Source:   string(n.Source),
		Age:      int64(n.Age),
	}
	for i, e := range n.Entries {
		r.Entries[i] = &peerpb.RegistryEntry{
			Key: e.Key, Revision: e.Revision, Removed: e.Removed, Value: []byte(e.Value), Base: e.Base, Sum: e.Sum,
		}
	}
	return r
}

func decodeUpdate(r *peerpb.NewsReply) *almondstep.RegistryUpdate {
	n := &almondstep.RegistryUpdate{
		Revision:    r.GetRevision(),
		Full:        r.GetWhole(),
		Entries:     make([]almondstep.RegistryEntry, len(r.GetEntries())),
		SinceOutage: time.Duration(r.GetLostAgo()),
		Source:      almondstep.DaemonID(r.GetSource()),
		Age:         time.Duration(r.GetAge()),
	}
	for i, e := range r.GetEntries() {
		n.Entries[i] = almondstep.RegistryEntry{
			Key:      e.GetKey(),
			Revision: e.GetRevision(),
			Removed:  e.GetRemoved(),
			Value:    string(e.GetValue()),
			Base:     e.GetBase(),
			Sum:      e.GetSum(),
		}
	}
	return n
}
