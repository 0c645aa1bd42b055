package almondstep

import (
	"strconv"
	"strings"
	"time"
)

// CrashRecord is a record, in the platform's registry, that a run of an upstream crashed
// under a request.
type CrashRecord struct {
	Fingerprint Fingerprint `json:"fingerprint"`
	Upstream    UpstreamRun `json:"upstream"`
}

// recheckRun begins the run in the record of a recheck. No upstream has an empty ID.
const recheckRun = "@recheck"

// RecheckRecord returns the record of a request's recheck with a number, from 1 on. It is written
// before the recheck's call, and counts as a crash until an upstream answers the request.
func RecheckRecord(f Fingerprint, number int) CrashRecord {
	return CrashRecord{Fingerprint: f, Upstream: UpstreamRun(recheckRun + strconv.Itoa(number))}
}

// IsRecheck reports whether the record is that of a recheck.
func (r CrashRecord) IsRecheck() bool { return strings.HasPrefix(string(r.Upstream), recheckRun) }

// Recheck is the next recheck of a quarantined request: one call, by one daemon, which shows whether
// the request crashes upstreams.
type Recheck struct {
	// Number counts the rechecks of the request, from 1 on.
	Number int `json:"number"`
	// At is when it may begin.
	At Instant `json:"at"`
}

// CrashEvidence is what is known of a crash that no connection has shown: an upstream fell
// silent while it had a request, and the registry has shown since that this run has ended.
// It is zero for a crash that ended the connection.
type CrashEvidence struct {
	// Attempt identifies the attempt of the request that the upstream left unanswered.
	Attempt uint64 `json:"attempt,omitempty"`
	// SentAgo is the time between that attempt's call to the upstream and the moment at which
	// the registry showed the end of the run.
	SentAgo time.Duration `json:"sentAgo,omitempty"`
}

// Silent reports whether no connection has shown the crash.
func (e CrashEvidence) Silent() bool { return e.Attempt != 0 }

// CrashChange is a CrashRecord that is written, with its evidence, or that has changed.
type CrashChange struct {
	CrashRecord
	CrashEvidence
	Removed bool `json:"removed,omitempty"`
	// Revision is the revision of the change.
	Revision uint64 `json:"revision,omitempty"`
}

// RequestCrashed reports to the control thread that upstreams crashed while they had a
// request, and that none answered it.
type RequestCrashed struct {
	Fingerprint Fingerprint   `json:"fingerprint"`
	Upstreams   []UpstreamRun `json:"upstreams"`
	// AnsweredAgo is the time between the last answer of an upstream to the same request, in
	// this traffic thread, and the crash; 0 if none is remembered.
	AnsweredAgo time.Duration `json:"answeredAgo,omitempty"`
	CrashEvidence
}

// RequestSurvived reports to the control thread that an upstream answered a request under
// which others are recorded to have crashed: it isn't the cause.
type RequestSurvived struct {
	Fingerprint Fingerprint `json:"fingerprint"`
}

// ClaimRecheck claims the recheck of a quarantined request, by writing its record if no other daemon
// has. The outcome is returned as RecheckClaimed.
type ClaimRecheck struct {
	ID     QueryID     `json:"id"`
	Record CrashRecord `json:"record"`
	// Timeout is the time after which the claim is abandoned.
	Timeout time.Duration `json:"timeout"`
}

// RecheckClaimed is the outcome of a ClaimRecheck.
type RecheckClaimed struct {
	ID     QueryID     `json:"id"`
	Record CrashRecord `json:"record"`
	// Err is empty if this daemon has the recheck; otherwise another daemon may have it, or none.
	Err string `json:"err,omitempty"`
}

// RecheckBegan reports to the control thread that this daemon has claimed a recheck.
type RecheckBegan struct {
	Record CrashRecord `json:"record"`
}

// RecheckReleased reports to the control thread that a recheck that was claimed has reached no
// upstream, so that its record is to be removed.
type RecheckReleased struct {
	Record CrashRecord `json:"record"`
}

// RecordCrashes adds and removes records in the registry. The outcome is returned as
// CrashesRecorded.
type RecordCrashes struct {
	Add    []CrashChange `json:"add,omitempty"`
	Remove []CrashRecord `json:"remove,omitempty"`
}

// CrashesRecorded is the outcome of a RecordCrashes. Err is empty if it succeeded;
// otherwise some or all of it may have taken effect.
type CrashesRecorded struct {
	RecordCrashes
	Err string `json:"err,omitempty"`
}

// Kind names the effect and the event.
func (*RequestCrashed) Kind() string { return "requestCrashed" }

// Kind names the effect and the event.
func (*RequestSurvived) Kind() string { return "requestSurvived" }

// Kind names the effect.
func (*ClaimRecheck) Kind() string { return "claimRecheck" }

// Kind names the event.
func (*RecheckClaimed) Kind() string { return "recheckClaimed" }

// Kind names the effect and the event.
func (*RecheckBegan) Kind() string { return "recheckBegan" }

// Kind names the effect and the event.
func (*RecheckReleased) Kind() string { return "recheckReleased" }

// Query returns the ID of the request the event belongs to.
func (e *RecheckClaimed) Query() QueryID { return e.ID }

// Kind names the effect.
func (*RecordCrashes) Kind() string { return "recordCrashes" }

// Kind names the event.
func (*CrashesRecorded) Kind() string { return "crashesRecorded" }

// Control implements ControlEvent: the effect is returned to the control partition as
// an event.
func (*RequestCrashed) Control() {}

// Control implements ControlEvent: the effect is returned to the control partition as
// an event.
func (*RequestSurvived) Control() {}

// Control implements ControlEvent: the effect is returned to the control partition as
// an event.
func (*RecheckBegan) Control() {}

// Control implements ControlEvent: the effect is returned to the control partition as
// an event.
func (*RecheckReleased) Control() {}

// Control implements ControlEvent.
func (*CrashesRecorded) Control() {}
