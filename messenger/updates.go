package messenger

import (
	"context"
	"time"

	"almondstep"
	"almondstep/messenger/peerpb"
	"almondstep/patcher"
)

var _ almondstep.DelegateClient = (*Client)(nil)

// WatchRegistry waits for a registry update from a daemon. Entries that are among the
// request's PatchBases may arrive as patches, which are applied here.
func (c *Client) WatchRegistry(ctx context.Context, to almondstep.Address, q *almondstep.RegistryUpdateRequest) (*almondstep.RegistryUpdate, error) {
	req := encodeUpdateRequest(q)
	count(c.Sent, "news", req)
	r, err := call(ctx, c.peer(to), (*clients).Watch, req)
	if err != nil {
		return nil, classify(err)
	}
	update := decodeUpdate(r)
	return update, patcher.ApplyEntries(q.PatchBases, update.Entries)
}

// updateHandler implements the generated peerpb.News with a RegistryUpdateServer.
type updateHandler struct {
	updates almondstep.RegistryUpdateServer
	sent    func(kind string, bytes int)
}

// Watch returns when something has changed or the requester's wait is over.
func (h *updateHandler) Watch(ctx context.Context, r *peerpb.NewsRequest) (*peerpb.NewsReply, error) {
	update, err := h.updates.WatchRegistry(ctx, decodeUpdateRequest(r))
	if err != nil {
		return nil, twirpError(err)
	}
	out := encodeUpdate(update)
	count(h.sent, "newsReply", out)
	return out, nil
}

// encodeUpdateRequest omits the values of the patch bases: the source needs only
// their keys and revisions.
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

func encodeUpdate(update *almondstep.RegistryUpdate) *peerpb.NewsReply {
	r := &peerpb.NewsReply{
		Revision: update.Revision,
		Whole:    update.Full,
		Entries:  make([]*peerpb.RegistryEntry, len(update.Entries)),
		LostAgo:  int64(update.SinceOutage),
		Source:   string(update.Source),
		Age:      int64(update.Age),
	}
	for i, e := range update.Entries {
		r.Entries[i] = &peerpb.RegistryEntry{
			Key: e.Key, Revision: e.Revision, Removed: e.Removed, Value: []byte(e.Value), Base: e.Base, Sum: e.Sum,
		}
	}
	return r
}

func decodeUpdate(r *peerpb.NewsReply) *almondstep.RegistryUpdate {
	update := &almondstep.RegistryUpdate{
		Revision:    r.GetRevision(),
		Full:        r.GetWhole(),
		Entries:     make([]almondstep.RegistryEntry, len(r.GetEntries())),
		SinceOutage: time.Duration(r.GetLostAgo()),
		Source:      almondstep.DaemonID(r.GetSource()),
		Age:         time.Duration(r.GetAge()),
	}
	for i, e := range r.GetEntries() {
		update.Entries[i] = almondstep.RegistryEntry{
			Key:      e.GetKey(),
			Revision: e.GetRevision(),
			Removed:  e.GetRemoved(),
			Value:    string(e.GetValue()),
			Base:     e.GetBase(),
			Sum:      e.GetSum(),
		}
	}
	return update
}
