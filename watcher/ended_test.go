package watcher_test

import (
	"testing"
	"time"

	"almondstep"
	"almondstep/watcher"
)

// registryFeed passes reads of the registry to one watcher.
type registryFeed struct {
	t        *testing.T
	w        *watcher.Watcher
	now      almondstep.Instant
	revision uint64
	view     *almondstep.View
	recorded []*almondstep.RecordCrashes
}

func newRegistryFeed(t *testing.T) *registryFeed {
	t.Helper()
	f := &registryFeed{t: t, w: watcher.New(watcher.Config{Self: "a", Zone: "z"}), now: almondstep.Instant(time.Second), revision: 1}
	f.reduce(&almondstep.RegistryRead{Full: true, Changes: &almondstep.RegistryChanges{Revision: 1, Routes: table(t, 1)}})
	return f
}

func (f *registryFeed) reduce(e almondstep.Event) {
	f.t.Helper()
	for _, effect := range f.w.Reduce(f.now, e, nil) {
		switch effect := effect.(type) {
		case *almondstep.PublishView:
			f.view = effect.View
		case *almondstep.RecordCrashes:
			f.recorded = append(f.recorded, effect)
		}
	}
}

// change passes the change of an upstream's entry; nil removes it.
func (f *registryFeed) change(key string, u *almondstep.Upstream) {
	f.t.Helper()
	f.revision++
	f.reduce(&almondstep.RegistryRead{Changes: &almondstep.RegistryChanges{
		Revision: f.revision, Upstreams: []almondstep.UpstreamChange{{Key: key, Revision: f.revision, Upstream: u}},
	}})
}

func (f *registryFeed) advance(d time.Duration) {
	f.t.Helper()
	f.now = f.now.Add(d)
	f.reduce(&almondstep.ControlTick{})
}

// upstreamBorn returns an upstream that started at a Unix millisecond; 0 if that is unknown.
func upstreamBorn(born int64, leaving bool) *almondstep.Upstream {
	u := &almondstep.Upstream{ID: "i7", Service: "s", Zone: "z", Leaving: leaving}
	if born != 0 {
		u.Started = time.UnixMilli(born)
	}
	return u
}

// A run has ended if its entry is removed or another run's replaces it, unless the upstream
// has announced that it leaves. A run that is back hasn't ended.
func TestEndedRunsOfUpstreams(t *testing.T) {
	const run = almondstep.UpstreamRun("i7@1")
	for name, c := range map[string]struct {
		entries []*almondstep.Upstream
		want    string
	}{
		"listed":                 {[]*almondstep.Upstream{upstreamBorn(1, false)}, ""},
		"changed":                {[]*almondstep.Upstream{upstreamBorn(1, false), upstreamBorn(1, false)}, ""},
		"removed":                {[]*almondstep.Upstream{upstreamBorn(1, false), nil}, "removed"},
		"replaced":               {[]*almondstep.Upstream{upstreamBorn(1, false), upstreamBorn(2, false)}, "replaced"},
		"leaving, then removed":  {[]*almondstep.Upstream{upstreamBorn(1, false), upstreamBorn(1, true), nil}, ""},
		"leaving, then replaced": {[]*almondstep.Upstream{upstreamBorn(1, true), upstreamBorn(2, false)}, ""},
		"removed, then back":     {[]*almondstep.Upstream{upstreamBorn(1, false), nil, upstreamBorn(1, false)}, ""},
		"replaced, then back":    {[]*almondstep.Upstream{upstreamBorn(1, false), upstreamBorn(2, false), upstreamBorn(1, false)}, ""},
	} {
		t.Run(name, func(t *testing.T) {
			f := newRegistryFeed(t)
			for _, u := range c.entries {
				f.change("i7", u)
			}
			end, ended := f.view.Directory().Ended()[run]
			got := ""
			switch {
			case ended && end.Replaced:
				got = "replaced"
			case ended:
				got = "removed"
			}
			if want := c.want; got != want {
				t.Errorf("got end %q, want %q", got, want)
			}
			f.advance(time.Minute)
			f.change("other", &almondstep.Upstream{ID: "other", Service: "s", Zone: "z"})
			if got, want := len(f.view.Directory().Ended()), 0; got != want {
				t.Errorf("got %d ended runs a minute later, want %d", got, want)
			}
		})
	}
}

// silentCrash reports that a run fell silent under a request, and ended.
func (f *registryFeed) silentCrash(run almondstep.UpstreamRun) {
	f.t.Helper()
	f.reduce(&almondstep.RequestCrashed{
		Fingerprint: crasher, Upstreams: []almondstep.UpstreamRun{run},
		CrashEvidence: almondstep.CrashEvidence{Attempt: 1, SentAgo: 4 * time.Second},
	})
}

// Guards against sound requests that are refused because of a cut or a freeze: the entries
// of the upstreams lapse, and the same runs are back later.
func TestCrashIsTakenBackIfTheRunIsBack(t *testing.T) {
	for name, c := range map[string]struct {
		born int64
		run  almondstep.UpstreamRun
		want int
	}{
		"start stated":  {1, "i7@1", 0},
		"start unknown": {0, "i7", 1},
	} {
		t.Run(name, func(t *testing.T) {
			f := newRegistryFeed(t)
			f.change("i7", upstreamBorn(c.born, false))
			f.change("i7", nil)
			f.silentCrash(c.run)
			if got, want := f.view.Crashes(crasher), 1; got != want {
				t.Fatalf("got %d crashes, want %d", got, want)
			}
			f.reduce(&almondstep.CrashesRecorded{RecordCrashes: *f.recorded[0]})
			f.change("i7", upstreamBorn(c.born, false))
			f.advance(time.Second)
			if got, want := f.view.Crashes(crasher), c.want; got != want {
				t.Errorf("got %d crashes, want %d", got, want)
			}
			removed := 0
			for _, r := range f.recorded {
				removed += len(r.Remove)
			}
			if got, want := removed, 1-c.want; got != want {
				t.Errorf("got %d records removed from the registry, want %d", got, want)
			}
		})
	}
}

// A run that ended counts once under a request, however many daemons and attempts saw it
// silent, and however late.
func TestEndOfRunCountsOnce(t *testing.T) {
	f := newRegistryFeed(t)
	for range 4 {
		f.silentCrash("i7@1")
		f.advance(4 * time.Second)
	}
	if got, want := f.view.Crashes(crasher), 1; got != want {
		t.Errorf("got %d crashes, want %d", got, want)
	}
}
