package messenger

import (
	"context"
	"time"

	"almondstep"
	"almondstep/messenger/peerpb"
)

var _ almondstep.MateClient = (*Client)(nil)

// News waits, at most wait, for what a daemon learns from the registry after a
// revision.
func (c *Client) News(ctx context.Context, to almondstep.Address, after uint64, wait time.Duration) (*almondstep.RegistryNews, error) {
	req := &peerpb.NewsRequest{After: after, Wait: int64(wait)}
	c.count("news", req)
	r, err := call(ctx, c.peer(to), (*clients).Watch, req)
	if err != nil {
		return nil, classify(err)
	}
	return decodeNews(r), nil
}

// newsHandler is the generated interface over a NewsServer.
type newsHandler struct {
	news almondstep.NewsServer
}

// Watch answers when something has changed or the asker's wait is over.
func (h *newsHandler) Watch(ctx context.Context, r *peerpb.NewsRequest) (*peerpb.NewsReply, error) {
	n, err := h.news.News(ctx, r.GetAfter(), time.Duration(r.GetWait()))
	if err != nil {
		return nil, refuse(err)
	}
	return encodeNews(n), nil
}

func encodeNews(n *almondstep.RegistryNews) *peerpb.NewsReply {
	r := &peerpb.NewsReply{
		Revision: n.Revision,
		Whole:    n.Whole,
		Entries:  make([]*peerpb.RegistryEntry, len(n.Entries)),
		LostAgo:  int64(n.LostAgo),
		Source:   string(n.Source),
		Age:      int64(n.Age),
	}
	for i, e := range n.Entries {
		r.Entries[i] = &peerpb.RegistryEntry{Key: e.Key, Revision: e.Revision, Removed: e.Removed, Value: e.Value}
	}
	return r
}

func decodeNews(r *peerpb.NewsReply) *almondstep.RegistryNews {
	n := &almondstep.RegistryNews{
		Revision: r.GetRevision(),
		Whole:    r.GetWhole(),
		Entries:  make([]almondstep.RegistryEntry, len(r.GetEntries())),
		LostAgo:  time.Duration(r.GetLostAgo()),
		Source:   almondstep.DaemonID(r.GetSource()),
		Age:      time.Duration(r.GetAge()),
	}
	for i, e := range r.GetEntries() {
		n.Entries[i] = almondstep.RegistryEntry{
			Key:      e.GetKey(),
			Revision: e.GetRevision(),
			Removed:  e.GetRemoved(),
			Value:    e.GetValue(),
		}
	}
	return n
}
