package almondstep

import (
	"strconv"
	"time"
)

// DaemonID names one start of one daemon. A restarted daemon has a new one.
type DaemonID string

// Address is the IP number and port of a daemon or an upstream server.
type Address string

// ZoneName names an availability zone.
type ZoneName string

// ServiceName is the canonical name of a service in the operators' text.
type ServiceName string

// SchemeName names one of the naming schemes callers use.
type SchemeName string

// TenantName names a caller's tenant.
type TenantName string

// ClassName names a class of requests, such as urgent or routine.
type ClassName string

// BootID changes each time an upstream or a VM starts.
type BootID string

// QueryID is unique over all daemons; it is drawn at random by the entry daemon.
type QueryID uint64

// String writes the id as 16 hexadecimal digits, as log lines show it.
func (q QueryID) String() string {
	const hexBase = 16
	const digits = 16
	s := strconv.FormatUint(uint64(q), hexBase)
	for len(s) < digits {
		s = "0" + s
	}
	return s
}

// AttemptID numbers the attempts of one query, from 1.
type AttemptID uint32

// Version numbers the snapshots of the records, over all services. A higher
// version is newer.
type Version uint64

// Revision numbers the accepted configurations, from 1. 0 means none.
type Revision uint64

// Fingerprint identifies a request by its service and body, to recognize a
// request that crashes the upstreams that run it.
type Fingerprint uint64

// Instant is a time on the process's own monotonic clock, as the time since
// its start. Instants of two processes can't be compared.
type Instant time.Duration

// Add gives the instant d later.
func (i Instant) Add(d time.Duration) Instant {
	return i + Instant(d)
}

// Sub gives the time from j to i.
func (i Instant) Sub(j Instant) time.Duration {
	return time.Duration(i - j)
}
