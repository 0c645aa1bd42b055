package watcher

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"almondstep"
	"almondstep/quarantiner"
)

const (
	// CrashLimit is the number of upstreams that may crash under a request before all
	// daemons refuse it.
	CrashLimit = 3
	// maxCrashes bounds the crashes that count against one request. It is above CrashLimit, so
	// that the request with the most of them can be told from those that it explains.
	maxCrashes = 8
	// CrashMemory is how long a crash counts and a request is refused.
	CrashMemory = 10 * time.Minute
	// maxSuspects bounds the requests that are remembered.
	maxSuspects = 1024
	// maxOwnRecords bounds the records that one daemon has in the registry: it replaces its
	// oldest ones, those of refused requests last.
	maxOwnRecords = 64
	// recordBatch is the number of records that are written or removed at a time, and
	// recordInterval the time between two of these writes.
	recordBatch    = 16
	recordInterval = 250 * time.Millisecond
	// minRestartTime is the least time between two crashes of an upstream. A crash later than
	// that counts again, though the registry may still have the upstream's earlier run.
	minRestartTime = 3 * time.Second
	// removalTimeout is the time after which the removal of a record is queued again.
	removalTimeout = 10 * time.Second
)

// crashLog holds under which requests upstreams crashed, as observed by this daemon and
// as recorded in the registry. There the records outlive the daemons, and reach all of
// them with the other registry updates.
type crashLog struct {
	quarantine quarantiner.Quarantine
	// records holds what the registry has.
	records map[almondstep.CrashRecord]crashEntry
	// own lists the records that this daemon has written, oldest first. observed has, for
	// these and for those of the registry, when this daemon learned of them.
	own []almondstep.CrashRecord
	// evidence has the evidence of the records in own, to write them again.
	evidence map[almondstep.CrashRecord]almondstep.CrashEvidence
	observed map[almondstep.CrashRecord]observation
	// toAdd and toRemove are to be written next, from nextAt on; writing is whether a
	// write is pending.
	toAdd    []almondstep.CrashChange
	toRemove []almondstep.CrashRecord
	nextAt   almondstep.Instant
	writing  bool
	// retry is the delay after which the next failed write is repeated.
	retry time.Duration
}

// observation is when this daemon first learned of a record, and the service of the run if that was
// listed then, or had ended lately.
type observation struct {
	at      almondstep.Instant
	service almondstep.ServiceName
}

// crashEntry is a record as the registry has it.
type crashEntry struct {
	revision uint64
	// removeAt is when the record has lost its meaning.
	removeAt almondstep.Instant
}

func newCrashLog() crashLog {
	return crashLog{
		quarantine: quarantiner.Quarantine{Limit: CrashLimit, MaxCrashes: maxCrashes, Duration: CrashMemory, MaxRequests: maxSuspects},
		records:    make(map[almondstep.CrashRecord]crashEntry),
		observed:   make(map[almondstep.CrashRecord]observation),
		evidence:   make(map[almondstep.CrashRecord]almondstep.CrashEvidence),
		retry:      minAnnounceRetry,
	}
}

// recordOf returns the record of a crash, observed now by the end of a connection: r, or one
// with a numbered run if r is of an earlier crash.
//
// Example: upstream i7@1700000000000 crashes, restarts under its ID, and crashes again before
// the registry has its new start. The second record is that of i7@1700000000000~2.
func (l *crashLog) recordOf(now almondstep.Instant, r almondstep.CrashRecord) almondstep.CrashRecord {
	first := r.Upstream
	for n := 2; n <= CrashLimit; n++ {
		o, known := l.observed[r]
		if !known || now.Sub(o.at) < minRestartTime {
			return r
		}
		r.Upstream = first + almondstep.UpstreamRun("~"+strconv.Itoa(n))
	}
	return r
}

// add queues a record. Beyond maxOwnRecords, one of this daemon's is removed.
func (l *crashLog) add(o observation, r almondstep.CrashRecord, e almondstep.CrashEvidence) {
	l.evidence[r] = e
	l.toAdd = append(l.toAdd, almondstep.CrashChange{CrashRecord: r, CrashEvidence: e})
	l.hold(o, r)
}

// hold adds a record that this daemon has written, or is to write, to its own. Beyond
// maxOwnRecords, one of them is removed.
func (l *crashLog) hold(o observation, r almondstep.CrashRecord) {
	l.observe(o, r)
	if l.isOwn(r) {
		return
	}
	l.own = append(l.own, r)
	if len(l.own) > maxOwnRecords {
		isFree := func(r almondstep.CrashRecord) bool { return l.quarantine.Crashes()[r.Fingerprint] < CrashLimit }
		l.remove(l.own[max(0, slices.IndexFunc(l.own, isFree))])
	}
}

// remove queues the removal of a record, unless it hasn't been written yet.
func (l *crashLog) remove(r almondstep.CrashRecord) {
	same := func(o almondstep.CrashRecord) bool { return o == r }
	l.own = slices.DeleteFunc(l.own, same)
	delete(l.evidence, r)
	sameAdded := func(c almondstep.CrashChange) bool { return c.CrashRecord == r }
	if i := slices.IndexFunc(l.toAdd, sameAdded); i >= 0 {
		l.toAdd = slices.Delete(l.toAdd, i, i+1)
		l.forget(r)
		return
	}
	if !slices.Contains(l.toRemove, r) {
		l.toRemove = append(l.toRemove, r)
	}
}

// of lists the records of a request: those in the registry, and those to be written.
func (l *crashLog) of(f almondstep.Fingerprint) []almondstep.CrashRecord {
	var list []almondstep.CrashRecord
	for r := range l.records {
		if r.Fingerprint == f {
			list = append(list, r)
		}
	}
	for _, r := range l.own {
		if r.Fingerprint == f && !slices.Contains(list, r) {
			list = append(list, r)
		}
	}
	slices.SortFunc(list, byUpstream)
	return list
}

// under lists the records of a run: those in the registry, and those to be written.
func (l *crashLog) under(run almondstep.UpstreamRun) []almondstep.CrashRecord {
	var list []almondstep.CrashRecord
	for r := range l.observed {
		if r.Upstream == run {
			list = append(list, r)
		}
	}
	slices.SortFunc(list, byUpstream)
	return list
}

// isOwn reports whether this daemon has written a record, or is to write it.
func (l *crashLog) isOwn(r almondstep.CrashRecord) bool { return slices.Contains(l.own, r) }

func byUpstream(a, b almondstep.CrashRecord) int {
	return cmp.Or(cmp.Compare(a.Upstream, b.Upstream), cmp.Compare(a.Fingerprint, b.Fingerprint))
}

// takeFirst splits a list after at most n elements.
func takeFirst[T any](list []T, n int) (first, rest []T) {
	n = min(n, len(list))
	return slices.Clone(list[:n]), slices.Clone(list[n:])
}

// observe records when and how this daemon first learned of a record.
func (l *crashLog) observe(o observation, r almondstep.CrashRecord) {
	if _, known := l.observed[r]; !known {
		l.observed[r] = o
	}
}

// forget drops when a record was observed, once neither the registry nor this daemon has it.
func (l *crashLog) forget(r almondstep.CrashRecord) {
	if _, listed := l.records[r]; !listed && !slices.Contains(l.own, r) {
		delete(l.observed, r)
	}
}

// takeBack removes a record that no longer counts, wherever it is.
func (l *crashLog) takeBack(now almondstep.Instant, r almondstep.CrashRecord) {
	l.quarantine.Remove(now, r.Fingerprint, r.Upstream)
	l.remove(r)
	l.forget(r)
}

// withUnlisted adds the removals of the records that a full read doesn't list. After a
// restore, those that were lost stay until the grace is over, and those that this daemon
// writes again.
func (l *crashLog) withUnlisted(changes, listed []almondstep.CrashChange, revision uint64, restored restored) []almondstep.CrashChange {
	kept := make(map[almondstep.CrashRecord]bool, len(listed))
	for _, c := range listed {
		kept[c.CrashRecord] = true
	}
	all := slices.Clone(changes)
	for r, held := range l.records {
		isLost := almondstep.EraOf(held.revision) < almondstep.EraOf(revision) && (l.isOwn(r) || !restored.wasRemoved(held.revision))
		if !kept[r] && held.revision <= revision && !isLost {
			all = append(all, almondstep.CrashChange{CrashRecord: r, Removed: true, Revision: revision})
		}
	}
	return all
}

// removeExpired queues the removal of the records that have lost their meaning. If that
// isn't confirmed within removalTimeout, it is queued again.
func (l *crashLog) removeExpired(now almondstep.Instant) {
	var expired []almondstep.CrashRecord
	for r, held := range l.records {
		if now >= held.removeAt {
			expired = append(expired, r)
		}
	}
	slices.SortFunc(expired, byUpstream)
	for _, r := range expired {
		l.remove(r)
		l.records[r] = crashEntry{revision: l.records[r].revision, removeAt: now.Add(removalTimeout)}
	}
}
