package almondstep

import "time"

// DocumentName names a document that every daemon holds a copy of.
type DocumentName string

const (
	// DocumentConfig is the configuration.
	DocumentConfig DocumentName = "config"
	// DocumentFleet is the platform's list of VMs.
	DocumentFleet DocumentName = "fleet"
)

// Hash is the first 16 bytes of the SHA-256 of a document's body, in hexadecimal.
type Hash string

// DocumentState identifies the revision of a document that a daemon holds.
type DocumentState struct {
	Name     DocumentName `json:"name"`
	Revision Revision     `json:"revision"`
	Hash     Hash         `json:"hash"`
	// Age is the time since the platform confirmed the revision, summed over all
	// daemons that relayed the confirmation; AgeUnknown if it never did.
	Age time.Duration `json:"age"`
}

// AgeUnknown is the age of a revision the platform has never confirmed.
const AgeUnknown = time.Duration(1<<63 - 1)

// Document is one revision of a document.
type Document struct {
	Name     DocumentName `json:"name"`
	Revision Revision     `json:"revision"`
	Hash     Hash         `json:"hash"`
	Body     []byte       `json:"body"`
}

// Patch transforms one revision of a document into another. If FromHash is empty,
// Body is the full text; otherwise it holds the changed entries.
type Patch struct {
	Name     DocumentName `json:"name"`
	FromHash Hash         `json:"fromHash,omitempty"`
	Revision Revision     `json:"revision"`
	Hash     Hash         `json:"hash"`
	Body     []byte       `json:"body"`
}

// MemberState is the state of a daemon as its peers see it. The zero value is
// MemberAlive.
type MemberState uint8

const (
	// MemberAlive answers probes.
	MemberAlive MemberState = iota
	// MemberSuspect answered neither a direct nor an indirect probe, and may still
	// refute the suspicion.
	MemberSuspect
	// MemberDead didn't refute the suspicion in time.
	MemberDead
	// MemberLeft shut down gracefully.
	MemberLeft
)

// RumorKind is the subject of a rumor.
type RumorKind uint8

const (
	// RumorMember is about a daemon.
	RumorMember RumorKind = iota
	// RumorUpstream is about an upstream.
	RumorUpstream
	// RumorQuarantine is about a request that crashes the upstreams that run it.
	RumorQuarantine
)

// Rumor is one piece of information that daemons gossip with their probes. Each
// daemon sends it a bounded number of times.
type Rumor struct {
	Kind RumorKind `json:"kind"`
	// Daemon, Addr, Zone, Member and Incarnation are set for a RumorMember.
	Daemon      DaemonID    `json:"daemon,omitempty"`
	Addr        Address     `json:"addr,omitempty"`
	Zone        ZoneName    `json:"zone,omitempty"`
	Member      MemberState `json:"member,omitempty"`
	Incarnation uint64      `json:"incarnation,omitempty"`
	// Upstream, Boot, Temperature and Sequence are set for a RumorUpstream.
	// Sequence orders the rumors of one boot.
	Upstream    Address     `json:"upstream,omitempty"`
	Boot        BootID      `json:"boot,omitempty"`
	Temperature Temperature `json:"temperature,omitempty"`
	Sequence    uint64      `json:"sequence,omitempty"`
	// Fingerprint, Remaining and Crashes are set for a RumorQuarantine.
	Fingerprint Fingerprint   `json:"fingerprint,omitempty"`
	Remaining   time.Duration `json:"remaining,omitempty"`
	Crashes     int           `json:"crashes,omitempty"`
}

// Digest is the state that a daemon sends to another with each probe and each
// reply to a probe.
type Digest struct {
	From        DaemonID        `json:"from"`
	Addr        Address         `json:"addr"`
	Zone        ZoneName        `json:"zone"`
	Incarnation uint64          `json:"incarnation"`
	Documents   []DocumentState `json:"documents"`
	Rumors      []Rumor         `json:"rumors,omitempty"`
	// RenewLease asks the receiver, one of the sender's witnesses, to confirm the
	// sender's lease for another WitnessTTL.
	RenewLease bool `json:"renews,omitempty"`
	// LeaseConfirmed is the reply to RenewLease: the sender confirms the lease.
	LeaseConfirmed bool `json:"vouches,omitempty"`
	// ExpiredLeases lists daemons of the zone whose lease the sender, one of their
	// witnesses, no longer confirms and will not confirm again in that incarnation.
	ExpiredLeases []ExpiredLease `json:"gone,omitempty"`
	// Zones lists, for each other zone, how long ago one of its daemons showed that
	// it holds no newer configuration than the sender.
	Zones []ZoneConfirmation `json:"zones,omitempty"`
}

// ZoneConfirmation is the time since a daemon of a zone confirmed the
// configuration, summed over all daemons that relayed the confirmation.
type ZoneConfirmation struct {
	Zone ZoneName      `json:"zone"`
	Age  time.Duration `json:"age"`
}

// ExpiredLease is a daemon whose lease at a witness has expired.
type ExpiredLease struct {
	Daemon      DaemonID `json:"daemon"`
	Incarnation uint64   `json:"incarnation"`
}

// WitnessTTL is how long a witness confirms a daemon's lease after a renewal.
const WitnessTTL = 4 * time.Second

// ColdAttemptTimeout bounds a request to a cold upstream, so that a handover waits
// no longer than this for the former owner's requests to end.
const ColdAttemptTimeout = time.Second

// ControlTick occurs every TickInterval and advances the control partition's clock.
type ControlTick struct{}

// TickInterval is the time between two control ticks.
const TickInterval = 100 * time.Millisecond

// ProbeArrived is a probe received from a peer. It is answered by ReplyProbe. If
// Target is set, the peer requests an indirect probe of it.
type ProbeArrived struct {
	Call   CallID   `json:"call"`
	Digest Digest   `json:"digest"`
	Target DaemonID `json:"target,omitempty"`
}

// ProbeEnded is the outcome of a probe sent by this daemon. If Target is set, it
// was an indirect probe of it through To.
type ProbeEnded struct {
	To     DaemonID `json:"to"`
	Target DaemonID `json:"target,omitempty"`
	OK     bool     `json:"ok"`
	Digest *Digest  `json:"digest,omitempty"`
}

// PeerObserved is evidence from traffic that a peer is alive or doesn't answer.
type PeerObserved struct {
	Daemon DaemonID `json:"daemon"`
	OK     bool     `json:"ok"`
}

// DocumentRead is the outcome of a ReadDocument.
type DocumentRead struct {
	Name     DocumentName `json:"name"`
	Document *Document    `json:"document,omitempty"`
	// Err is the reason the platform could not be read; empty if it was.
	Err string `json:"err,omitempty"`
	// RequestedAt is copied from the ReadDocument.
	RequestedAt Instant `json:"asked,omitempty"`
	// Unchanged reports that the platform's revision is still the one of the
	// ReadDocument's After; Document is then nil.
	Unchanged bool `json:"unchanged,omitempty"`
}

// PullArrived is a peer's request for a newer revision of a document than the one
// it has. It is answered by ReplyPull.
type PullArrived struct {
	Call CallID        `json:"call"`
	From DaemonID      `json:"from"`
	Have DocumentState `json:"have"`
}

// PullEnded is the outcome of a SendPull. Patch is nil if the pull failed or the
// peer had nothing newer.
type PullEnded struct {
	From  DaemonID     `json:"from"`
	Name  DocumentName `json:"name"`
	Patch *Patch       `json:"patch,omitempty"`
}

// ZoneLeaseRead is the outcome of a TakeZoneLease: whether this daemon holds its
// zone's lease at the platform, and for how much longer. The lease counts as one
// more vote in the quorum of the zone's daemons.
type ZoneLeaseRead struct {
	Held      bool          `json:"held"`
	Remaining time.Duration `json:"remaining"`
	Err       string        `json:"err,omitempty"`
}

// StopRequested starts a graceful shutdown.
type StopRequested struct {
	// AnswerBy is when all routed requests must be answered; 0 if there is no such instant.
	AnswerBy Instant `json:"answerBy,omitempty"`
}

// Control implements ControlEvent.
func (*ControlTick) Control() {}

// Control implements ControlEvent.
func (*ProbeArrived) Control() {}

// Control implements ControlEvent.
func (*ProbeEnded) Control() {}

// Control implements ControlEvent.
func (*PeerObserved) Control() {}

// Control implements ControlEvent.
func (*DocumentRead) Control() {}

// Control implements ControlEvent.
func (*PullArrived) Control() {}

// Control implements ControlEvent.
func (*PullEnded) Control() {}

// Control implements ControlEvent.
func (*ZoneLeaseRead) Control() {}

// Control implements ControlEvent.
func (*StopRequested) Control() {}

// Kind names the event.
func (*ControlTick) Kind() string { return "controlTick" }

// Kind names the event.
func (*ProbeArrived) Kind() string { return "probeArrived" }

// Kind names the event.
func (*ProbeEnded) Kind() string { return "probeEnded" }

// Kind names the event.
func (*PeerObserved) Kind() string { return "peerHeard" }

// Kind names the event.
func (*DocumentRead) Kind() string { return "documentRead" }

// Kind names the event.
func (*PullArrived) Kind() string { return "pullArrived" }

// Kind names the event.
func (*PullEnded) Kind() string { return "pullEnded" }

// Kind names the event.
func (*ZoneLeaseRead) Kind() string { return "zoneLeaseRead" }

// Kind names the event.
func (*StopRequested) Kind() string { return "stopRequested" }

// SendProbe sends a probe to a peer or, if Target is set, asks the peer to probe
// the target. The outcome is returned as ProbeEnded.
type SendProbe struct {
	To     DaemonID `json:"to"`
	Addr   Address  `json:"addr"`
	Target DaemonID `json:"target,omitempty"`
	Digest Digest   `json:"digest"`
	// Timeout is the maximum time to wait for the reply.
	Timeout time.Duration `json:"timeout"`
}

// ReplyProbe answers a ProbeArrived.
type ReplyProbe struct {
	Call   CallID `json:"call"`
	OK     bool   `json:"ok"`
	Digest Digest `json:"digest"`
}

// ReadDocument reads a document from the platform. If After is set, it waits, at most
// Wait, for a higher revision. The outcome is returned as DocumentRead.
type ReadDocument struct {
	Name  DocumentName  `json:"name"`
	After Revision      `json:"after"`
	Wait  time.Duration `json:"wait"`
	// RequestedAt is when the read was requested. DocumentRead repeats it, so that a
	// late reply isn't mistaken for a recent confirmation.
	RequestedAt Instant `json:"asked,omitempty"`
}

// SendPull asks a peer for a newer revision of a document than Have. The outcome is
// returned as PullEnded.
type SendPull struct {
	To   DaemonID      `json:"to"`
	Addr Address       `json:"addr"`
	Have DocumentState `json:"have"`
}

// ReplyPull answers a PullArrived. Patch is nil if this daemon has nothing newer.
type ReplyPull struct {
	Call  CallID `json:"call"`
	Patch *Patch `json:"patch,omitempty"`
}

// TakeZoneLease takes or renews the zone's lease at the platform. The outcome is
// returned as ZoneLeaseRead.
type TakeZoneLease struct {
	Zone ZoneName      `json:"zone"`
	TTL  time.Duration `json:"ttl"`
}

// PublishView makes a new view current for all traffic threads.
type PublishView struct {
	View *View `json:"-"`
}

// Report is a log message for operators, such as that an older document was
// rejected, a member is dead or an upstream is cold.
type Report struct {
	Level   ReportLevel `json:"level"`
	Message string      `json:"message"`
	Subject string      `json:"subject"`
	// Cause is the information the decision is based on; empty if the message
	// contains it.
	Cause string `json:"cause,omitempty"`
	// Version is the version of the information in Cause; 0 if it has none.
	Version uint64 `json:"version,omitempty"`
}

// ReportLevel is the severity of a report. The zero value is ReportInfo.
type ReportLevel uint8

const (
	// ReportInfo is informational.
	ReportInfo ReportLevel = iota
	// ReportWarn needs an operator's attention.
	ReportWarn
)

// Kind names the effect.
func (*SendProbe) Kind() string { return "sendProbe" }

// Kind names the effect.
func (*ReplyProbe) Kind() string { return "replyProbe" }

// Kind names the effect.
func (*ReadDocument) Kind() string { return "readDocument" }

// Kind names the effect.
func (*SendPull) Kind() string { return "sendPull" }

// Kind names the effect.
func (*ReplyPull) Kind() string { return "replyPull" }

// Kind names the effect.
func (*TakeZoneLease) Kind() string { return "takeZoneLease" }

// Kind names the effect.
func (*PublishView) Kind() string { return "publishView" }

// Kind names the effect.
func (*Report) Kind() string { return "report" }
