package messenger

import (
	"context"
	"time"

	"almondstep"
	"almondstep/messenger/peerpb"
	"almondstep/patcher"
)

var _ almondstep.MateClient = (*Client)(nil)

// News waits for what a daemon learns from the registry. Long entries that the
// question holds may come as patches; they are put together here.
func (c *Client) News(ctx context.Context, to almondstep.Address, q *almondstep.NewsQuestion) (*almondstep.RegistryNews, error) {
	req := encodeQuestion(q)
	count(c.Sent, "news", req)
	r, err := call(ctx, c.peer(to), (*clients).Watch, req)
	if err != nil {
		return nil, classify(err)
	}
	n := decodeNews(r)
	return n, patcher.ApplyEntries(q.Holds, n.Entries)
}

// newsHandler is the generated interface over a NewsServer.
type newsHandler struct {
	news almondstep.NewsServer
	sent func(kind string, bytes int)
}

// Watch answers when something has changed or the asker's wait is over.
func (h *newsHandler) Watch(ctx context.Context, r *peerpb.NewsRequest) (*peerpb.NewsReply, error) {
	n, err := h.news.News(ctx, decodeQuestion(r))
	if err != nil {
		return nil, refuse(err)
	}
	out := encodeNews(n)
	count(h.sent, "newsReply", out)
	return out, nil
}

// encodeQuestion leaves out the values that the asker holds.
func encodeQuestion(q *almondstep.NewsQuestion) *peerpb.NewsRequest {
	r := &peerpb.NewsRequest{After: q.After, Wait: int64(q.Wait)}
	for _, e := range q.Holds {
		r.Holds = append(r.Holds, &peerpb.RegistryEntry{Key: e.Key, Revision: e.Revision})
	}
	return r
}

func decodeQuestion(r *peerpb.NewsRequest) *almondstep.NewsQuestion {
	q := &almondstep.NewsQuestion{After: r.GetAfter(), Wait: time.Duration(r.GetWait())}
	for _, e := range r.GetHolds() {
		q.Holds = append(q.Holds, almondstep.RegistryEntry{Key: e.GetKey(), Revision: e.GetRevision()})
	}
	return q
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
		r.Entries[i] = &peerpb.RegistryEntry{
			Key: e.Key, Revision: e.Revision, Removed: e.Removed, Value: []byte(e.Value), Base: e.Base, Sum: e.Sum,
		}
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
			Value:    string(e.GetValue()),
			Base:     e.GetBase(),
			Sum:      e.GetSum(),
		}
	}
	return n
}
