package almondstep

import "time"

// CrashRecord is a record, in the platform's registry, that a run of an upstream crashed
// under a request.
type CrashRecord struct {
	Fingerprint Fingerprint `json:"fingerprint"`
	Upstream    UpstreamRun `json:"upstream"`
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
func (*RecordCrashes) Kind() string { return "recordCrashes" }

// Kind names the event.
func (*CrashesRecorded) Kind() string { return "crashesRecorded" }

// Control implements ControlEvent: the effect is returned to the control partition as
// an event.
func (*RequestCrashed) Control() {}

// Control implements ControlEvent: the effect is returned to the control partition as
// an event.
func (*RequestSurvived) Control() {}

// Control implements ControlEvent.
func (*CrashesRecorded) Control() {}
