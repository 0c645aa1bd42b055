package prober

import (
	"time"

	"almondstep"
)

// memberRetention is how long a daemon that was removed from the list of VMs
// still counts among those that may hold a grant.
const memberRetention = almondstep.WitnessTTL + 2*ExpiryMargin

// epochShift splits an incarnation. The upper half, the epoch, is incremented when
// too many witnesses have declared a daemon's lease expired, and it has to acquire
// ownership again; the lower half is incremented when the daemon refutes a
// suspicion, which doesn't affect its ownership.
const epochShift = 32

func firstIncarnation(n uint64) uint64 { return n << epochShift }

func epochOf(incarnation uint64) uint64 { return incarnation >> epochShift }

// member is this daemon's state of another daemon.
type member struct {
	id   almondstep.DaemonID
	addr almondstep.Address
	zone almondstep.ZoneName

	listed      bool
	everListed  bool
	listLeaving bool
	knownAt     almondstep.Instant
	unlistedAt  almondstep.Instant

	// routing: whether work is sent to the member
	state       almondstep.MemberState
	since       almondstep.Instant
	incarnation uint64
	// accusedIncarnation is the incarnation last reported suspect or dead. It is
	// sent to the member, which can refute it.
	accusedIncarnation uint64

	probe    pendingProbe
	indirect indirectProbing
	// unreachable: this daemon can't reach the member, but others can.
	unreachable bool

	// the member as a witness of this daemon
	confirmedEpoch uint64
	confirmedUntil almondstep.Instant
	ackEpoch       uint64
	ackAt          almondstep.Instant
	nextRenew      almondstep.Instant
	refusedEpoch   uint64
	// listsSelf: the member's list of VMs contains this daemon. isVoter: the member
	// has confirmed a lease, so it is admitted itself.
	listsSelf bool
	isVoter   bool
	// nextQuery is when it may be queried for expired leases again.
	nextQuery almondstep.Instant

	// this daemon as a witness of the member
	renewedEpoch uint64
	renewedAt    almondstep.Instant
	epochAt      almondstep.Instant
	expiredEpoch uint64
	// warnedEpoch is the newest epoch whose lease any witness has reported expired.
	warnedEpoch uint64

	// the quorum's verdict on the member's lease
	witnesses     []almondstep.DaemonID
	witnessesAt   almondstep.Instant
	expiryReports map[almondstep.DaemonID]expiryReport
	verdictEpoch  uint64
	leftAt        almondstep.Instant
	hasLeft       bool
}

// expiryReport is a witness's report that the lease of a daemon's epoch has
// expired; sentAt is when the report was requested.
type expiryReport struct {
	epoch  uint64
	sentAt almondstep.Instant
}

// pendingProbe is the direct probe in flight to a member; there is at most one.
type pendingProbe struct {
	open        bool
	sentAt      almondstep.Instant
	incarnation uint64
	renews      bool
}

// indirectProbing is the state of the indirect probes of a member.
type indirectProbing struct {
	open int
	// failed counts consecutive failures of direct probes.
	failed int
	next   almondstep.Instant
}

// routable reports whether work may be sent to the member.
func (m *member) routable() bool {
	return m.listed && !m.listLeaving && m.state == almondstep.MemberAlive && !m.unreachable
}

// raiseIncarnation records a higher incarnation. A daemon of the zone that begins
// a new epoch reclaims the upstreams it owns: it relies on the answer to its
// probe, so a view that takes account of that is published at once.
func (p *Prober) raiseIncarnation(now almondstep.Instant, m *member, incarnation uint64) {
	if incarnation <= m.incarnation {
		return
	}
	if epochOf(incarnation) > epochOf(m.incarnation) {
		p.urgent = p.urgent || m.zone == p.cfg.Zone
		m.epochAt = now
		m.hasLeft = false
		m.listLeaving = false
	}
	m.incarnation = incarnation
}

// setState changes a member's state and reports whether it differed before.
func (p *Prober) setState(now almondstep.Instant, m *member, s almondstep.MemberState) bool {
	if m.state == s || m.hasLeft {
		return false
	}
	m.state = s
	m.since = now
	if s == almondstep.MemberLeft {
		m.hasLeft = true
		m.leftAt = now
	}
	if s == almondstep.MemberSuspect || s == almondstep.MemberDead {
		m.accusedIncarnation = m.incarnation
	}
	p.changed = true
	return true
}

// spreadState spreads a member's state.
func (p *Prober) spreadState(m *member, push bool) {
	p.Spread(p.rumorOf(m), push)
}

func (p *Prober) rumorOf(m *member) almondstep.Rumor {
	return almondstep.Rumor{
		Kind:        almondstep.RumorMember,
		Daemon:      m.id,
		Addr:        m.addr,
		Zone:        m.zone,
		Member:      m.state,
		Incarnation: m.incarnation,
	}
}

func (p *Prober) expireSuspects(now almondstep.Instant) {
	for _, m := range p.all {
		if m.state != almondstep.MemberSuspect || now.Sub(m.since) < SuspectTimeout {
			continue
		}
		p.setState(now, m, almondstep.MemberDead)
		p.spreadSuspicion(now, m)
	}
}

// spreadSuspicion spreads a suspicion or a death, unless this daemon itself has no
// quorum of witnesses: during a partition all others seem dead to it, and its
// rumors would only make each of them refute when the partition heals.
func (p *Prober) spreadSuspicion(now almondstep.Instant, m *member) {
	if _, ok := p.LeaseValidUntil(now); ok {
		p.spreadState(m, true)
	}
}

// applyMemberRumor applies a rumor about a daemon.
func (p *Prober) applyMemberRumor(now almondstep.Instant, r *almondstep.Rumor) {
	if r.Daemon == p.cfg.Self {
		p.refute(r)
		return
	}
	m := p.ensure(now, r.Daemon, r.Addr, r.Zone)
	if !supersedes(r, m) {
		return
	}
	p.raiseIncarnation(now, m, r.Incarnation)
	p.setState(now, m, r.Member)
	p.Spread(*r, r.Member != almondstep.MemberAlive)
}

// supersedes reports whether a rumor is newer than the known state of the member.
func supersedes(r *almondstep.Rumor, m *member) bool {
	theirs, known := epochOf(r.Incarnation), epochOf(m.incarnation)
	if theirs != known {
		return theirs > known
	}
	if m.hasLeft || r.Member == almondstep.MemberLeft {
		return !m.hasLeft
	}
	if r.Incarnation != m.incarnation {
		return r.Incarnation > m.incarnation
	}
	return r.Member > m.state && m.accusedIncarnation != r.Incarnation || r.Member == almondstep.MemberDead && m.state == almondstep.MemberSuspect
}

// refute answers a suspicion of this daemon with a higher incarnation.
func (p *Prober) refute(r *almondstep.Rumor) {
	if r.Member == almondstep.MemberAlive || r.Incarnation < p.incarnation || p.left {
		return
	}
	p.incarnation = r.Incarnation + 1
	p.Spread(p.selfRumor(), false)
}

func (p *Prober) selfRumor() almondstep.Rumor {
	state := almondstep.MemberAlive
	if p.left {
		state = almondstep.MemberLeft
	}
	return almondstep.Rumor{
		Kind:        almondstep.RumorMember,
		Daemon:      p.cfg.Self,
		Addr:        p.cfg.Addr,
		Zone:        p.cfg.Zone,
		Member:      state,
		Incarnation: p.incarnation,
	}
}

// Leave announces that this daemon permanently gives up the upstreams it owns.
func (p *Prober) Leave() {
	if p.left {
		return
	}
	p.left = true
	p.changed = true
	p.Spread(p.selfRumor(), true)
}

// Rejoin begins a new epoch when the list of VMs no longer marks this daemon as
// leaving.
func (p *Prober) Rejoin() {
	if !p.left {
		return
	}
	p.left = false
	p.startEpoch()
}

// startEpoch begins a new epoch, in which ownership has to be acquired again.
func (p *Prober) startEpoch() {
	p.incarnation = firstIncarnation(p.epoch() + 1)
	p.quorumSince = 0
	p.changed = true
	p.Spread(p.selfRumor(), true)
	for _, m := range p.all {
		m.nextRenew = 0
	}
}

// Left reports whether this daemon has given up the upstreams it owns.
func (p *Prober) Left() bool { return p.left }

// Routable reports whether work may be sent to a daemon. This daemon may always
// send work to itself, unless it has left.
func (p *Prober) Routable(id almondstep.DaemonID) bool {
	if id == p.cfg.Self {
		return !p.left
	}
	m := p.members[id]
	return m != nil && m.routable()
}

// Member returns a daemon's state and how long it has been in that state.
func (p *Prober) Member(now almondstep.Instant, id almondstep.DaemonID) (almondstep.MemberState, time.Duration) {
	m := p.members[id]
	if m == nil {
		return almondstep.MemberDead, 0
	}
	return m.state, now.Sub(m.since)
}

// Listed reports whether the list of VMs contains this daemon.
func (p *Prober) Listed() bool { return p.listed }

// Peers returns the addresses of all listed daemons, including those that have
// left: they still answer for the requests they had begun.
func (p *Prober) Peers() map[almondstep.DaemonID]almondstep.Address {
	peers := make(map[almondstep.DaemonID]almondstep.Address, len(p.all))
	for _, m := range p.all {
		if m.listed {
			peers[m.id] = m.addr
		}
	}
	return peers
}

// ProbeZone probes a random daemon of another zone.
func (p *Prober) ProbeZone(now almondstep.Instant, zone almondstep.ZoneName, out []almondstep.Effect) []almondstep.Effect {
	accept := func(m *member) bool { return m.zone == zone && m.routable() && !m.probe.open }
	for _, m := range p.pick(1, accept) {
		out = p.sendProbe(now, m, false, out)
	}
	return out
}
