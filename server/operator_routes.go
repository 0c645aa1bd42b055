package server

import (
	"context"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/zeromicro/go-zero/rest"
	"github.com/zeromicro/go-zero/rest/httpx"

	"almondstep"
)

const (
	// PathStatus returns the daemon's status.
	PathStatus = "/v1/status"
	// PathFleet returns the status of every daemon in this one's view, as a FleetStatus.
	PathFleet = "/v1/fleet"
	// PathMetrics returns the metrics in the Prometheus text format.
	PathMetrics = "/metrics"

	// fleetTimeout bounds how long one daemon may take to return its status.
	fleetTimeout = time.Second
	// maxFleetCalls bounds the number of concurrent status calls.
	maxFleetCalls = 32
)

// OperatorHandler serves operators' requests to a daemon.
type OperatorHandler struct {
	Frontend almondstep.Frontend
	// Self returns this daemon's status.
	Self func(ctx context.Context) (*almondstep.DaemonStatus, error)
	// Peers is the client for the other daemons.
	Peers almondstep.PeerClient
	// WriteMetrics writes the metrics.
	WriteMetrics func(w io.Writer)
}

// FleetStatus is the status of every daemon in the view.
type FleetStatus struct {
	Daemons []almondstep.DaemonStatus `json:"daemons"`
	// Silent lists the daemons whose status couldn't be read.
	Silent []almondstep.DaemonID `json:"silent,omitempty"`
}

// Routes returns the routes for operators.
func (o *OperatorHandler) Routes() []rest.Route {
	return []rest.Route{
		{Method: http.MethodGet, Path: PathStatus, Handler: o.status},
		{Method: http.MethodGet, Path: PathFleet, Handler: o.fleet},
		{Method: http.MethodGet, Path: PathReady, Handler: ReadyHandler(o.Frontend)},
		{Method: http.MethodGet, Path: PathMetrics, Handler: o.metrics},
	}
}

func (o *OperatorHandler) status(w http.ResponseWriter, r *http.Request) {
	s, err := o.Self(r.Context())
	if err != nil {
		httpx.WriteJson(w, http.StatusServiceUnavailable, Refusal{Message: err.Error()})
		return
	}
	httpx.WriteJson(w, http.StatusOK, s)
}

func (o *OperatorHandler) metrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	o.WriteMetrics(w)
}

func (o *OperatorHandler) fleet(w http.ResponseWriter, r *http.Request) {
	self, err := o.Self(r.Context())
	if err != nil {
		httpx.WriteJson(w, http.StatusServiceUnavailable, Refusal{Message: err.Error()})
		return
	}
	status := o.collectStatus(r.Context())
	status.Daemons = append(status.Daemons, *self)
	slices.SortFunc(status.Daemons, func(a, b almondstep.DaemonStatus) int {
		return strings.Compare(string(a.Daemon), string(b.Daemon))
	})
	slices.Sort(status.Silent)
	httpx.WriteJson(w, http.StatusOK, status)
}

// collectStatus gets the status of every other daemon of the view, a bounded
// number at a time.
func (o *OperatorHandler) collectStatus(ctx context.Context) FleetStatus {
	var (
		mu     sync.Mutex
		wg     sync.WaitGroup
		status FleetStatus
	)
	v := o.Frontend.View()
	sem := make(chan struct{}, maxFleetCalls)
	for id, addr := range v.Peers() {
		if id == v.Self() {
			continue
		}
		sem <- struct{}{}
		wg.Go(func() {
			defer func() { <-sem }()
			s, err := o.peerStatus(ctx, addr)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				status.Silent = append(status.Silent, id)
				return
			}
			status.Daemons = append(status.Daemons, *s)
		})
	}
	wg.Wait()
	return status
}

func (o *OperatorHandler) peerStatus(ctx context.Context, addr almondstep.Address) (*almondstep.DaemonStatus, error) {
	ctx, cancel := context.WithTimeout(ctx, fleetTimeout)
	defer cancel()
	return o.Peers.Status(ctx, addr)
}
