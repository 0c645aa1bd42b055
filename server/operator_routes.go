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
	// PathStatus answers what the daemon says of itself.
	PathStatus = "/v1/status"
	// PathFleet answers what every daemon this one knows says of itself.
	PathFleet = "/v1/fleet"
	// PathMetrics answers the metrics in the Prometheus text form.
	PathMetrics = "/metrics"

	// fleetTimeout bounds how long one daemon may take to say how it is.
	fleetTimeout = time.Second
	// fleetParallel bounds how many daemons are asked at a time.
	fleetParallel = 32
)

// Operators is what operators may ask of a daemon.
type Operators struct {
	Frontend almondstep.Frontend
	// Self says what this daemon says of itself.
	Self func(ctx context.Context) (*almondstep.DaemonStatus, error)
	// Peers asks the other daemons.
	Peers almondstep.PeerClient
	// WriteMetrics writes the metrics.
	WriteMetrics func(w io.Writer)
}

// FleetStatus is what every known daemon says of itself.
type FleetStatus struct {
	Daemons []almondstep.DaemonStatus `json:"daemons"`
	// Silent lists daemons that didn't answer.
	Silent []almondstep.DaemonID `json:"silent,omitempty"`
}

// Routes are what operators may ask.
func (o *Operators) Routes() []rest.Route {
	return []rest.Route{
		{Method: http.MethodGet, Path: PathStatus, Handler: o.status},
		{Method: http.MethodGet, Path: PathFleet, Handler: o.fleet},
		{Method: http.MethodGet, Path: PathReady, Handler: ReadyHandler(o.Frontend)},
		{Method: http.MethodGet, Path: PathMetrics, Handler: o.metrics},
	}
}

func (o *Operators) status(w http.ResponseWriter, r *http.Request) {
	s, err := o.Self(r.Context())
	if err != nil {
		httpx.WriteJson(w, http.StatusServiceUnavailable, Refusal{Message: err.Error()})
		return
	}
	httpx.WriteJson(w, http.StatusOK, s)
}

func (o *Operators) metrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	o.WriteMetrics(w)
}

func (o *Operators) fleet(w http.ResponseWriter, r *http.Request) {
	self, err := o.Self(r.Context())
	if err != nil {
		httpx.WriteJson(w, http.StatusServiceUnavailable, Refusal{Message: err.Error()})
		return
	}
	status := o.askAll(r.Context())
	status.Daemons = append(status.Daemons, *self)
	slices.SortFunc(status.Daemons, func(a, b almondstep.DaemonStatus) int {
		return strings.Compare(string(a.Daemon), string(b.Daemon))
	})
	slices.Sort(status.Silent)
	httpx.WriteJson(w, http.StatusOK, status)
}

// askAll asks every other daemon of the view, a bounded number at a time.
func (o *Operators) askAll(ctx context.Context) FleetStatus {
	var (
		mu     sync.Mutex
		wg     sync.WaitGroup
		status FleetStatus
	)
	v := o.Frontend.View()
	turns := make(chan struct{}, fleetParallel)
	for id, addr := range v.Peers() {
		if id == v.Self() {
			continue
		}
		turns <- struct{}{}
		wg.Go(func() {
			defer func() { <-turns }()
			s, err := o.askOne(ctx, addr)
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

func (o *Operators) askOne(ctx context.Context, addr almondstep.Address) (*almondstep.DaemonStatus, error) {
	ctx, cancel := context.WithTimeout(ctx, fleetTimeout)
	defer cancel()
	return o.Peers.Status(ctx, addr)
}
