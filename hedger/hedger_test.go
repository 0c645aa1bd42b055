package hedger_test

import (
	"fmt"
	"testing"
	"time"

	"almondstep/hedger"
)

func ExampleBudget() {
	b := hedger.Budget{SharePerMille: 50, Burst: 100}
	b.Fill(40)
	fmt.Println(b.Take(), b.Take(), b.Take())
	// Output: true true false
}

// A computed quantile is at most an eighth above the true one.
func TestDigestQuantile(t *testing.T) {
	var d hedger.Digest
	for i := range 5_000 {
		d.Observe(time.Duration(i+1) * 10 * time.Microsecond)
	}
	for _, c := range []struct {
		name      string
		got, want time.Duration
	}{
		{"slow", d.Slow(), 48_500 * time.Microsecond},
		{"typical", d.Typical(), 25 * time.Millisecond},
	} {
		if c.got < c.want || c.got > c.want+c.want/8+time.Microsecond {
			t.Errorf("%s: got %v, want between %v and an eighth more", c.name, c.got, c.want)
		}
	}
}

// After the latency changes, the old observations no longer determine the quantiles.
func TestDigestFollowsChange(t *testing.T) {
	var d hedger.Digest
	for range 100_000 {
		d.Observe(50 * time.Millisecond)
	}
	for range 40_000 {
		d.Observe(time.Millisecond)
	}
	if got, want := d.Slow(), 2*time.Millisecond; got > want {
		t.Errorf("got slow latency %v, want at most %v", got, want)
	}
}

// No latency makes a digest panic or return a value out of range.
func TestDigestExtremes(t *testing.T) {
	for _, took := range []time.Duration{-1, 0, 1, time.Hour, 1<<63 - 1} {
		var d hedger.Digest
		d.Observe(took)
		if d.Slow() <= 0 || d.Count() != 1 {
			t.Errorf("%v: slow %v, count %d", took, d.Slow(), d.Count())
		}
	}
}

// Over any period, further attempts are at most the share of the needed sub-requests
// plus one burst.
func TestBudgetBoundsExtraLoad(t *testing.T) {
	b := hedger.Budget{SharePerMille: 50, Burst: 64}
	b.Start(64)
	needed := 0
	for i := range 10_000 {
		n := i%1_200 + 1
		needed += n
		b.Fill(n)
		for range n {
			b.ObserveShed(false)
			b.Take()
		}
	}
	if got, most := int(b.Taken()), needed*50/1_000+64; got > most || got < most*9/10 {
		t.Errorf("got %d further attempts, want close to and at most %d", got, most)
	}
}

// While upstreams shed, no token can be taken; afterwards it can be again.
func TestBudgetStopsWhileShedding(t *testing.T) {
	b := hedger.Budget{SharePerMille: 50, Burst: 64}
	b.Start(64)
	for range 100 {
		b.ObserveShed(true)
	}
	if b.Take() {
		t.Error("got a token while upstreams shed")
	}
	for range 5_000 {
		b.ObserveShed(false)
	}
	if !b.Take() {
		t.Error("got no token although shedding is over")
	}
}

func TestDelayIsBounded(t *testing.T) {
	var slow, quick hedger.Digest
	for range 100 {
		slow.Observe(time.Second)
		quick.Observe(10 * time.Microsecond)
	}
	for _, c := range []struct {
		name      string
		digest    *hedger.Digest
		untilSoft time.Duration
		want      time.Duration
	}{
		{"no observations", &hedger.Digest{}, 40 * time.Millisecond, 10 * time.Millisecond},
		{"slow", &slow, 40 * time.Millisecond, 20 * time.Millisecond},
		{"quick", &quick, 40 * time.Millisecond, 2 * time.Millisecond},
		{"no time left", &quick, -1, 0},
	} {
		if got := hedger.Delay(c.digest, c.untilSoft); got != c.want {
			t.Errorf("%s: got %v, want %v", c.name, got, c.want)
		}
	}
}

// Where sub-requests wait in their owners' queues, which the digest doesn't
// observe, the delay still settles so that about 3 in 100 are late.
func TestDelayFollowsQueue(t *testing.T) {
	var d hedger.Digest
	state := uint64(1)
	late, counted := 0, 0
	const warmUp, total, untilSoft = 50_000, 150_000, time.Second
	for i := range total {
		state = state*6364136223846793005 + 1442695040888963407
		took := time.Duration(state >> 33 % uint64(20*time.Millisecond))
		flush := hedger.Delay(&d, untilSoft)
		d.ObserveLate(took > flush, flush)
		d.Observe(time.Millisecond)
		if i < warmUp {
			continue
		}
		counted++
		if took > flush {
			late++
		}
	}
	if perMille := late * 1_000 / counted; perMille < 20 || perMille > 40 {
		t.Errorf("got %d late per 1,000, want about 30", perMille)
	}
}

// The delay doesn't rise without bound while the soft deadline limits it.
func TestDelayIsBoundedInLongOverload(t *testing.T) {
	var d hedger.Digest
	for range 1_000_000 {
		d.Observe(time.Millisecond)
		d.ObserveLate(true, hedger.Delay(&d, 20*time.Millisecond))
	}
	if got, most := hedger.Delay(&d, time.Hour), 21*time.Millisecond; got > most {
		t.Errorf("got delay %v after a long overload, want at most %v", got, most)
	}
}
