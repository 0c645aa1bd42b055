package applier_test

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"almondstep"
	"almondstep/applier"
)

// servicesText returns a text of about size bytes in which the first edited services
// have another number of connections than the rest.
func servicesText(size, edited int) []byte {
	var b strings.Builder
	b.WriteString("{\n  \"services\": [\n")
	for i := 0; b.Len() < size; i++ {
		connections := 25
		if i < edited {
			connections = 26
		}
		fmt.Fprintf(&b, `    {
      "name": "service-%d",
      "names": {"ledger": "%d", "spanish": "servicio-%d", "dns": "s%d.roastery.example"},
      "slots": 2,
      "connections": %d,
      "serversPerInstance": 2,
      "dialTime": "6ms",
    },
`, i, 1000+i, i, i, connections)
	}
	b.WriteString("  ],\n}\n")
	return []byte(b.String())
}

// BenchmarkEnvelope applies edits of one entry on top of a history of 30 edits
// and reports the size of the platform's value.
func BenchmarkEnvelope(b *testing.B) {
	for _, size := range []int{10_000, 100_000, 1_000_000} {
		b.Run(fmt.Sprintf("bytes=%d", size), func(b *testing.B) {
			var random splitmix
			f := &fakePlatform{random: &random}
			a := &applier.Applier{
				Platform: f,
				Check:    func([]byte) error { return nil },
				Now:      func() time.Time { return time.Unix(0, 0) },
				NewID:    func() string { return fmt.Sprint(len(f.accepted)) },
			}
			accept := func() {
				n := len(f.accepted)
				edit := applier.Edit{Text: servicesText(size, n%30), Base: almondstep.Revision(n), Reason: "another connection"}
				if _, err := a.Apply(context.Background(), edit); err != nil {
					b.Fatal(err)
				}
			}
			for range 30 {
				accept()
			}
			b.Run("apply", func(b *testing.B) {
				for b.Loop() {
					accept()
				}
				b.ReportMetric(float64(len(f.entry.Value)), "value-bytes")
			})
			b.Run("decode", func(b *testing.B) {
				for b.Loop() {
					if _, err := applier.DecodeDocument(f.entry.Value); err != nil {
						b.Fatal(err)
					}
				}
			})
		})
	}
}
