package prober

import (
	"time"

	"almondstep"
)

// forgetAfter is how long a daemon that has vanished from the list is still
// counted among those that may hold a grant.
const forgetAfter = almondstep.WitnessTTL + 2*GoneMargin

// epochShift splits an incarnation. The upper half, the epoch, rises when a
// daemon has lost its witnesses for good and begins the ownership rules anew;
// the lower half rises when it refutes a suspicion, which costs it nothing.
const epochShift = 32

func newEpoch(n uint64) uint64 { return n << epochShift }

func epochOf(incarnation uint64) uint64 { return incarnation >> epochShift }

// member is what this daemon knows of another one.
type member struct {
	id   almondstep.DaemonID
	addr almondstep.Address
	zone almondstep.ZoneName

	listed      bool
	everListed  bool
	listLeaving bool
	knownAt     almondstep.Instant
	unlistedAt  almondstep.Instant

	// routing: who should get work
	state       almondstep.MemberState
	since       almondstep.Instant
	incarnation uint64
	// accused is the incarnation last called suspect or dead, so that it can be
	// told and refute.
	accused uint64

	probe outstanding
	ask   asked
	// cutOff says that this daemon can't reach it, though others can.
	cutOff bool

	// vouching for this daemon
	vouchEpoch uint64
	vouchUntil almondstep.Instant
	ackEpoch   uint64
	ackAt      almondstep.Instant
	nextRenew  almondstep.Instant
	refused    uint64
	// knowsMe says that its list of VMs names this daemon; votes, that it has
	// vouched, so that it is admitted itself.
	knowsMe bool
	votes   bool
	// nextInquiry is when it may be asked for a verdict again.
	nextInquiry almondstep.Instant

	// vouching by this daemon
	renewedEpoch uint64
	renewedAt    almondstep.Instant
	epochAt      almondstep.Instant
	saidGone     uint64
	// warned is the newest epoch of which any witness has said Gone.
	warned uint64

	// the verdict about it
	witnesses   []almondstep.DaemonID
	witnessesAt almondstep.Instant
	goneBy      map[almondstep.DaemonID]statement
	gone        uint64
	leftAt      almondstep.Instant
	hasLeft     bool
}

// statement is a witness's word that a daemon's epoch is gone, and when it was
// asked for.
type statement struct {
	epoch uint64
	asked almondstep.Instant
}

// outstanding is the one direct probe that a member may have not answered yet.
type outstanding struct {
	open        bool
	sentAt      almondstep.Instant
	incarnation uint64
	renews      bool
}

// asked counts the indirect probes under way.
type asked struct {
	open int
	// failed counts the direct probes in a row that failed.
	failed int
	next   almondstep.Instant
}

// routable says whether work may be sent to the member.
func (m *member) routable() bool {
	return m.listed && !m.listLeaving && m.state == almondstep.MemberAlive && !m.cutOff
}

// learn takes a higher incarnation. A mate that begins a new epoch takes back
// what it owns at once: the answer to its probe tells it what is known of that.
func (p *Prober) learn(now almondstep.Instant, m *member, incarnation uint64) {
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

// turn changes a member's state and says whether that was news.
func (p *Prober) turn(now almondstep.Instant, m *member, s almondstep.MemberState) bool {
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
		m.accused = m.incarnation
	}
	p.changed = true
	return true
}

// announce spreads a member's state.
func (p *Prober) announce(m *member, eager bool) {
	p.Spread(p.rumorOf(m), eager)
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
		if m.state != almondstep.MemberSuspect || now.Sub(m.since) < SuspectFor {
			continue
		}
		p.turn(now, m, almondstep.MemberDead)
		p.accuse(now, m)
	}
}

// accuse spreads a suspicion or a death, unless this daemon is itself cut off
// from its witnesses: then all others seem dead, and what it says of them would
// only make each of them refute when the cut heals.
func (p *Prober) accuse(now almondstep.Instant, m *member) {
	if _, ok := p.VouchedUntil(now); ok {
		p.announce(m, true)
	}
}

// hearMember takes a rumor about a daemon.
func (p *Prober) hearMember(now almondstep.Instant, r *almondstep.Rumor) {
	if r.Daemon == p.cfg.Self {
		p.refute(r)
		return
	}
	m := p.ensure(now, r.Daemon, r.Addr, r.Zone)
	if !supersedes(r, m) {
		return
	}
	p.learn(now, m, r.Incarnation)
	p.turn(now, m, r.Member)
	p.Spread(*r, r.Member != almondstep.MemberAlive)
}

// supersedes says whether a rumor is newer than what is known of the member.
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
	return r.Member > m.state && m.accused != r.Incarnation || r.Member == almondstep.MemberDead && m.state == almondstep.MemberSuspect
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

// Leave tells all that this daemon gives up what it owns, for good.
func (p *Prober) Leave() {
	if p.left {
		return
	}
	p.left = true
	p.changed = true
	p.Spread(p.selfRumor(), true)
}

// Rejoin begins a new epoch after the list of VMs has called this daemon leaving
// and no longer does.
func (p *Prober) Rejoin() {
	if !p.left {
		return
	}
	p.left = false
	p.newEpoch()
}

// newEpoch begins the ownership rules anew.
func (p *Prober) newEpoch() {
	p.incarnation = newEpoch(p.epoch() + 1)
	p.vouchedSince = 0
	p.changed = true
	p.Spread(p.selfRumor(), true)
	for _, m := range p.all {
		m.nextRenew = 0
	}
}

// Left says whether this daemon has given up what it owns.
func (p *Prober) Left() bool { return p.left }

// Routable says whether work may be sent to a daemon. This daemon may always
// ask itself, unless it has left.
func (p *Prober) Routable(id almondstep.DaemonID) bool {
	if id == p.cfg.Self {
		return !p.left
	}
	m := p.members[id]
	return m != nil && m.routable()
}

// Member tells a daemon's state and how long it has been in it.
func (p *Prober) Member(now almondstep.Instant, id almondstep.DaemonID) (almondstep.MemberState, time.Duration) {
	m := p.members[id]
	if m == nil {
		return almondstep.MemberDead, 0
	}
	return m.state, now.Sub(m.since)
}

// Listed says whether the list of VMs names this daemon.
func (p *Prober) Listed() bool { return p.listed }

// Peers gives the addresses of all listed daemons. Those that have left are still
// asked for the rest of what they began.
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
		out = p.send(now, m, false, out)
	}
	return out
}
