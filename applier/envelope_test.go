package applier_test

import (
	"bytes"
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"almondstep"
	"almondstep/applier"
	"almondstep/decoder"
	"almondstep/patcher"
)

// newApplier returns an applier that retries without delay.
func newApplier(f *fakePlatform) *applier.Applier {
	n := 0
	return &applier.Applier{
		Platform: f,
		Who:      "ana",
		Check:    func(text []byte) error { _, err := patcher.Entries(text); return err },
		Now:      func() time.Time { return time.Unix(0, 0) },
		NewID:    func() string { n++; return fmt.Sprintf("w%d", n) },
		Sleep:    func(context.Context) error { return nil },
	}
}

func newFakePlatform() *fakePlatform {
	var random splitmix
	return &fakePlatform{random: &random}
}

func text(edit int) []byte { return textOf([zoneCount]int{edit}) }

func ExampleApplier_Apply() {
	f := newFakePlatform()
	a := newApplier(f)
	ctx := context.Background()
	first, _ := a.Apply(ctx, applier.Edit{Text: text(1), Reason: "first day"})
	second, _ := a.Apply(ctx, applier.Edit{Text: text(2), Base: first.Revision, Reason: "storm"})
	fmt.Println(second.Revision, second.Entries)
	_, err := a.Apply(ctx, applier.Edit{Text: text(3), Base: first.Revision, Reason: "too late"})
	fmt.Println(errors.Is(err, almondstep.ErrConflict), err)
	// Output:
	// 2 [zones/z0]
	// true the edit was made from revision 1, but revision 2 is in force
}

func TestRollbackIsANewRevision(t *testing.T) {
	f := newFakePlatform()
	a := newApplier(f)
	ctx := context.Background()
	for r := range 5 {
		if _, err := a.Apply(ctx, applier.Edit{Text: text(r), Base: almondstep.Revision(r)}); err != nil {
			t.Fatal(err)
		}
	}
	result, err := a.Rollback(ctx, 2, "back")
	if err != nil {
		t.Fatal(err)
	}
	if got, want := result.Revision, almondstep.Revision(6); got != want {
		t.Errorf("got revision %d, want %d", got, want)
	}
	e, err := a.Read(ctx)
	if err != nil {
		t.Fatal(err)
	}
	if got, want := e.Text, string(text(1)); got != want {
		t.Errorf("got %s, want %s", got, want)
	}
	if _, err := a.Rollback(ctx, 77, "back"); !errors.Is(err, almondstep.ErrNotFound) {
		t.Errorf("got %v, want ErrNotFound", err)
	}
}

// The history drops its oldest edits when it is full; each text still kept can
// be reconstructed.
func TestHistoryIsBounded(t *testing.T) {
	f := newFakePlatform()
	a := newApplier(f)
	ctx := context.Background()
	const edits = 210
	for r := range edits {
		if _, err := a.Apply(ctx, applier.Edit{Text: text(r), Base: almondstep.Revision(r)}); err != nil {
			t.Fatal(err)
		}
	}
	e, err := a.Read(ctx)
	if err != nil {
		t.Fatal(err)
	}
	if got, want := len(e.History), 200; got != want {
		t.Errorf("got %d edits, want %d", got, want)
	}
	for r := almondstep.Revision(11); r <= edits; r++ {
		got, err := e.TextAt(r)
		if want := text(int(r) - 1); err != nil || !bytes.Equal(got, want) {
			t.Fatalf("revision %d: got %q and %v, want %q", r, got, err, want)
		}
	}
	if _, err := e.TextAt(10); !errors.Is(err, almondstep.ErrNotFound) {
		t.Errorf("got %v, want ErrNotFound", err)
	}
	if _, complete := e.Since(5); complete {
		t.Error("got a complete list since revision 5, want it reported as incomplete")
	}
}

// A text that is too large for the platform's value even when compressed is
// rejected before anything is written. One that fits may displace the history.
func TestValueIsBounded(t *testing.T) {
	f := newFakePlatform()
	a := newApplier(f)
	ctx := context.Background()
	noise := func(seed, n int) []byte {
		random := splitmix(seed)
		var b strings.Builder
		b.WriteString(`{"zones": ["`)
		for range n {
			b.WriteByte("ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_"[random.below(64)])
		}
		b.WriteString(`"]}`)
		return []byte(b.String())
	}
	for r := range 3 {
		edit := applier.Edit{Text: noise(r, decoder.MaxBytes/2), Base: almondstep.Revision(r)}
		if _, err := a.Apply(ctx, edit); err != nil {
			t.Fatal(err)
		}
		if got, want := len(f.entry.Value), applier.MaxValueBytes; got > want {
			t.Errorf("got a value of %d bytes, want at most %d", got, want)
		}
	}
	before := f.entry.Revision
	_, err := a.Apply(ctx, applier.Edit{Text: noise(9, 2*decoder.MaxBytes), Base: 3})
	if !errors.Is(err, almondstep.ErrInvalid) || f.entry.Revision != before {
		t.Errorf("got %v and revision %d, want ErrInvalid and %d", err, f.entry.Revision, before)
	}
}

func TestDamagedValue(t *testing.T) {
	f := newFakePlatform()
	a := newApplier(f)
	ctx := context.Background()
	f.entry = almondstep.Entry{Revision: 9, Value: []byte("not an envelope")}
	if _, err := a.Apply(ctx, applier.Edit{Text: text(1)}); !errors.Is(err, almondstep.ErrCorrupt) {
		t.Fatalf("got %v, want ErrCorrupt", err)
	}
	result, err := a.Apply(ctx, applier.Edit{Text: text(1), ReplaceCorrupt: true, Base: 7, AboveRevision: 7})
	if err != nil || result.Revision != 8 {
		t.Errorf("got %+v and %v, want revision 8", result, err)
	}
}

// If the platform was restored with older data, the next revision can be set
// above the one that the daemons hold.
func TestAbove(t *testing.T) {
	f := newFakePlatform()
	a := newApplier(f)
	ctx := context.Background()
	for r := range 3 {
		if _, err := a.Apply(ctx, applier.Edit{Text: text(r), Base: almondstep.Revision(r)}); err != nil {
			t.Fatal(err)
		}
	}
	result, err := a.Apply(ctx, applier.Edit{Text: text(2), Base: 3, AboveRevision: 9})
	if err != nil || result.Revision != 10 || result.Unchanged {
		t.Errorf("got %+v and %v, want revision 10", result, err)
	}
}

func TestInvalidTextIsNotWritten(t *testing.T) {
	f := newFakePlatform()
	if _, err := newApplier(f).Apply(context.Background(), applier.Edit{Text: []byte("{")}); !errors.Is(err, almondstep.ErrInvalid) {
		t.Errorf("got %v, want ErrInvalid", err)
	}
	if got, want := f.entry.Revision, uint64(0); got != want {
		t.Errorf("got key revision %d, want %d", got, want)
	}
}

// FuzzDecodeEnvelope checks that any value is either decoded or rejected as
// corrupt.
func FuzzDecodeEnvelope(f *testing.F) {
	p := newFakePlatform()
	if _, err := newApplier(p).Apply(context.Background(), applier.Edit{Text: text(1)}); err != nil {
		f.Fatal(err)
	}
	f.Add(p.entry.Value)
	f.Add([]byte("{}"))
	f.Fuzz(func(t *testing.T, value []byte) {
		e, err := applier.DecodeEnvelope(value)
		if err != nil {
			if !errors.Is(err, almondstep.ErrCorrupt) {
				t.Errorf("got %v, want ErrCorrupt", err)
			}
			return
		}
		_, _ = e.TextAt(e.Revision - 1)
	})
}
