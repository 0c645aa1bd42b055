package almondstep

// CrashRecord is a record, in the platform's registry, that a run of an upstream crashed
// under a request.
type CrashRecord struct {
	Fingerprint Fingerprint `json:"fingerprint"`
	Upstream    UpstreamRun `json:"upstream"`
}

// CrashChange is the change of a CrashRecord.
type CrashChange struct {
	CrashRecord
	Removed bool `json:"removed,omitempty"`
	// Revision is the revision of the change.
	Revision uint64 `json:"revision,omitempty"`
}

// RequestCrashed reports to the control thread that upstreams ended the connection
// while they had a request, and that none answered it.
type RequestCrashed struct {
	Fingerprint Fingerprint   `json:"fingerprint"`
	Upstreams   []UpstreamRun `json:"upstreams"`
}

// RequestSurvived reports to the control thread that an upstream answered a request under
// which others are recorded to have crashed: it isn't the cause.
type RequestSurvived struct {
	Fingerprint Fingerprint `json:"fingerprint"`
}

// RecordCrashes adds and removes records in the registry. The outcome is returned as
// CrashesRecorded.
type RecordCrashes struct {
	Add    []CrashRecord `json:"add,omitempty"`
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
