package messenger

import (
	"context"
	"crypto/tls"
	"io"
	"log"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/twitchtv/twirp"
	"google.golang.org/protobuf/proto"

	"almondstep"
	"almondstep/messenger/peerpb"
	"almondstep/rationer"
)

const (
	// maxStreams bounds the concurrent calls on a connection from another daemon.
	maxStreams = 10_000
	// headerTimeout bounds how long a connection may take to send a header.
	headerTimeout = 5 * time.Second
	// maxMessageBytes bounds one message: a full configuration of 1 MB and a margin.
	maxMessageBytes = 2 << 20
	// maxAnswerBytes bounds a response. The largest is the whole registry at its maximum
	// size.
	maxAnswerBytes = 16 << 20
	// maxHeadBytes bounds the header of a request or a response.
	maxHeadBytes = 8 << 10
)

// Server serves the messages of other daemons.
type Server struct {
	// Peer serves Works and control messages, RegistryUpdates registry updates, Gatherer
	// delegated requests, Quotas the quotas of organisations and Rollouts reports on
	// rollouts; calls to a nil one fail with ErrUnavailable.
	Peer            almondstep.PeerServer
	RegistryUpdates almondstep.RegistryUpdateServer
	Gatherer        almondstep.GatherServer
	Quotas          almondstep.QuotaServer
	Rollouts        almondstep.RolloutServer
	// TLS is the certificate and the authorities; nil disables TLS.
	TLS *tls.Config
	// Budget bounds the memory of the requests that are being served; nil doesn't.
	Budget *rationer.Budget
	// Sent, if set, is called with the encoded size of each control message.
	Sent func(kind string, bytes int)
	// ErrorLog logs connection errors; nil drops them.
	ErrorLog *log.Logger

	server *http.Server
}

// Serve serves on l until Shutdown; it returns nil after one.
func (s *Server) Serve(l net.Listener) error {
	if s.TLS != nil {
		l = tls.NewListener(l, s.TLS)
	} else {
		l = &rationer.Listener{Listener: l, Budget: s.Budget}
	}
	err := s.server.Serve(l)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// Init prepares the server; call it once before Serve and Shutdown.
func (s *Server) Init() {
	if s.ErrorLog == nil {
		s.ErrorLog = log.New(io.Discard, "", 0)
	}
	services := http.NewServeMux()
	if s.Peer != nil {
		services.Handle(peerpb.PeerPathPrefix, peerpb.NewPeerServer(&handler{peer: s.Peer, sent: s.Sent}))
	}
	if s.RegistryUpdates != nil {
		services.Handle(peerpb.NewsPathPrefix, peerpb.NewNewsServer(&updateHandler{updates: s.RegistryUpdates, sent: s.Sent}))
	}
	if s.Gatherer != nil {
		services.Handle(peerpb.DelegatePathPrefix, peerpb.NewDelegateServer(&gatherHandler{gatherer: s.Gatherer}))
	}
	if s.Quotas != nil {
		services.Handle(peerpb.QuotaPathPrefix, peerpb.NewQuotaServer(&quotaHandler{quotas: s.Quotas, sent: s.Sent}))
	}
	if s.Rollouts != nil {
		services.Handle(peerpb.RolloutPathPrefix, peerpb.NewRolloutServer(&rolloutHandler{rollouts: s.Rollouts, sent: s.Sent}))
	}
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetHTTP2(true)
	protocols.SetUnencryptedHTTP2(true)
	s.server = &http.Server{
		Handler:           &rationer.Handler{Handler: http.MaxBytesHandler(services, maxMessageBytes), Budget: s.Budget, Refuse: refuse},
		ConnContext:       rationer.ConnContext,
		Protocols:         protocols,
		ReadHeaderTimeout: headerTimeout,
		MaxHeaderBytes:    maxHeadBytes,
		ErrorLog:          s.ErrorLog,
		HTTP2: &http.HTTP2Config{
			MaxConcurrentStreams: maxStreams,
		},
	}
}

// refuse responds to a request for which there is no memory: it hasn't run.
func refuse(w http.ResponseWriter, _ *http.Request) {
	_ = twirp.WriteError(w, twirp.NewError(twirp.FailedPrecondition, rationer.ErrNoMemory.Error()))
}

// Shutdown refuses new connections and waits for the open calls.
func (s *Server) Shutdown(ctx context.Context) error {
	return s.server.Shutdown(ctx)
}

// Close closes all connections immediately, as a crash would.
func (s *Server) Close() error {
	return s.server.Close()
}

// handler implements the generated peerpb.Peer with a PeerServer.
type handler struct {
	peer almondstep.PeerServer
	sent func(kind string, bytes int)
}

func (h *handler) Deliver(ctx context.Context, r *peerpb.WorkRequest) (*peerpb.WorkReply, error) {
	a, err := h.peer.Work(ctx, almondstep.DaemonID(r.GetFrom()), decodeWork(r))
	if err != nil {
		return nil, twirpError(err)
	}
	return encodeWorkReply(a), nil
}

func (h *handler) Collect(ctx context.Context, r *peerpb.CollectRequest) (*peerpb.WorkReply, error) {
	a, err := h.peer.Collect(ctx, &almondstep.CollectArrived{
		ID:        almondstep.QueryID(r.GetQuery()),
		Attempt:   almondstep.AttemptID(r.GetAttempt()),
		Remaining: time.Duration(r.GetRemaining()),
	})
	if err != nil {
		return nil, twirpError(err)
	}
	return encodeWorkReply(a), nil
}

func (h *handler) Cancel(ctx context.Context, r *peerpb.CancelRequest) (*peerpb.Empty, error) {
	err := h.peer.Cancel(ctx, &almondstep.CancelArrived{
		ID:      almondstep.QueryID(r.GetQuery()),
		Attempt: almondstep.AttemptID(r.GetAttempt()),
		Items:   ungroupItems(r.GetItems()),
	})
	if err != nil {
		return nil, twirpError(err)
	}
	return &peerpb.Empty{}, nil
}

func (h *handler) Probe(ctx context.Context, r *peerpb.ProbeRequest) (*peerpb.ProbeReply, error) {
	d, ok, err := h.peer.Probe(ctx, almondstep.DaemonID(r.GetTarget()), decodeDigest(r.GetDigest()))
	if err != nil {
		return nil, twirpError(err)
	}
	out := &peerpb.ProbeReply{Digest: encodeDigest(d), Ok: ok}
	count(h.sent, "probeReply", out)
	return out, nil
}

func (h *handler) Pull(ctx context.Context, r *peerpb.PullRequest) (*peerpb.PullReply, error) {
	p, err := h.peer.Pull(ctx, almondstep.DaemonID(r.GetFrom()), decodeState(r.GetHave()))
	if err != nil {
		return nil, twirpError(err)
	}
	if p == nil {
		return &peerpb.PullReply{}, nil
	}
	out := &peerpb.PullReply{
		Found:    true,
		Name:     string(p.Name),
		FromHash: string(p.FromHash),
		Revision: uint64(p.Revision),
		Hash:     string(p.Hash),
		Body:     p.Body,
	}
	count(h.sent, "pullReply", out)
	return out, nil
}

func (h *handler) Claim(ctx context.Context, r *peerpb.ClaimRequest) (*peerpb.ClaimReply, error) {
	outcome, err := h.peer.Claim(ctx, &almondstep.ClaimKey{
		ID:          almondstep.QueryID(r.GetQuery()),
		Key:         r.GetKey(),
		Fingerprint: almondstep.Fingerprint(r.GetFingerprint()),
		Remaining:   time.Duration(r.GetRemaining()),
	})
	if err != nil {
		return nil, twirpError(err)
	}
	return &peerpb.ClaimReply{Outcome: uint32(outcome)}, nil
}

func (h *handler) Status(ctx context.Context, _ *peerpb.Empty) (*peerpb.StatusReply, error) {
	s, err := h.peer.Status(ctx)
	if err != nil {
		return nil, twirpError(err)
	}
	return encodeStatus(s), nil
}

// count reports the size of a control message to sent, if it is set.
func count(sent func(kind string, bytes int), kind string, m proto.Message) {
	if sent != nil {
		sent(kind, proto.Size(m))
	}
}

// twirpError gives ErrNotRun a code of its own, by which the calling daemon
// recognizes it.
func twirpError(err error) error {
	if errors.Is(err, almondstep.ErrNotRun) {
		return twirp.NewError(twirp.FailedPrecondition, err.Error())
	}
	return twirp.NewError(twirp.Unavailable, err.Error())
}
