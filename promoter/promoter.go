package promoter

import (
	"maps"
	"slices"
	"time"

	"almondstep"
	"almondstep/ranker"
)

const (
	// DefaultShare is the default of Config.Share.
	DefaultShare = 0.1
	// DefaultRollback is the default of Config.Rollback.
	DefaultRollback = 5 * time.Second
	// reportInterval is the time between two reports to the leader.
	reportInterval = time.Second
	// claimSpread spreads the daemons' attempts to become the leader if there is none.
	claimSpread = 1500 * time.Millisecond
)

// Config configures a Promoter.
type Config struct {
	Self almondstep.DaemonID
	// Share is the share of a service's requests that a bad version may get; 0 means
	// DefaultShare.
	Share float64
	// Slack is the number of requests that it may get beyond Share.
	Slack float64
	// Rollback is the time within which a bad version must get no more requests; 0 means
	// DefaultRollback. A leader that hasn't answered for half of it is replaced.
	Rollback time.Duration
	// Update is the time within which a decision in the registry reaches every daemon.
	Update time.Duration
}

// Promoter is the control partition for rollouts. Its methods must not be called concurrently.
type Promoter struct {
	cfg Config
	// view is that of the event being processed.
	view *almondstep.View
	// tallies has what this daemon has observed, by service.
	tallies map[almondstep.ServiceName]*ownTally
	// leader is the daemon that leads, as far as this one knows.
	leader almondstep.RolloutLeader
	// absentAt and failingAt are since when there has been no leader, or it hasn't answered; 0
	// if there is one, or it has.
	absentAt, failingAt almondstep.Instant
	// reporting is set while a report is under way; the next one is due at reportAt.
	reporting bool
	reportAt  almondstep.Instant
	// led has the rollouts that this daemon leads. writing is set while a write is under way;
	// the next one may begin at writeAt.
	led     map[almondstep.ServiceName]*ledRollout
	writing bool
	writeAt almondstep.Instant
}

// New returns a Promoter.
func New(cfg Config) *Promoter {
	if cfg.Share == 0 {
		cfg.Share = DefaultShare
	}
	if cfg.Rollback == 0 {
		cfg.Rollback = DefaultRollback
	}
	return &Promoter{
		cfg:     cfg,
		tallies: make(map[almondstep.ServiceName]*ownTally),
		led:     make(map[almondstep.ServiceName]*ledRollout),
	}
}

// Reduce processes one event and appends the resulting effects to out.
func (p *Promoter) Reduce(now almondstep.Instant, v *almondstep.View, e almondstep.Event, out []almondstep.Effect) []almondstep.Effect {
	p.view = v
	switch e := e.(type) {
	case *almondstep.ControlTick:
		return p.tick(now, out)
	case *almondstep.ViewChanged:
		p.follow()
	case *almondstep.RolloutObserved:
		return p.observed(now, e, out)
	case *almondstep.RolloutReportArrived:
		return p.reportArrived(now, e, out)
	case *almondstep.RolloutReportEnded:
		return p.reportEnded(now, e, out)
	case *almondstep.RolloutWritten:
		return p.written(now, e, out)
	}
	return out
}

func (p *Promoter) tick(now almondstep.Instant, out []almondstep.Effect) []almondstep.Effect {
	p.follow()
	if len(p.rollouts()) == 0 {
		return out
	}
	out = p.claim(now, out)
	out = p.report(now, out)
	return p.lead(now, out)
}

// rollouts returns the rollouts in the registry cache.
func (p *Promoter) rollouts() map[almondstep.ServiceName]*almondstep.Rollout {
	if d := p.view.Directory(); d != nil {
		return d.Rollouts()
	}
	return nil
}

// services lists the services with rollouts, in order.
func (p *Promoter) services() []almondstep.ServiceName {
	return slices.Sorted(maps.Keys(p.rollouts()))
}

// follow takes the leader from the registry cache, and drops the state of rollouts that are no
// longer there.
func (p *Promoter) follow() {
	if d := p.view.Directory(); d != nil && d.RolloutLeader().Revision > p.leader.Revision {
		p.setLeader(d.RolloutLeader())
	}
	for service := range p.tallies {
		if p.rollouts()[service] == nil {
			delete(p.tallies, service)
		}
	}
	for service := range p.led {
		if r := p.rollouts()[service]; r == nil || r.Order == nil {
			delete(p.led, service)
		}
	}
}

func (p *Promoter) setLeader(l almondstep.RolloutLeader) {
	p.leader = l
	p.failingAt = 0
	if !p.leads() {
		clear(p.led)
	}
}

// leads reports whether this daemon is the leader.
func (p *Promoter) leads() bool { return p.leader.Daemon == p.cfg.Self && p.cfg.Self != "" }

// open reports whether a rollout waits for a decision, or a decision for being stored.
func (p *Promoter) open() bool {
	for _, r := range p.rollouts() {
		if d := r.Current(); r.Order != nil && (d == nil || !d.Final() || r.Unstored) {
			return true
		}
	}
	return false
}

// claim makes this daemon the leader if there is none, or if it hasn't answered for half of the
// time within which a bad version must be rolled back. Each daemon waits a time of its own more,
// so that usually one writes. An older leader that still runs can't write any more then, since
// its writes depend on the entry's revision.
func (p *Promoter) claim(now almondstep.Instant, out []almondstep.Effect) []almondstep.Effect {
	absent := p.leader.Daemon == ""
	switch {
	case p.leads() || !p.open():
		p.absentAt = 0
		return out
	case !absent:
		p.absentAt = 0
	case p.absentAt == 0:
		p.absentAt = now
	}
	own := time.Duration(ranker.Hash(string(p.cfg.Self)) % uint64(claimSpread))
	due := absent && now >= p.absentAt.Add(own) ||
		p.failingAt != 0 && now >= p.failingAt.Add(p.cfg.Rollback/2+own)
	if !due || p.writing || now < p.writeAt {
		return out
	}
	f := &almondstep.WriteRollout{LeaderRevision: p.leader.Revision}
	if absent {
		f.LeaderRevision = 0
	}
	p.writing = true
	return append(out, f)
}
