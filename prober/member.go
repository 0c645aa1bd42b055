package prober

import (
	"time"

	"almondstep"
)

// memberRetention is how long a daemon still counts among those that may hold a grant
// after it was removed from the list of VMs.
const memberRetention = almondstep.WitnessTTL + 2*ExpiryMargin

// epochShift splits an incarnation. The upper half, the epoch, is incremented when
// too many witnesses have declared a daemon's lease expired, and it has to acquire
// ownership again; the lower half is incremented when the daemon refutes a
// suspicion, which doesn't affect its ownership.
const epochShift = 32

func firstIncarnation(n uint64) uint64 { return n << epochShift }

func epochOf(incarnation uint64) uint64 { return incarnation >> epochShift }

// member is what this daemon has recorded about another daemon.
type member struct {
	id   almondstep.DaemonID
	addr almondstep.Address
	zone almondstep.ZoneName

	// the member in the list of VMs: contained now or ever, its VM leaving
	listed      bool
	everListed  bool
	listLeaving bool
	// knownAt is when the member was first recorded.
	knownAt almondstep.Instant
	// unlistedAt is when the member was first found missing from the list, plus 1 so
	// that it is not 0; 0 while it is listed.
	unlistedAt almondstep.Instant

	// routing: whether work is sent to the member
	state       almondstep.MemberState
	stateSince  almondstep.Instant
	incarnation uint64
	// accusedIncarnation is the incarnation last reported suspect or dead. It is
	// sent to the member, which can refute it.
	accusedIncarnation uint64

	probe    pendingProbe
	indirect indirectProbing
	// unreachable is set if this daemon can't reach the member, but others can.
	unreachable bool

	// the member as a witness of this daemon

	// confirmedEpoch is the epoch of this daemon whose lease the member last confirmed.
	confirmedEpoch uint64
	confirmedUntil almondstep.Instant
	// ackEpoch is the epoch of this daemon that the member last acknowledged, ackAt when
	// it did so first.
	ackEpoch     uint64
	ackAt        almondstep.Instant
	nextRenewal  almondstep.Instant
	refusedEpoch uint64
	// listsSelf is set if the member's list of VMs contains this daemon, isVoter if the
	// member has confirmed a lease, so it is admitted itself.
	listsSelf bool
	isVoter   bool
	// nextQuery is when the member may be queried for expired leases again.
	nextQuery almondstep.Instant

	// this daemon as a witness of the member
	renewedEpoch uint64
	renewedAt    almondstep.Instant
	epochAt      almondstep.Instant
	expiredEpoch uint64
	// warnedEpoch is the newest epoch of the member whose lease any daemon of the zone
	// has reported expired.
	warnedEpoch uint64

	// the quorum's verdict on the member's lease; witnessesAt is when the member's
	// witnesses last changed, verdictEpoch the newest epoch whose lease has expired
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

// raiseIncarnation records a higher incarnation. A daemon of the zone that begins a
// new epoch takes this daemon's answer to its probe as a sign that this daemon no
// longer uses the upstreams it owns, so ownership must be recomputed before the answer.
func (p *Prober) raiseIncarnation(now almondstep.Instant, m *member, incarnation uint64) {
	if incarnation <= m.incarnation {
		return
	}
	if epochOf(incarnation) > epochOf(m.incarnation) {
		p.grantHoldersChanged = p.grantHoldersChanged || m.zone == p.cfg.Zone
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
	m.stateSince = now
	if s == almondstep.MemberLeft {
		m.hasLeft = true
		m.leftAt = now
	}
	if s == almondstep.MemberSuspect || s == almondstep.MemberDead {
		m.accusedIncarnation = m.incarnation
	}
	p.routingChanged = true
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
		if m.state != almondstep.MemberSuspect || now.Sub(m.stateSince) < SuspectTimeout {
			continue
		}
		p.setState(now, m, almondstep.MemberDead)
		p.spreadSuspicion(now, m)
	}
}

// spreadSuspicion spreads a suspicion or a death, unless no quorum of witnesses
// confirms this daemon's own lease: in a partition it considers all others dead, and
// its rumors would only make each of them refute when the partition heals.
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

// supersedes reports whether a rumor is newer than the recorded state of the member.
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

// refute answers a rumor that this daemon is not alive with a higher incarnation.
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

// Leave announces that this daemon gives up the upstreams it owns, until Rejoin.
func (p *Prober) Leave() {
	if p.left {
		return
	}
	p.left = true
	p.routingChanged = true
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
	p.routingChanged = true
	p.Spread(p.selfRumor(), true)
	for _, m := range p.all {
		m.nextRenewal = 0
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

// Member returns a daemon's state and how long it has been in that state; MemberDead
// and 0 if it is unknown.
func (p *Prober) Member(now almondstep.Instant, id almondstep.DaemonID) (almondstep.MemberState, time.Duration) {
	m := p.members[id]
	if m == nil {
		return almondstep.MemberDead, 0
	}
	return m.state, now.Sub(m.stateSince)
}

// Listed reports whether the list of VMs contains this daemon.
func (p *Prober) Listed() bool { return p.listed }

// Peers returns the addresses of the other listed daemons, including those that have
// left: they still serve the requests in flight.
func (p *Prober) Peers() map[almondstep.DaemonID]almondstep.Address {
	peers := make(map[almondstep.DaemonID]almondstep.Address, len(p.all))
	for _, m := range p.all {
		if m.listed {
			peers[m.id] = m.addr
		}
	}
	return peers
}

// ProbeZone probes a random routable daemon of a zone, if any has no probe in flight.
func (p *Prober) ProbeZone(now almondstep.Instant, zone almondstep.ZoneName, out []almondstep.Effect) []almondstep.Effect {
	accept := func(m *member) bool { return m.zone == zone && m.routable() && !m.probe.open }
	for _, m := range p.pick(1, accept) {
		out = p.sendProbe(now, m, false, out)
	}
	return out
}
