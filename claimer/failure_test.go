package claimer_test

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"

	"almondstep"
	"almondstep/claimer"
)

func wantOutcome(t *testing.T, what string, got, want almondstep.ClaimOutcome) {
	t.Helper()
	if got != want {
		t.Errorf("%s: got outcome %d, want %d", what, got, want)
	}
}

// The answer to a write is lost after the write took effect: the claimer reads the
// value back and grants its own claim, and no other.
func TestLostAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &fakePlatform{}
		lost := 0
		p.after = func(string) error {
			lost++
			if lost == 1 {
				return almondstep.ErrUnavailable
			}
			return nil
		}
		c := run(t, p)
		k := key("lostanswer")
		wantOutcome(t, "first", claim(c, 1, k), almondstep.ClaimGranted)
		wantOutcome(t, "resend", claim(c, 2, k), almondstep.ClaimTaken)
		if got, want := p.writes, 1; got != want {
			t.Errorf("got %d writes, want %d", got, want)
		}
	})
}

// Two claimers have both read the value as absent and race for one key: one claim
// is granted.
func TestLostRace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &fakePlatform{}
		p.before = func(kind, _ string) error {
			if kind == "swap" {
				// Both have read before either writes.
				time.Sleep(time.Second)
			}
			return nil
		}
		claimers := []*claimer.Claimer{run(t, p), run(t, p)}
		k := key("lost-race")
		outcomes := make([]almondstep.ClaimOutcome, len(claimers))
		var wg sync.WaitGroup
		for i, c := range claimers {
			wg.Go(func() { outcomes[i] = claim(c, almondstep.QueryID(i+1), k) })
		}
		wg.Wait()
		granted := 0
		for _, o := range outcomes {
			if o == almondstep.ClaimGranted {
				granted++
			}
		}
		if granted != 1 || outcomes[0]+outcomes[1] != almondstep.ClaimGranted+almondstep.ClaimTaken {
			t.Errorf("got outcomes %v, want one granted and one taken", outcomes)
		}
	})
}

// During a platform outage nothing is granted, and claims end at once; after it the
// same key can be claimed.
func TestOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		down := true
		p := &fakePlatform{}
		p.before = func(string, string) error {
			if down {
				return almondstep.ErrUnavailable
			}
			return nil
		}
		c := run(t, p)
		k := key("platformout")
		wantOutcome(t, "during", claim(c, 1, k), almondstep.ClaimUnavailable)
		down = false
		wantOutcome(t, "after", claim(c, 2, k), almondstep.ClaimGranted)
	})
}

// A write took effect, but its answer is lost and reading the value back fails: the
// claim is unavailable, and a resend finds the key taken.
func TestLostAnswerThenOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		down := false
		p := &fakePlatform{}
		p.before = func(string, string) error {
			if down {
				return almondstep.ErrUnavailable
			}
			return nil
		}
		p.after = func(string) error {
			down = true
			return almondstep.ErrUnavailable
		}
		c := run(t, p)
		k := key("lostandout")
		wantOutcome(t, "first", claim(c, 1, k), almondstep.ClaimUnavailable)
		down = false
		wantOutcome(t, "resend", claim(c, 2, k), almondstep.ClaimTaken)
		wantOutcome(t, "first again", claim(c, 1, k), almondstep.ClaimGranted)
	})
}

// A resend through another daemon, such as the first one's replacement, is refused.
func TestResendToOtherDaemon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &fakePlatform{}
		k := key("elsewhere")
		wantOutcome(t, "first", claim(run(t, p), 1, k), almondstep.ClaimGranted)
		wantOutcome(t, "resend", claim(run(t, p), 2, k), almondstep.ClaimTaken)
	})
}

// A claimer is paused between its read and its write while another one grants the
// key: the paused one's write must conflict.
func TestPausedClaimer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &fakePlatform{}
		var paused atomic.Bool
		p.before = func(kind, _ string) error {
			if kind == "swap" && paused.CompareAndSwap(false, true) {
				time.Sleep(time.Minute)
			}
			return nil
		}
		slow, other := run(t, p), run(t, p)
		k := key("pausedhome")
		outcome := make(chan almondstep.ClaimOutcome)
		go func() {
			outcome <- slow.Claim(context.Background(), &almondstep.ClaimKey{ID: 1, Key: k, Remaining: time.Hour})
		}()
		synctest.Wait()
		wantOutcome(t, "other", claim(other, 2, k), almondstep.ClaimGranted)
		wantOutcome(t, "paused", <-outcome, almondstep.ClaimTaken)
	})
}

// A claim that isn't decided within its remaining time is unavailable and is never
// written.
func TestUndecidedClaimTimesOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &fakePlatform{before: func(kind, _ string) error {
			if kind == "get" {
				time.Sleep(2 * time.Second)
			}
			return nil
		}}
		c := run(t, p)
		began := time.Now()
		o := c.Claim(context.Background(), &almondstep.ClaimKey{ID: 1, Key: key("remaining"), Remaining: time.Second})
		wantOutcome(t, "late", o, almondstep.ClaimUnavailable)
		if got, want := time.Since(began), time.Second; got != want {
			t.Errorf("got a claim that took %s, want %s", got, want)
		}
		time.Sleep(time.Minute)
		if got, want := p.writes, 0; got != want {
			t.Errorf("got %d writes, want %d", got, want)
		}
	})
}

// Keys are accepted only in their form and within their window.
func TestParseAndCheckKey(t *testing.T) {
	now := time.UnixMilli(1_733_288_400_000)
	at := func(d time.Duration) string { return fmt.Sprintf("%d-abcdefgh", now.Add(d).UnixMilli()) }
	for text, want := range map[string]error{
		at(0):                             nil,
		at(-claimer.Window):               nil,
		at(-claimer.Window - 1e6):         claimer.ErrKeyExpired,
		at(claimer.MaxSkew):               nil,
		at(claimer.MaxSkew + 1e6):         claimer.ErrKeyExpired,
		"":                                almondstep.ErrInvalid,
		"1733288400000":                   almondstep.ErrInvalid,
		"1733288400000-short":             almondstep.ErrInvalid,
		"17332884000000-abcdefgh":         almondstep.ErrInvalid,
		"x-abcdefgh":                      almondstep.ErrInvalid,
		"1733288400000-abcd efgh":         almondstep.ErrInvalid,
		"1733288400000-abcdefg\u00e9":     almondstep.ErrInvalid,
		at(0) + strings.Repeat("x", 33):   almondstep.ErrInvalid,
		"1733288400000-" + "\"abcdefgh\"": almondstep.ErrInvalid,
	} {
		k, err := claimer.ParseKey(text)
		if err == nil {
			err = k.Check(now)
		}
		if !errors.Is(err, want) {
			t.Errorf("%q: got %v, want %v", text, err, want)
		}
	}
}

// An expired key counts as taken, since its claim may already be deleted.
func TestExpiredKey(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &fakePlatform{}
		c := run(t, p)
		k := key("expiredkey")
		time.Sleep(claimer.Window + time.Second)
		wantOutcome(t, "expired", claim(c, 1, k), almondstep.ClaimTaken)
		if got, want := p.reads+p.writes, 0; got != want {
			t.Errorf("got %d calls to the platform, want %d", got, want)
		}
	})
}

// The value of a slice is reused ValuesPerBucket minutes later. A claimer whose clock
// is so far behind that it accepts the old key finds it taken.
func TestValueReused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &fakePlatform{}
		c := run(t, p)
		old := key("reused-00")
		wantOutcome(t, "old", claim(c, 1, old), almondstep.ClaimGranted)
		began := time.Now()
		time.Sleep(claimer.ValuesPerBucket * time.Minute)
		newer := sameBucket(t, old)
		wantOutcome(t, "newer", claim(c, 2, newer), almondstep.ClaimGranted)
		if got, want := len(p.entries), 1; got != want {
			t.Errorf("got %d values, want %d", got, want)
		}
		for _, e := range p.entries {
			if strings.Contains(string(e.Value), old) || !strings.Contains(string(e.Value), newer) {
				t.Errorf("got %s, want the newer claim alone", e.Value)
			}
		}
		behind := &claimer.Claimer{Platform: p, Now: func() time.Time { return began }}
		serve(t, behind)
		wantOutcome(t, "old again", claim(behind, 3, old), almondstep.ClaimTaken)
	})
}

// sameBucket returns a key with the present time in the bucket of the key other.
func sameBucket(t *testing.T, other string) string {
	t.Helper()
	want, err := claimer.ParseKey(other)
	if err != nil {
		t.Fatal(err)
	}
	for i := range 1000 {
		k, err := claimer.ParseKey(key(fmt.Sprintf("bucket-%03d", i)))
		if err != nil {
			t.Fatal(err)
		}
		if k.Bucket() == want.Bucket() {
			return k.String()
		}
	}
	t.Fatal("found no key in the wanted bucket")
	return ""
}

// A platform that returns to older data may have lost claims: no new claim of that
// value is granted until the keys of the lost claims have expired.
func TestRevertedData(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &fakePlatform{}
		c := run(t, p)
		k := key("olderdata")
		wantOutcome(t, "first", claim(c, 1, k), almondstep.ClaimGranted)
		p.entries = nil
		wantOutcome(t, "resend", claim(c, 2, k), almondstep.ClaimTaken)
		wantOutcome(t, "another", claim(c, 3, sameBucket(t, k)), almondstep.ClaimUnavailable)
		time.Sleep(claimer.ValuesPerBucket * time.Minute)
		wantOutcome(t, "after the lost claims have expired", claim(c, 4, sameBucket(t, k)), almondstep.ClaimGranted)
	})
}

// A corrupt value may have lost claims: no claim of it is granted until their keys
// have expired, and then it is overwritten.
func TestCorruptValue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &fakePlatform{}
		k := key("damaged-00")
		wantOutcome(t, "first", claim(run(t, p), 1, k), almondstep.ClaimGranted)
		for name, e := range p.entries {
			p.entries[name] = almondstep.Entry{Revision: e.Revision, Value: e.Value[:len(e.Value)/2]}
		}
		c := run(t, p)
		wantOutcome(t, "resend", claim(c, 2, k), almondstep.ClaimUnavailable)
		time.Sleep(claimer.ValuesPerBucket * time.Minute)
		wantOutcome(t, "after the lost claims have expired", claim(c, 3, sameBucket(t, k)), almondstep.ClaimGranted)
	})
}

// ParseKey either rejects a text with ErrInvalid or keeps it unchanged.
func FuzzParseKey(f *testing.F) {
	f.Add("1733288400000-4f1c9a2b")
	f.Add("-1-aaaaaaaa")
	f.Add("+0-aaaaaaaa")
	f.Add("9999999999999-________________________________________")
	f.Fuzz(func(t *testing.T, text string) {
		k, err := claimer.ParseKey(text)
		if err != nil {
			if !errors.Is(err, almondstep.ErrInvalid) {
				t.Errorf("got %v, want ErrInvalid", err)
			}
			return
		}
		if got, want := k.String(), text; got != want || k.Bucket() < 0 || k.Bucket() >= claimer.Buckets {
			t.Errorf("got key %q in bucket %d, want %q in one of %d", got, k.Bucket(), want, claimer.Buckets)
		}
	})
}

// However many claims there are, a bucket makes at most one read and one write per
// FlushInterval, and no value exceeds MaxValueBytes.
func TestCallAndSizeBounds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &fakePlatform{}
		var swaps atomic.Int64
		p.before = func(kind, _ string) error {
			if kind == "swap" && swaps.Add(1)%2 == 0 {
				return almondstep.ErrConflict
			}
			return nil
		}
		c := run(t, p)
		const seconds = 5
		const perTick = 64
		var wg sync.WaitGroup
		for tick := range seconds * 100 {
			for i := range perTick {
				k := key(fmt.Sprintf("bound-%d-%d-%s", tick, i, strings.Repeat("x", 20)))
				wg.Go(func() { claim(c, almondstep.QueryID(tick*perTick+i), k) })
			}
			time.Sleep(10 * time.Millisecond)
		}
		wg.Wait()
		// Claims are made for that many seconds; the last outcomes take one more.
		limit := (seconds + 1) * claimer.Buckets * int(time.Second/claimer.FlushInterval)
		if p.writes > limit || p.reads > limit {
			t.Errorf("got %d writes and %d reads, want at most %d each", p.writes, p.reads, limit)
		}
		if got, want := p.largestValue, claimer.MaxValueBytes; got > want {
			t.Errorf("got a value of %d bytes, want at most %d", got, want)
		}
		t.Logf("%d claims: %d writes, %d reads, largest value %d bytes", seconds*100*perTick, p.writes, p.reads, p.largestValue)
	})
}

// A full value refuses further claims as unavailable.
func TestFullValue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &fakePlatform{}
		c := run(t, p)
		first := key("fullvalue")
		const claims = 9000
		outcomes := map[almondstep.ClaimOutcome]int{}
		for i := 0; i < claims; {
			var wg sync.WaitGroup
			var mu sync.Mutex
			for range 500 {
				i++
				id := almondstep.QueryID(i)
				k := inBucket(t, first, i)
				wg.Go(func() {
					o := claim(c, id, k)
					mu.Lock()
					defer mu.Unlock()
					outcomes[o]++
				})
			}
			wg.Wait()
		}
		if outcomes[almondstep.ClaimUnavailable] == 0 || outcomes[almondstep.ClaimTaken] != 0 {
			t.Errorf("got outcomes %v, want some unavailable and none taken", outcomes)
		}
		if got, want := p.largestValue, claimer.MaxValueBytes; got > want || got < want/2 {
			t.Errorf("got a value of %d bytes, want one up to %d", got, want)
		}
	})
}

// inBucket returns a key with the time and bucket of the key other, a different one
// for each n.
func inBucket(t *testing.T, other string, n int) string {
	t.Helper()
	want, err := claimer.ParseKey(other)
	if err != nil {
		t.Fatal(err)
	}
	millis, _, _ := strings.Cut(other, "-")
	for i := range 10_000 {
		k, err := claimer.ParseKey(fmt.Sprintf("%s-%030d-%04d", millis, n, i))
		if err != nil {
			t.Fatal(err)
		}
		if k.Bucket() == want.Bucket() {
			return k.String()
		}
	}
	t.Fatal("found no key in the wanted bucket")
	return ""
}
