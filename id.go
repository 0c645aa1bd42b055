package almondstep

import (
	"hash/fnv"
	"io"
	"strconv"
	"time"
)

// DaemonID identifies one run of a daemon process. A restarted daemon has a new ID.
type DaemonID string

// Address is the IP address and port of a daemon or an upstream server.
type Address string

// ZoneName names an availability zone.
type ZoneName string

// ServiceName is the canonical name of a service in the configuration.
type ServiceName string

// SchemeName names one of the naming schemes that callers use for services.
type SchemeName string

// TenantName names the tenant a caller belongs to.
type TenantName string

// ClassName names a class of requests, such as urgent or routine.
type ClassName string

// BootID identifies one boot of an upstream or a VM; it changes with each start.
type BootID string

// QueryID is unique over all daemons; it is drawn at random by the entry daemon.
type QueryID uint64

// String formats the ID as 16 hexadecimal digits.
func (q QueryID) String() string { return hexDigits(uint64(q)) }

// hexDigits formats a number as 16 hexadecimal digits.
func hexDigits(n uint64) string {
	const hexBase = 16
	const digits = 16
	s := strconv.FormatUint(n, hexBase)
	for len(s) < digits {
		s = "0" + s
	}
	return s
}

// AttemptID numbers the attempts of one query, from 1.
type AttemptID uint32

// Version numbers the snapshots of the records, across all services. A higher
// version is newer; 0 means none.
type Version uint64

// Revision numbers the accepted configurations, from 1. 0 means none.
type Revision uint64

// Fingerprint identifies a request by a hash of its service, operation and body, so
// that a request that crashes the upstreams running it is recognized when it is sent
// again.
type Fingerprint uint64

// FingerprintOf returns the fingerprint of a request that consists of parts.
func FingerprintOf(parts ...string) Fingerprint {
	h := fnv.New64a()
	for _, p := range parts {
		_, _ = io.WriteString(h, p)
		_, _ = h.Write([]byte{0})
	}
	return Fingerprint(h.Sum64())
}

// String formats the fingerprint as 16 hexadecimal digits.
func (f Fingerprint) String() string { return hexDigits(uint64(f)) }

// Instant is a point in time on the process's monotonic clock, as the time since
// the process started. Instants of different processes can't be compared.
type Instant time.Duration

// Add returns the instant i+d.
func (i Instant) Add(d time.Duration) Instant {
	return i + Instant(d)
}

// Sub returns the duration i-j.
func (i Instant) Sub(j Instant) time.Duration {
	return time.Duration(i - j)
}
