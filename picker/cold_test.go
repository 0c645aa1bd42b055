package picker_test

import (
	"testing"
	"time"

	"almondstep"
	"almondstep/picker"
)

// listed returns a directory with one upstream whose entry was written at an instant.
func listed(u almondstep.Upstream, at almondstep.Instant, coldFor time.Duration) *almondstep.Directory {
	u.ListedAt, u.ColdFor = at, coldFor
	return almondstep.NewDirectory(almondstep.DirectorySpec{
		Upstreams: map[almondstep.ServiceName][]*almondstep.Upstream{u.Service: {&u}},
	})
}

// Guards against FAILBACK: only the first entry and the last answer of a run of an upstream count.
// Its cold time begins again, grows, shrinks and ends by any later entry; an answer isn't outdone by
// an entry that may be older.
func TestColdTimeFollowsEntriesAndAnswers(t *testing.T) {
	second := func(n float64) almondstep.Instant { return almondstep.Instant(n * float64(time.Second)) }
	entry := func(at float64, coldFor time.Duration) func(p *picker.Picker, u *almondstep.Upstream) {
		return func(p *picker.Picker, u *almondstep.Upstream) { p.UpdateDirectory(listed(*u, second(at), coldFor)) }
	}
	answer := func(at float64, coldFor time.Duration) func(p *picker.Picker, u *almondstep.Upstream) {
		return func(p *picker.Picker, u *almondstep.Upstream) {
			p.Ended(second(at), u.ID, &almondstep.CallEnded{Result: almondstep.CallDone, ColdFor: coldFor})
		}
	}
	cases := map[string]struct {
		events []func(p *picker.Picker, u *almondstep.Upstream)
		want   map[float64]bool
	}{
		"begins again": {
			[]func(p *picker.Picker, u *almondstep.Upstream){entry(10, 3*time.Second)}, map[float64]bool{10: true, 12.9: true, 13: false},
		},
		"grows": {
			[]func(p *picker.Picker, u *almondstep.Upstream){entry(10, 3*time.Second), entry(12, 3*time.Second)}, map[float64]bool{14: true, 15: false},
		},
		"ends early": {
			[]func(p *picker.Picker, u *almondstep.Upstream){entry(10, 9*time.Second), entry(12, 0)}, map[float64]bool{12: false},
		},
		"by an answer, with an entry of before": {
			[]func(p *picker.Picker, u *almondstep.Upstream){answer(10, 9*time.Second), entry(12, 0)}, map[float64]bool{12: true, 18: true, 19: false},
		},
		"by an answer that is absurd, with a much later entry": {
			[]func(p *picker.Picker, u *almondstep.Upstream){answer(10, time.Hour), entry(16, 0)}, map[float64]bool{16: false},
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			u, _, _ := upstreams()
			u.Started = time.UnixMilli(1)
			p := &picker.Picker{Zone: "a", Region: "x"}
			if p.Cold(second(1), u) {
				t.Fatal("got cold from the start")
			}
			for _, happens := range c.events {
				happens(p, u)
			}
			for at, want := range c.want {
				if got := p.Cold(second(at), u); got != want {
					t.Errorf("at %v s: got cold %v, want %v", at, got, want)
				}
			}
		})
	}
}

// Guards against FAILBACK: a request that began under an earlier directory names the earlier run of
// an upstream, and what is known of the present one, which is cold, is lost.
func TestEarlierRunDoesNotReplaceThePresentOne(t *testing.T) {
	earlier, _, _ := upstreams()
	earlier.Started = time.UnixMilli(1)
	p := &picker.Picker{Zone: "a", Region: "x"}
	p.UpdateDirectory(listed(*earlier, 1, 0))
	if p.Cold(2, earlier) {
		t.Fatal("got cold from the start")
	}
	present := *earlier
	present.Started = time.UnixMilli(2)
	p.UpdateDirectory(listed(present, 2, time.Second))
	if !p.Cold(3, earlier) || !p.Cold(3, &present) {
		t.Error("got warm after the restart, want cold")
	}
}
