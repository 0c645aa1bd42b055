// Package prober implements the membership protocol: which daemons are alive, which
// witnesses confirm this daemon's lease, and whose leases have expired.
//
// There are two failure detectors. The one that decides where work is sent is fast
// and may be wrong for a short time: random probes, suspicion and rumors (member.go,
// probe.go, rumor.go). The one that decides whether this daemon alone may load an
// upstream is slow and must never be wrong: witnesses that confirm a lease for a
// limited time, and a verdict by a quorum of them (witness.go, renewal.go,
// verdict.go). README.md has the safety argument.
//
// For example, daemon b with deputy a, in a zone of three, after b has crashed:
//
//	0.0 s  b's last renewal reaches a and c
//	1.3 s  a probe of b fails, directly and through c: b is a suspect, and work
//	       for its upstreams goes to a, which sends one request at a time
//	5.3 s  a and c report b's lease expired: a has two of three votes and may use
//	       b's upstreams fully
package prober

import (
	"cmp"
	"slices"
	"time"

	"almondstep"
	"almondstep/ranker"
)

// Timeouts and intervals of the protocol.
const (
	// ProbeInterval is the time between two random probes.
	ProbeInterval = time.Second
	// ProbeTimeout bounds a direct probe.
	ProbeTimeout = 500 * time.Millisecond
	// IndirectTimeout bounds a probe through another daemon.
	IndirectTimeout = 800 * time.Millisecond
	// SuspectTimeout is how long a suspect may refute before it counts as dead.
	SuspectTimeout = 3 * time.Second
	// DeadProbeInterval is the time between two probes of dead daemons, by which
	// the two sides of a healed partition find each other.
	DeadProbeInterval = 5 * time.Second
	// RenewInterval is the time between two renewals with a witness.
	RenewInterval = almondstep.WitnessTTL / 2
	// RenewRetryInterval is the time between two renewals while the quorum is missing.
	RenewRetryInterval = 500 * time.Millisecond
	// ExpiryMargin covers the last request of a daemon whose lease has expired, and the
	// different rates of the daemons' clocks.
	ExpiryMargin = almondstep.ColdAttemptTimeout + 250*time.Millisecond
	// PauseThreshold is the gap between ticks above which this daemon assumes that
	// it was paused itself. As a witness it then gives the others a full TTL to renew.
	PauseThreshold = time.Second
)

// Config identifies this daemon and supplies the contents of its digests.
type Config struct {
	Self almondstep.DaemonID
	Addr almondstep.Address
	Zone almondstep.ZoneName
	// Epoch is the first epoch, above that of any earlier start under the same
	// id, such as the Unix time in seconds at the start; 0 means 1.
	Epoch uint32
	// Seed seeds the generator of all random choices.
	Seed uint64
	// Documents returns the states of documents that digests report.
	Documents func(now almondstep.Instant) []almondstep.DocumentState
	// Zones returns the confirmations of other zones that answers report. Probes
	// don't report any: their receiver has no send time from which the ages count.
	Zones func(now almondstep.Instant) []almondstep.ZoneConfirmation
}

// Prober is the membership state of one daemon. Its methods append effects to out.
type Prober struct {
	cfg     Config
	rng     generator
	members map[almondstep.DaemonID]*member
	// all contains the members in the order of their ids.
	all []*member
	// zoneDaemons are the listed daemons of the zone, this one included.
	zoneDaemons *ranker.Ranker
	// witnesses are this daemon's own, itself included if it is one.
	witnesses []almondstep.DaemonID
	// witnessed are the daemons that this one is a witness of.
	witnessed []*member
	// blockers are set by SetBlockers.
	blockers []almondstep.DaemonID

	fleetRevision almondstep.Revision
	listed        bool
	// listedRevision is the list's revision when this daemon was added to it.
	listedRevision almondstep.Revision
	// admitted is set once this daemon is a voter; see admit.
	admitted    bool
	admittedAt  almondstep.Instant
	incarnation uint64
	left        bool

	// quorumSince is when a quorum began to confirm the lease; 0 while none does.
	quorumSince almondstep.Instant

	lastTick      almondstep.Instant
	pausedAt      almondstep.Instant
	nextProbe     almondstep.Instant
	nextDeadProbe almondstep.Instant
	round         []*member

	queue     rumorQueue
	push      pusher
	zoneLease zoneLeaseState
	proxied   []proxiedProbe
	// routingChanged is set if routing may have changed, grantHoldersChanged if the
	// daemons of the zone that may hold a grant, or their epochs, have changed.
	routingChanged      bool
	grantHoldersChanged bool
}

// New returns a prober without members.
func New(cfg Config) *Prober {
	p := &Prober{
		cfg:         cfg,
		rng:         generator{almondstep.NewRandom(cfg.Seed ^ ranker.Hash(string(cfg.Self)))},
		members:     make(map[almondstep.DaemonID]*member),
		incarnation: firstIncarnation(max(1, uint64(cfg.Epoch))),
		push:        pusher{tokens: pushBurst},
	}
	p.zoneDaemons = ranker.New(nil)
	return p
}

// Tick does the periodic work: it probes, renews the lease, expires suspicions and
// leases, and pushes rumors.
func (p *Prober) Tick(now almondstep.Instant, out []almondstep.Effect) []almondstep.Effect {
	if now.Sub(p.lastTick) > PauseThreshold {
		p.pausedAt = now
	}
	p.lastTick = now
	p.expireSuspects(now)
	p.expireLeases(now)
	p.checkOwnEpoch(now)
	p.trackQuorum(now)
	out = p.renew(now, out)
	out = p.announceEpoch(now, out)
	out = p.queryWitnesses(now, out)
	out = p.probeNext(now, out)
	out = p.takeZoneLease(now, out)
	return p.pushRumors(now, out)
}

// TakeGrantHoldersChanged reports whether the daemons that may hold a grant, or their
// epochs, have changed since the last call.
func (p *Prober) TakeGrantHoldersChanged() bool {
	u := p.grantHoldersChanged
	p.grantHoldersChanged = false
	return u
}

// TakeRoutingChanged reports whether routing may have changed since the last call.
func (p *Prober) TakeRoutingChanged() bool {
	c := p.routingChanged
	p.routingChanged = false
	return c
}

// SetFleet applies a newer list of VMs. A daemon that is no longer listed is
// removed once it can't hold a grant any more.
func (p *Prober) SetFleet(now almondstep.Instant, f *almondstep.Fleet) {
	p.fleetRevision = f.Revision
	for _, m := range p.all {
		m.listed = false
	}
	wasListed := p.listed
	p.listed = false
	for _, vm := range f.Daemons {
		if vm.ID == p.cfg.Self {
			p.listed = true
			continue
		}
		p.addListed(now, vm)
	}
	if p.listed && !wasListed {
		p.listedRevision = f.Revision
	}
	p.removeUnlisted(now)
	p.updateWitnesses(now)
	p.routingChanged = true
	p.grantHoldersChanged = true
}

func (p *Prober) addListed(now almondstep.Instant, vm almondstep.DaemonVM) {
	m := p.ensure(now, vm.ID, vm.Addr, vm.Zone)
	m.addr, m.zone = vm.Addr, vm.Zone
	m.listed = true
	m.listLeaving = m.listLeaving || vm.State == almondstep.VMLeaving
	m.unlistedAt = 0
}

// removeUnlisted removes members that are no longer listed, once they can't hold a
// grant.
func (p *Prober) removeUnlisted(now almondstep.Instant) {
	kept := p.all[:0]
	for _, m := range p.all {
		if !m.listed && m.unlistedAt == 0 {
			m.unlistedAt = now + 1
		}
		if !m.listed && m.everListed && now.Sub(m.unlistedAt) > memberRetention {
			delete(p.members, m.id)
			continue
		}
		m.everListed = m.everListed || m.listed
		kept = append(kept, m)
	}
	p.all = kept
}

// updateWitnesses determines the witnesses of every daemon of the zone.
func (p *Prober) updateWitnesses(now almondstep.Instant) {
	var ids []almondstep.DaemonID
	for _, m := range p.all {
		if m.listed && m.zone == p.cfg.Zone {
			ids = append(ids, m.id)
		}
	}
	if p.listed {
		ids = append(ids, p.cfg.Self)
	}
	p.zoneDaemons = ranker.New(ids)
	p.witnesses = p.witnessesOf(p.cfg.Self)
	p.witnessed = p.witnessed[:0]
	for _, m := range p.all {
		if m.zone != p.cfg.Zone {
			continue
		}
		w := p.witnessesOf(m.id)
		if !slices.Equal(w, m.witnesses) {
			m.witnesses = w
			m.witnessesAt = now
		}
		if p.listed && m.listed && slices.Contains(w, p.cfg.Self) {
			p.witnessed = append(p.witnessed, m)
		}
	}
}

// ensure returns a member, and adds it if it is unknown.
func (p *Prober) ensure(now almondstep.Instant, id almondstep.DaemonID, addr almondstep.Address, zone almondstep.ZoneName) *member {
	if m := p.members[id]; m != nil {
		return m
	}
	m := &member{id: id, addr: addr, zone: zone, knownAt: now, expiryReports: make(map[almondstep.DaemonID]expiryReport)}
	p.members[id] = m
	i, _ := slices.BinarySearchFunc(p.all, id, func(m *member, id almondstep.DaemonID) int { return cmp.Compare(m.id, id) })
	p.all = slices.Insert(p.all, i, m)
	p.routingChanged = true
	p.grantHoldersChanged = p.grantHoldersChanged || zone == p.cfg.Zone
	return m
}
