package limiter

import (
	"slices"
	"time"

	"almondstep"
)

// upstream is the state of one upstream at its owner.
type upstream struct {
	addr    almondstep.Address
	service almondstep.ServiceName
	pace    *pace

	// seen is the view the fields below were last read from.
	seen        *almondstep.View
	owned       bool
	grant       almondstep.Grant
	grantUntil  almondstep.Instant
	connections int
	dialTime    time.Duration
	zoneOut     bool
	// wasFull says that the full grant was held once; notFullSince is when it was
	// lost, 0 while it holds.
	wasFull      bool
	notFullSince almondstep.Instant

	boot     almondstep.BootID
	oldBoots []almondstep.BootID
	warmth   warmth
	marked   mark

	entries map[itemKey]*entry
	queue   queue
	calls   []*entry
	// ghosts are the times until which requests that this daemon has given up
	// may still run at the upstream.
	ghosts   []ghost
	suspects suspects

	timerAt    almondstep.Instant
	pauseUntil almondstep.Instant
	answeredAt almondstep.Instant
	proofs     int
	lastShard  almondstep.Shard
	lastVer    almondstep.Version
}

// mark is what the control thread was last told of an upstream.
type mark struct {
	temperature almondstep.Temperature
	boot        almondstep.BootID
}

const (
	// gapUntilCold is how long the full grant may be away without a new proof of
	// warmth. No other daemon gets the grant in less.
	gapUntilCold = almondstep.ColdAttemptTimeout
	// freshFor is how long an answer vouches for the upstream. After that it may
	// have restarted unseen, and gets one request before it gets more.
	freshFor = 250 * time.Millisecond
	// bootsKept is how many former boots of an upstream are remembered.
	bootsKept = 8
)

// lookup finds an upstream's state, and makes it if the view says that this
// daemon owns it.
func (u *Upstreams) lookup(t *turn, addr almondstep.Address) *upstream {
	if up := u.byAddr[addr]; up != nil {
		return up
	}
	o, ok := t.view.Owned(addr)
	if !ok {
		return nil
	}
	up := &upstream{
		addr:    addr,
		service: o.Service(),
		pace:    u.paceOf(o.Service()),
		boot:    o.Boot(),
		marked:  mark{temperature: o.Temperature(), boot: o.Boot()},
		entries: make(map[itemKey]*entry),
	}
	up.warmth.setSlots(o.Slots())
	up.warmth.turnCold()
	up.inherit(o)
	u.byAddr[addr] = up
	u.all = append(u.all, up)
	return up
}

// inherit takes the word of the former owner where it makes this one more
// careful, or where the grant is for warm upstreams only.
func (up *upstream) inherit(o almondstep.OwnedUpstream) {
	careful := o.Temperature() == almondstep.Lost || o.Temperature() == almondstep.Leaving
	if careful || o.Grant() == almondstep.GrantWarmOnly {
		up.warmth.temperature = o.Temperature()
		up.warmth.limit = 1
		up.marked.temperature = o.Temperature()
	}
}

func (u *Upstreams) paceOf(s almondstep.ServiceName) *pace {
	p := u.services[s]
	if p == nil {
		p = &pace{}
		u.services[s] = p
	}
	return p
}

// refresh brings the upstream to the present view and time. A full grant ends
// by itself: a daemon that was paused may hold a view whose grant has gone to
// another daemon meanwhile, and its traffic threads may run before its control
// thread does.
func (u *Upstreams) refresh(t *turn, up *upstream) {
	if up.seen != t.view {
		u.takeView(t, up)
	}
	if up.grant == almondstep.GrantFull && up.grantUntil != 0 && t.now >= up.grantUntil {
		up.refreshGrant(t.now, almondstep.GrantWarmOnly)
	}
}

// takeView takes what a new view says of the upstream.
func (u *Upstreams) takeView(t *turn, up *upstream) {
	up.seen = t.view
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
	up.warmth.setSlots(o.Slots())
	up.refreshDialTime(t.view)
	u.refreshBoot(t, up, o)
	if grant != almondstep.GrantWarmOnly {
		return
	}
	if o.Temperature() != almondstep.Warm {
		up.warmth.fall()
		return
	}
	if up.untried() {
		up.inherit(o)
	}
}

// untried says that the upstream is cold only for want of any word: it was never
// this daemon's to use fully, and nothing was ever sent to it from here.
func (up *upstream) untried() bool {
	if up.warmth.temperature != almondstep.Cold || up.wasFull {
		return false
	}
	silent := up.answeredAt == 0 && up.warmth.silent == 0 && up.warmth.refused == 0
	return silent && len(up.calls) == 0 && len(up.ghosts) == 0
}

// refreshGrant makes the upstream prove its warmth anew if another daemon may
// have used it meanwhile.
func (up *upstream) refreshGrant(now almondstep.Instant, grant almondstep.Grant) {
	before := up.grant
	up.grant = grant
	if grant != almondstep.GrantFull {
		if before == almondstep.GrantFull {
			up.notFullSince = now
		}
		return
	}
	if before == almondstep.GrantFull {
		return
	}
	if !up.wasFull || now.Sub(up.notFullSince) >= gapUntilCold {
		up.warmth.fall()
	}
	up.wasFull = true
}

// refreshZone makes the upstream prove its warmth anew when its zone is
// brought back.
func (up *upstream) refreshZone(v *almondstep.View) {
	out := v.Catalog() != nil && v.Catalog().ZoneDrained(v.Zone())
	if up.zoneOut && !out {
		up.warmth.fall()
	}
	up.zoneOut = out
}

func (up *upstream) refreshDialTime(v *almondstep.View) {
	if v.Catalog() == nil {
		return
	}
	if s, ok := v.Catalog().Service(up.service); ok {
		up.dialTime = s.DialTime()
	}
}

// refreshBoot takes the list's boot and leaving mark, unless an answer has
// already shown a later boot: the list lags.
func (u *Upstreams) refreshBoot(t *turn, up *upstream, o almondstep.OwnedUpstream) {
	if slices.Contains(up.oldBoots, o.Boot()) {
		return
	}
	u.noteBoot(t, up, o.Boot())
	if o.Leaving() {
		up.warmth.temperature = almondstep.Leaving
	}
}

// noteBoot notes the boot an answer or the list shows. A new boot is cold, and
// is evidence that what ran before has crashed the upstream.
func (u *Upstreams) noteBoot(t *turn, up *upstream, boot almondstep.BootID) {
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
	up.warmth.turnCold()
	up.warmth.refused = 0
	up.warmth.silent = 0
	u.reportSuspects(t, up)
}

func (up *upstream) rememberBoot(boot almondstep.BootID) {
	if len(up.oldBoots) >= bootsKept {
		up.oldBoots = slices.Delete(up.oldBoots, 0, 1)
	}
	up.oldBoots = append(up.oldBoots, boot)
}

// closed says why nothing may be queued at the upstream; empty if it may.
func (up *upstream) closed() almondstep.Reason {
	switch {
	case !up.owned || up.grant == almondstep.GrantNone:
		return almondstep.ReasonNotOwner
	case up.zoneOut:
		return almondstep.ReasonZoneDrained
	case up.warmth.temperature == almondstep.Leaving:
		return almondstep.ReasonLeaving
	case up.warmth.temperature == almondstep.Lost:
		return almondstep.ReasonUnreachable
	case up.grant == almondstep.GrantWarmOnly && up.warmth.temperature != almondstep.Warm:
		return almondstep.ReasonCold
	default:
		return ""
	}
}

// limit is how many requests may be in flight now, at least 1, for estimates.
func (up *upstream) limit() int {
	return max(1, up.warmth.capacity())
}

// busy is how many requests may be running at the upstream. A cold one, and one
// that others may use too, is charged for what was given up until it must have
// ended. A warm one that hasn't answered lately is charged only until a
// cancellation must have been heeded: otherwise a single hedge that was canceled
// would keep an idle upstream from work for the rest of its deadline.
func (up *upstream) busy(now almondstep.Instant) int {
	up.forgetGhosts(now)
	if up.surelyWarm(now) {
		return len(up.calls)
	}
	busy := len(up.calls)
	for _, g := range up.ghosts {
		if up.endOf(g) > now {
			busy++
		}
	}
	return busy
}

// endOf is when a ghost no longer counts.
func (up *upstream) endOf(g ghost) almondstep.Instant {
	if up.warmth.temperature == almondstep.Warm && up.grant == almondstep.GrantFull {
		return g.heeded
	}
	return g.ended
}

// forgetGhosts drops what has run out.
func (up *upstream) forgetGhosts(now almondstep.Instant) {
	up.ghosts = slices.DeleteFunc(up.ghosts, func(g ghost) bool { return g.ended <= now })
}

// mayStart says whether one more request may be sent.
func (up *upstream) mayStart(now almondstep.Instant) bool {
	capacity := up.warmth.capacity()
	if up.grant != almondstep.GrantFull || !up.fresh(now) {
		capacity = min(capacity, 1)
	}
	return up.busy(now) < capacity && up.pauseUntil <= now
}

// fresh says whether the last answer still vouches for the upstream.
func (up *upstream) fresh(now almondstep.Instant) bool {
	return now.Sub(up.answeredAt) < freshFor
}

// surelyWarm says that nothing speaks for treating the upstream as a cold one.
func (up *upstream) surelyWarm(now almondstep.Instant) bool {
	warm := up.warmth.temperature == almondstep.Warm
	return warm && up.grant == almondstep.GrantFull && up.fresh(now)
}
