package limiter

import (
	"slices"
	"time"

	"almondstep"
)

// upstream is the state of one upstream at its owner.
type upstream struct {
	addr           almondstep.Address
	service        almondstep.ServiceName
	serviceLatency *serviceLatency

	// appliedView is the view from which the next fields were last updated.
	appliedView *almondstep.View
	owned       bool
	grant       almondstep.Grant
	grantUntil  almondstep.Instant
	connections int
	dialTime    time.Duration
	zoneDrained bool
	// hadFullGrant is set once the full grant has been held; fullGrantLostAt is
	// when it was last lost.
	hadFullGrant    bool
	fullGrantLostAt almondstep.Instant

	boot almondstep.BootID
	// oldBoots has the former boots, of which the upstream list may still show
	// one.
	oldBoots []almondstep.BootID
	warmup   warmup
	marked   mark

	entries map[itemKey]*entry
	queue   queue
	calls   []*entry
	// abandoned has the calls that this daemon no longer waits for and that may
	// still run at the upstream.
	abandoned []abandonedCall
	suspects  suspects

	timerAt      almondstep.Instant
	backoffUntil almondstep.Instant
	answeredAt   almondstep.Instant
	// probes counts the backoffs before liveness probes since the upstream was
	// lost. A probe is for lastShard and lastVersion, those of the last request
	// sent.
	probes      int
	lastShard   almondstep.Shard
	lastVersion almondstep.Version
}

// mark is the state of an upstream last reported to the control thread.
type mark struct {
	temperature almondstep.Temperature
	boot        almondstep.BootID
}

const (
	// maxGrantGap is how long the full grant may be missing before the upstream
	// must warm up again. No other daemon receives the grant sooner.
	maxGrantGap = almondstep.ColdAttemptTimeout
	// freshFor is how long an answer confirms that the upstream is alive. After
	// that it may have restarted unnoticed, and gets one request at a time until
	// it answers.
	freshFor = 250 * time.Millisecond
	// maxOldBoots bounds the former boots kept of an upstream.
	maxOldBoots = 8
)

// lookup returns an upstream's state, and creates it if the view shows this
// daemon as its owner.
func (u *Upstreams) lookup(t *reduction, addr almondstep.Address) *upstream {
	if up := u.byAddr[addr]; up != nil {
		return up
	}
	o, ok := t.view.Owned(addr)
	if !ok {
		return nil
	}
	up := &upstream{
		addr:           addr,
		service:        o.Service(),
		serviceLatency: u.serviceLatencyOf(o.Service()),
		boot:           o.Boot(),
		marked:         mark{temperature: o.Temperature(), boot: o.Boot()},
		entries:        make(map[itemKey]*entry),
	}
	up.warmup.setSlots(o.Slots())
	up.warmup.turnCold()
	up.inherit(o)
	u.byAddr[addr] = up
	u.all = append(u.all, up)
	return up
}

// inherit adopts the state reported by the former owner where that state
// restricts the upstream (lost, leaving), or where the grant is for warm
// upstreams only.
func (up *upstream) inherit(o almondstep.OwnedUpstream) {
	restricted := o.Temperature() == almondstep.Lost || o.Temperature() == almondstep.Leaving
	if restricted || o.Grant() == almondstep.GrantWarmOnly {
		up.warmup.temperature = o.Temperature()
		up.warmup.limit = 1
		up.marked.temperature = o.Temperature()
	}
}

func (u *Upstreams) serviceLatencyOf(s almondstep.ServiceName) *serviceLatency {
	l := u.services[s]
	if l == nil {
		l = &serviceLatency{}
		u.services[s] = l
	}
	return l
}

// refresh updates the upstream to the present view and time. A full grant
// expires by time as well as by a new view: a daemon that was paused may hold a
// view whose grant another daemon has received meanwhile, and its traffic
// threads may run before its control thread does.
func (u *Upstreams) refresh(t *reduction, up *upstream) {
	if up.appliedView != t.view {
		u.applyView(t, up)
	}
	if up.grant == almondstep.GrantFull && up.grantUntil != 0 && t.now >= up.grantUntil {
		up.refreshGrant(t.now, almondstep.GrantWarmOnly)
	}
}

// applyView updates the upstream from a new view.
func (u *Upstreams) applyView(t *reduction, up *upstream) {
	up.appliedView = t.view
	o, owned := t.view.Owned(up.addr)
	grant := almondstep.GrantNone
	if owned {
		grant = o.Grant()
	}
	up.owned = owned
	up.grantUntil = o.GrantUntil()
	up.refreshGrant(t.now, grant)
	up.refreshZone(t.view)
	if !owned {
		return
	}
	up.connections = o.Connections()
	up.warmup.setSlots(o.Slots())
	up.refreshDialTime(t.view)
	u.refreshBoot(t, up, o)
	if grant != almondstep.GrantWarmOnly {
		return
	}
	if o.Temperature() != almondstep.Warm {
		up.warmup.dropToCold()
		return
	}
	if up.untried() {
		up.inherit(o)
	}
}

// untried reports whether the upstream is cold only for lack of information:
// this daemon never held its full grant and never sent anything to it.
func (up *upstream) untried() bool {
	if up.warmup.temperature != almondstep.Cold || up.hadFullGrant {
		return false
	}
	noResults := up.answeredAt == 0 && up.warmup.unansweredInRow == 0 && up.warmup.refusedInRow == 0
	return noResults && len(up.calls) == 0 && len(up.abandoned) == 0
}

// refreshGrant records the grant. If the full grant was missing for so long that
// another daemon may have used the upstream, it makes the upstream cold.
func (up *upstream) refreshGrant(now almondstep.Instant, grant almondstep.Grant) {
	before := up.grant
	up.grant = grant
	if grant != almondstep.GrantFull {
		if before == almondstep.GrantFull {
			up.fullGrantLostAt = now
		}
		return
	}
	if before == almondstep.GrantFull {
		return
	}
	if !up.hadFullGrant || now.Sub(up.fullGrantLostAt) >= maxGrantGap {
		up.warmup.dropToCold()
	}
	up.hadFullGrant = true
}

// refreshZone records whether this daemon's zone is drained, and makes the
// upstream cold when the zone is restored.
func (up *upstream) refreshZone(v *almondstep.View) {
	drained := v.Catalog() != nil && v.Catalog().ZoneDrained(v.Zone())
	if up.zoneDrained && !drained {
		up.warmup.dropToCold()
	}
	up.zoneDrained = drained
}

func (up *upstream) refreshDialTime(v *almondstep.View) {
	if v.Catalog() == nil {
		return
	}
	if s, ok := v.Catalog().Service(up.service); ok {
		up.dialTime = s.DialTime()
	}
}

// refreshBoot records the boot and leaving state from the upstream list, unless
// an answer has already shown a later boot: the list lags behind.
func (u *Upstreams) refreshBoot(t *reduction, up *upstream, o almondstep.OwnedUpstream) {
	if slices.Contains(up.oldBoots, o.Boot()) {
		return
	}
	u.noteBoot(t, up, o.Boot())
	if o.Leaving() {
		up.warmup.temperature = almondstep.Leaving
	}
}

// noteBoot records the boot shown by an answer or the upstream list. An upstream
// with a new boot is cold, and one of the requests in flight before may have
// crashed it.
func (u *Upstreams) noteBoot(t *reduction, up *upstream, boot almondstep.BootID) {
	if boot == "" || boot == up.boot {
		return
	}
	known := up.boot != ""
	if known {
		up.rememberBoot(up.boot)
	}
	up.boot = boot
	if !known {
		return
	}
	up.warmup.turnCold()
	up.warmup.refusedInRow = 0
	up.warmup.unansweredInRow = 0
	u.reportSuspects(t, up)
}

func (up *upstream) rememberBoot(boot almondstep.BootID) {
	if len(up.oldBoots) >= maxOldBoots {
		up.oldBoots = slices.Delete(up.oldBoots, 0, 1)
	}
	up.oldBoots = append(up.oldBoots, boot)
}

// closedReason returns the reason for refusing all items of the upstream, empty
// if items may be queued.
func (up *upstream) closedReason() almondstep.Reason {
	switch {
	case !up.owned || up.grant == almondstep.GrantNone:
		return almondstep.ReasonNotOwner
	case up.zoneDrained:
		return almondstep.ReasonZoneDrained
	case up.warmup.temperature == almondstep.Leaving:
		return almondstep.ReasonLeaving
	case up.warmup.temperature == almondstep.Lost:
		return almondstep.ReasonUnreachable
	case up.grant == almondstep.GrantWarmOnly && up.warmup.temperature != almondstep.Warm:
		return almondstep.ReasonCold
	default:
		return ""
	}
}

// limit returns how many requests may be in flight now, at least 1, for wait
// estimates.
func (up *upstream) limit() int {
	return max(1, up.warmup.capacity())
}

// busy returns how many requests count as running at the upstream. For a cold
// upstream, and one that other daemons may use too, abandoned calls count until
// they must have ended. For a warm one that hasn't answered lately a canceled
// call counts only until the cancellation must have taken effect: otherwise a
// single canceled hedge would block an idle upstream until the hedge's deadline.
// For a warm one that has answered lately abandoned calls don't count.
func (up *upstream) busy(now almondstep.Instant) int {
	up.pruneAbandoned(now)
	if up.confirmedWarm(now) {
		return len(up.calls)
	}
	busy := len(up.calls)
	for _, c := range up.abandoned {
		if up.countedUntil(c) > now {
			busy++
		}
	}
	return busy
}

// countedUntil returns when an abandoned call no longer counts as running.
func (up *upstream) countedUntil(c abandonedCall) almondstep.Instant {
	if up.warmup.temperature == almondstep.Warm && up.grant == almondstep.GrantFull {
		return c.canceledBy
	}
	return c.endedBy
}

// pruneAbandoned drops the abandoned calls that have ended.
func (up *upstream) pruneAbandoned(now almondstep.Instant) {
	up.abandoned = slices.DeleteFunc(up.abandoned, func(c abandonedCall) bool { return c.endedBy <= now })
}

// mayStart reports whether one more request may be sent. Without the full grant
// or a recent answer only one may be in flight.
func (up *upstream) mayStart(now almondstep.Instant) bool {
	capacity := up.warmup.capacity()
	if up.grant != almondstep.GrantFull || !up.fresh(now) {
		capacity = min(capacity, 1)
	}
	return up.busy(now) < capacity && up.backoffUntil <= now
}

// fresh reports whether the last answer is recent enough to confirm that the
// upstream is alive.
func (up *upstream) fresh(now almondstep.Instant) bool {
	return now.Sub(up.answeredAt) < freshFor
}

// confirmedWarm reports whether the upstream is warm, has answered lately, and
// this daemon holds its full grant.
func (up *upstream) confirmedWarm(now almondstep.Instant) bool {
	warm := up.warmup.temperature == almondstep.Warm
	return warm && up.grant == almondstep.GrantFull && up.fresh(now)
}
