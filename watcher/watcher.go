package watcher

import (
	"time"

	"almondstep"
	"almondstep/ranker"
)

const (
	// minAnnounceRetry and maxAnnounceRetry bound the delay after which a failed
	// announcement is retried; the delay doubles with each failure in a row.
	minAnnounceRetry = 250 * time.Millisecond
	maxAnnounceRetry = 8 * time.Second
	// DefaultMaxAge is the default of Config.MaxAge.
	DefaultMaxAge = 4 * time.Second
	// LapseGrace is how long an entry whose lease expired during a registry outage is
	// still used after a read has shown its removal.
	LapseGrace = 2200 * time.Millisecond
	// lapseWindow is how long after a failed read a removal may still be due to a lease
	// that couldn't be renewed.
	lapseWindow = 2500 * time.Millisecond
	// leaseTTL and renewInterval are for this daemon's own entry. The lease may be long:
	// daemons detect a dead daemon by failed requests to it before its lease expires.
	leaseTTL      = 30 * time.Second
	renewInterval = 9 * time.Second
	// expiredDaemonRetention is how long a daemon whose lease has expired still counts
	// among those that share a limit, and remains a possible source: it may still run
	// behind a network partition, and an outage of the registry ends the leases of
	// healthy daemons.
	expiredDaemonRetention = 30 * time.Second
)

// Config configures a Watcher.
type Config struct {
	Self almondstep.DaemonID
	Zone almondstep.ZoneName
	// Regions maps each zone to its region; nil if unknown.
	Regions map[almondstep.ZoneName]almondstep.RegionName
	// Cores is the processor time available to this daemon's VM, in cores.
	Cores float64
	// MaxAge is the time within which a registry change must have reached this daemon;
	// a registry cache that wasn't confirmed for longer is stale. 0 means DefaultMaxAge.
	MaxAge time.Duration
	// KeyMaxAge is the time without a confirmation of the registry cache after which callers'
	// API keys are no longer accepted; 0 accepts them however old the cache is.
	KeyMaxAge time.Duration
	// Seeds are addresses of other daemons. They are asked while this daemon's registry
	// cache is empty and it can't reach the registry.
	Seeds []almondstep.Address
}

// Watcher is the control partition. Its methods must not be called concurrently.
type Watcher struct {
	cfg          Config
	routes       *almondstep.RouteTable
	listing      listing
	drainedZones map[almondstep.ZoneName]drainState
	daemons      map[almondstep.DaemonID]*daemon
	stopping     bool
	// answerBy is when all routed requests must be answered; 0 if there is no such instant.
	answerBy almondstep.Instant
	// revision is that of the registry cache; 0 if the cache is empty.
	revision uint64
	// confirmedAt is the latest instant at which the registry cache is certain to have
	// held everything that the registry held; 0 if there is none.
	confirmedAt almondstep.Instant
	// needsFullRead is whether the next read of the registry must be a full one, because
	// the registry has compacted its history since revision.
	needsFullRead bool
	boot          boot
	reads         readState
	search        search
	random        almondstep.Random
	announcing    bool
	announceAt    almondstep.Instant
	// announceRetry is the delay after which the next failed announcement is retried.
	announceRetry time.Duration
	// loggedStale is whether the registry cache was last logged as stale.
	loggedStale bool
	// outage is whether a read of the registry itself has failed and none has succeeded
	// since. failedAt is when the registry last failed to answer this daemon or its
	// source, or when that outage ended; 0 if it never failed.
	outage     bool
	failedAt   almondstep.Instant
	journal    journal
	requesters []requester
	// lastSentConfirmation is the value of confirmedAt when all waiting requesters last
	// got a reply because of a new confirmation.
	lastSentConfirmation almondstep.Instant
	publishedDaemons     int
	// gathers is whether this daemon was last logged as one that queries shards, and
	// loggedRole whether either was logged.
	gathers, loggedRole bool

	crashes  crashLog
	ended    endedRuns
	restored restored
	rollouts rolloutEntries
	// orders lists the daemons of each zone in the order that determines their place in
	// the tree; nil if it must be rebuilt.
	orders map[almondstep.ZoneName][]almondstep.DaemonID
	// directory is the last one published; nil if none was.
	directory *almondstep.Directory
}

// drainState is whether operators have drained a zone, as of a revision.
type drainState struct {
	drained  bool
	revision uint64
}

// daemon is the registry entry of another daemon, or of this one.
type daemon struct {
	alive    bool
	revision uint64
	zone     almondstep.ZoneName
	addr     almondstep.Address
	cores    float64
	// dropAt is when a daemon whose lease has expired is removed.
	dropAt almondstep.Instant
}

// New returns a Watcher with an empty registry cache.
func New(cfg Config) *Watcher {
	if cfg.MaxAge == 0 {
		cfg.MaxAge = DefaultMaxAge
	}
	return &Watcher{
		cfg:          cfg,
		listing:      newListing(),
		drainedZones: make(map[almondstep.ZoneName]drainState),
		daemons:      make(map[almondstep.DaemonID]*daemon),
		reads:        newReadState(),

		announceRetry: minAnnounceRetry,
		random:        almondstep.NewRandom(ranker.Hash(string(cfg.Self))),
		journal:       newJournal(),
		crashes:       newCrashLog(),
		ended:         newEndedRuns(),
		rollouts:      newRolloutEntries(),
	}
}

// Reduce processes one event and appends the resulting effects to out.
func (w *Watcher) Reduce(now almondstep.Instant, e almondstep.Event, out []almondstep.Effect) []almondstep.Effect {
	switch e := e.(type) {
	case *almondstep.ControlTick:
		return w.tick(now, out)
	case *almondstep.RegistryRead:
		return w.registryRead(now, e, out)
	case *almondstep.RegistryUpdateRequested:
		return w.updateRequested(now, e, out)
	case *almondstep.DaemonAnnounced:
		w.daemonAnnounced(now, e)
	case *almondstep.RequestCrashed:
		return w.requestCrashed(now, e, out)
	case *almondstep.RequestSurvived:
		return w.requestSurvived(now, e, out)
	case *almondstep.RecheckBegan:
		return w.recheckBegan(now, e, out)
	case *almondstep.RecheckReleased:
		return w.recheckReleased(now, e, out)
	case *almondstep.CrashesRecorded:
		return w.crashesRecorded(now, e, out)
	case *almondstep.RolloutDecided:
		if w.rollouts.decided(now, e) {
			return w.publish(out)
		}
	case *almondstep.StopRequested:
		w.stopping, w.answerBy = true, e.AnswerBy
		return w.publish(out)
	}
	return out
}

func (w *Watcher) tick(now almondstep.Instant, out []almondstep.Effect) []almondstep.Effect {
	expired, out := w.expire(now, out)
	lost, out := w.endRestoreGrace(now, out)
	if expired || lost || w.publishedDaemons != w.daemonCount() {
		out = w.publish(out)
	}
	out = w.replyDue(now, out)
	if w.revision == 0 {
		out = w.start(now, out)
	} else {
		out = w.keepReading(now, out)
	}
	out = w.runSearch(now, out)
	out = w.warn(now, out)
	out = w.expireCrashes(now, out)
	out = w.recordCrashes(now, out)
	return w.announce(now, out)
}

// announce renews the lease of this daemon's entry if that is due.
func (w *Watcher) announce(now almondstep.Instant, out []almondstep.Effect) []almondstep.Effect {
	if w.announcing || w.stopping || now < w.announceAt {
		return out
	}
	w.announcing = true
	w.restored.announceAt = 0
	return append(out, &almondstep.AnnounceDaemon{TTL: leaseTTL})
}

func (w *Watcher) daemonAnnounced(now almondstep.Instant, e *almondstep.DaemonAnnounced) {
	w.announcing = false
	if e.Err == "" {
		w.announceRetry = minAnnounceRetry
		w.announceAt = now.Add(renewInterval)
		if w.restored.announceAt != 0 {
			// The registry was restored while this announcement was under way.
			w.announceAt = w.restored.announceAt
		}
		return
	}
	w.announceAt = now.Add(w.announceRetry)
	w.announceRetry = min(2*w.announceRetry, maxAnnounceRetry)
}

// age is the time since the registry cache was last confirmed; AgeUnknown if never.
func (w *Watcher) age(now almondstep.Instant) time.Duration {
	if w.confirmedAt == 0 {
		return almondstep.AgeUnknown
	}
	return now.Sub(w.confirmedAt)
}

// confirmInterval is the time between two confirmations in normal operation: each
// daemon receives the registry's confirmation once per interval, directly or through
// others. It is half of MaxAge, so that after a missed confirmation as much time
// remains to get one from another source.
func (w *Watcher) confirmInterval() time.Duration { return w.cfg.MaxAge / 2 }

// overdueAfter is the age above which the confirmation is overdue. The last quarter of
// MaxAge remains to get it from another source before the registry cache is stale.
func (w *Watcher) overdueAfter() time.Duration { return w.cfg.MaxAge * 3 / 4 }

func (w *Watcher) overdue(now almondstep.Instant) bool { return w.age(now) > w.overdueAfter() }

// warn logs that the registry cache has become stale, or that it no longer is.
func (w *Watcher) warn(now almondstep.Instant, out []almondstep.Effect) []almondstep.Effect {
	if w.confirmedAt == 0 {
		return out
	}
	stale := w.age(now) > w.cfg.MaxAge
	if stale == w.loggedStale {
		return out
	}
	w.loggedStale = stale
	if !stale {
		return append(out, w.report("registry regained", string(w.cfg.Self), "", w.revision))
	}
	r := w.report("registry lost; continuing with the cached registry", string(w.cfg.Self), w.reads.cause, w.revision)
	r.Level = almondstep.ReportWarn
	return append(out, r)
}

// report returns the effect that logs a change of state; version is the revision, or
// the version of the routes, that it is based on.
func (w *Watcher) report(message, subject, cause string, version uint64) *almondstep.Report {
	return &almondstep.Report{
		Level:   almondstep.ReportInfo,
		Message: message,
		Subject: subject,
		Cause:   cause,
		Version: version,
	}
}
