package controller_test

import (
	"fmt"
	"testing"
	"time"

	"almondstep"
)

var sixZones = []almondstep.ZoneName{"zone-1", "zone-2", "zone-3", "zone-4", "zone-5", "zone-6"}

// BenchmarkControlCost reports the control cost of one daemon in a fleet without
// failures, by fleet size: bytes sent, probes and processor time a second, and
// how often a zone was excluded for lack of a fresh configuration. Run it with
// -benchtime 1x.
func BenchmarkControlCost(b *testing.B) {
	for _, n := range []int{6, 24, 96, 732} {
		b.Run(fmt.Sprintf("daemons=%d", n), func(b *testing.B) {
			for range b.N {
				f := newZonesFleet(1, sixZones, n/6, 5600/6*n/732)
				f.runFor(20 * time.Second)
				f.measure(b, 20*time.Second)
				f.outage = true
				b.ReportMetric(f.stalePercent(20*time.Second), "outage-stale-%")
			}
		})
	}
}

func (f *fleet) measure(b *testing.B, d time.Duration) {
	for _, id := range f.ids {
		n := f.nodes[id]
		n.bytes, n.probes, n.cpu, n.events = 0, 0, 0, 0
	}
	f.reads = 0
	published := 0
	f.onPublish = func(*node) { published++ }
	stale := f.stalePercent(d)
	bytes, maxBytes, probes, cpu := 0, 0, 0, time.Duration(0)
	for _, id := range f.ids {
		n := f.nodes[id]
		bytes += n.bytes
		maxBytes = max(maxBytes, n.bytes)
		probes += n.probes
		cpu += n.cpu
	}
	perDaemon := float64(len(f.ids)) * d.Seconds()
	b.ReportMetric(0, "ns/op")
	b.ReportMetric(float64(bytes)/perDaemon, "sent-B/s")
	b.ReportMetric(float64(maxBytes)/d.Seconds(), "most-sent-B/s")
	b.ReportMetric(float64(probes)/perDaemon, "probes/s")
	b.ReportMetric(float64(cpu.Microseconds())/perDaemon, "cpu-us/s")
	b.ReportMetric(float64(published)/perDaemon, "views/s")
	b.ReportMetric(float64(f.reads)/d.Seconds(), "reads/s")
	b.ReportMetric(stale, "stale-%")
}

// stalePercent runs for d and returns the percentage of samples in which a zone
// was excluded.
func (f *fleet) stalePercent(d time.Duration) float64 {
	stale, samples := 0, 0
	for end := f.now + d; f.now < end; {
		f.runFor(500 * time.Millisecond)
		for i := 0; i < len(f.ids); i += 1 + len(f.ids)/24 {
			got := f.nodes[f.ids[i]].targets()
			for _, z := range sixZones {
				samples++
				if got[z] == 0 {
					stale++
				}
			}
		}
	}
	return 100 * float64(stale) / float64(samples)
}

// BenchmarkRebuild measures one daemon at 732 daemons and 5,600 upstreams for a
// change of one upstream's temperature, of one member's state, and for a new
// list of VMs.
func BenchmarkRebuild(b *testing.B) {
	f := newZonesFleet(1, sixZones, 122, 933)
	n := f.nodes[f.ids[0]]
	deliver := func(e almondstep.Event) []almondstep.Effect {
		f.now += time.Second
		return n.control.Reduce(f.instant(n), e, nil)
	}
	read := func(doc almondstep.Document) { deliver(&almondstep.DocumentRead{Name: doc.Name, Document: &doc}) }
	read(f.config)
	read(f.document(almondstep.DocumentFleet))
	b.Run("temperature", func(b *testing.B) {
		t := almondstep.Cold
		for b.Loop() {
			t = almondstep.Warm - t
			deliver(&almondstep.MarkUpstream{Addr: "zone-1-7:80", Boot: "boot-1", Temperature: t})
		}
	})
	b.Run("member", func(b *testing.B) {
		rumor := almondstep.Rumor{Kind: almondstep.RumorMember, Daemon: f.ids[5], Zone: "zone-1", Incarnation: 1}
		for b.Loop() {
			rumor.Incarnation++
			rumor.Member = almondstep.MemberSuspect - rumor.Member
			deliver(&almondstep.ProbeArrived{Digest: almondstep.Digest{From: f.ids[9], Zone: "zone-1", Rumors: []almondstep.Rumor{rumor}}})
		}
	})
	b.Run("list", func(b *testing.B) {
		for b.Loop() {
			f.list.Revision++
			read(f.document(almondstep.DocumentFleet))
		}
	})
}
