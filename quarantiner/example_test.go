package quarantiner_test

import (
	"fmt"
	"time"

	"almondstep"
	"almondstep/quarantiner"
)

func ExampleQuarantine() {
	q := &quarantiner.Quarantine{Limit: 3, Duration: 10 * time.Minute, MaxRequests: 1024}
	request := almondstep.FingerprintOf("GET", "lots.example", "/one/x", "")
	now := almondstep.Instant(time.Second)
	for _, upstream := range []almondstep.UpstreamRun{"i1@1", "i2@1", "i2@1", "i1@2"} {
		q.Add(now, request, upstream, almondstep.CrashEvidence{})
		fmt.Println(upstream, q.Crashes()[request], q.Remaining(now, request))
	}
	// Output:
	// i1@1 1 0s
	// i2@1 2 0s
	// i2@1 2 0s
	// i1@2 3 10m0s
}
