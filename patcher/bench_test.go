package patcher_test

import (
	"bytes"
	"fmt"
	"testing"

	"almondstep"
	"almondstep/patcher"
)

// textOfSize returns a configuration of about size bytes. The services whose numbers
// are in edited have one connection more than the others.
func textOfSize(size int, edited map[int]bool) []byte {
	var b bytes.Buffer
	b.WriteString("// Services.\n{\n  \"schemes\": [\"ledger\", \"spanish\", \"dns\"],\n  \"services\": [\n")
	for i := 0; b.Len() < size; i++ {
		connections := 25
		if edited[i] {
			connections = 26
		}
		fmt.Fprintf(&b, `    {
      // %d instances.
      "name": "service-%d",
      "names": {"ledger": "%d", "spanish": "servicio-%d", "dns": "s%d.roastery.example"},
      "slots": 2,
      "connections": %d,
      "serversPerInstance": 2,
      "dialTime": "6ms",
    },
`, 20+i%7, i, 1000+i, i, i, connections)
	}
	b.WriteString("  ],\n}\n")
	return b.Bytes()
}

// evenlySpread returns n evenly distributed numbers from 0 to about limit.
func evenlySpread(n, limit int) map[int]bool {
	numbers := make(map[int]bool)
	for i := range n {
		numbers[i*limit/n] = true
	}
	return numbers
}

// BenchmarkPatch makes and applies a patch of 1 and of 10 edited entries in
// documents of three sizes and reports the patch's length, and for comparison that
// of consecutive patches with one edit each and of the full text.
func BenchmarkPatch(b *testing.B) {
	const entryBytes = 270
	for _, size := range []int{10_000, 100_000, 1_000_000} {
		old := textOfSize(size, nil)
		for _, edits := range []int{1, 10} {
			b.Run(fmt.Sprintf("bytes=%d/edits=%d", size, edits), func(b *testing.B) {
				numbers := evenlySpread(edits, size/entryBytes)
				next := textOfSize(size, numbers)
				patch := patcher.Make(old, next)
				b.Run("make", func(b *testing.B) {
					index := patcher.NewIndex(old)
					for b.Loop() {
						index.Make(next)
					}
					b.ReportMetric(float64(len(patch)), "patch-bytes")
					b.ReportMetric(float64(sequentialBytes(size, numbers)), "one-by-one-bytes")
					b.ReportMetric(float64(len(next)), "full-bytes")
				})
				b.Run("apply", func(b *testing.B) {
					for b.Loop() {
						got, err := patcher.Apply(old, patch)
						if err != nil || almondstep.HashOf(got) != almondstep.HashOf(next) {
							b.Fatalf("got another text and %v", err)
						}
					}
				})
			})
		}
	}
}

// sequentialBytes returns the total length of consecutive patches with one edit each.
func sequentialBytes(size int, numbers map[int]bool) int {
	sum := 0
	done := make(map[int]bool)
	old := textOfSize(size, nil)
	for n := range numbers {
		done[n] = true
		next := textOfSize(size, done)
		sum += len(patcher.Make(old, next))
		old = next
	}
	return sum
}
