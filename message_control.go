package almondstep

import "time"

// DocumentName names a document that every daemon holds a copy of.
type DocumentName string

const (
	// DocumentConfig is the operators' text.
	DocumentConfig DocumentName = "config"
	// DocumentFleet is the platform's list of VMs.
	DocumentFleet DocumentName = "fleet"
)

// Hash is the first 16 bytes of the SHA-256 of a document's body, in hexadecimal.
type Hash string

// DocumentState says which edition of a document a daemon holds.
type DocumentState struct {
	Name     DocumentName `json:"name"`
	Revision Revision     `json:"revision"`
	Hash     Hash         `json:"hash"`
	// Age is how long ago the platform confirmed the edition, counted over all
	// daemons the word has passed through; AgeUnknown if never.
	Age time.Duration `json:"age"`
}

// AgeUnknown is the age of an edition the platform has never confirmed.
const AgeUnknown = time.Duration(1<<63 - 1)

// Document is one edition of a document.
type Document struct {
	Name     DocumentName `json:"name"`
	Revision Revision     `json:"revision"`
	Hash     Hash         `json:"hash"`
	Body     []byte       `json:"body"`
}

// Patch turns one edition into another. With an empty FromHash, Body is the
// full text; otherwise it is the entries that changed.
type Patch struct {
	Name     DocumentName `json:"name"`
	FromHash Hash         `json:"fromHash,omitempty"`
	Revision Revision     `json:"revision"`
	Hash     Hash         `json:"hash"`
	Body     []byte       `json:"body"`
}

// MemberState is what daemons believe of each other.
type MemberState uint8

const (
	// MemberAlive answers probes.
	MemberAlive MemberState = iota
	// MemberSuspect missed a direct and the indirect probes, and may refute.
	MemberSuspect
	// MemberDead didn't refute in time.
	MemberDead
	// MemberLeft stopped as planned.
	MemberLeft
)

// RumorKind says what a rumor is about.
type RumorKind uint8

const (
	// RumorMember is about a daemon.
	RumorMember RumorKind = iota
	// RumorUpstream is about an upstream.
	RumorUpstream
	// RumorQuarantine is about a request that crashes what runs it.
	RumorQuarantine
)

// Rumor is one fact that daemons pass on with their probes, a bounded number
// of times each.
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

// Digest is what one daemon tells another with each probe and each answer to one.
type Digest struct {
	From        DaemonID        `json:"from"`
	Addr        Address         `json:"addr"`
	Zone        ZoneName        `json:"zone"`
	Incarnation uint64          `json:"incarnation"`
	Documents   []DocumentState `json:"documents"`
	Rumors      []Rumor         `json:"rumors,omitempty"`
	// RenewLease asks the receiver, one of the sender's witnesses, to vouch for it
	// for another WitnessTTL.
	RenewLease bool `json:"renews,omitempty"`
	// LeaseConfirmed answers RenewLease.
	LeaseConfirmed bool `json:"vouches,omitempty"`
	// ExpiredLeases lists daemons of the zone that the sender, one of their witnesses,
	// no longer vouches for and will not again in that incarnation.
	ExpiredLeases []ExpiredLease `json:"gone,omitempty"`
	// Zones says how long ago a daemon of each other zone showed that it holds
	// no newer configuration than the sender.
	Zones []ZoneConfirmation `json:"zones,omitempty"`
}

// ZoneConfirmation says how long ago a daemon of a zone confirmed the
// configuration, counted over all daemons the word has passed through.
type ZoneConfirmation struct {
	Zone ZoneName      `json:"zone"`
	Age  time.Duration `json:"age"`
}

// ExpiredLease is a daemon whose witness has let its vouching lapse.
type ExpiredLease struct {
	Daemon      DaemonID `json:"daemon"`
	Incarnation uint64   `json:"incarnation"`
}

// WitnessTTL is how long a witness vouches for a daemon after a renewal.
const WitnessTTL = 4 * time.Second

// ColdAttemptTimeout bounds a request to a cold upstream, so that a hand-over
// need wait no longer for the former owner's requests to end.
const ColdAttemptTimeout = time.Second

// ControlTick comes every TickInterval and moves the control partition's clock.
type ControlTick struct{}

// TickInterval is the time between two control ticks.
const TickInterval = 100 * time.Millisecond

// ProbeArrived brings a peer's probe. It is answered by ReplyProbe. With a
// Target, the peer asks for an indirect probe of it.
type ProbeArrived struct {
	Call   CallID   `json:"call"`
	Digest Digest   `json:"digest"`
	Target DaemonID `json:"target,omitempty"`
}

// ProbeEnded says how a probe this daemon sent ended. With a Target it was an
// indirect probe of it through To.
type ProbeEnded struct {
	To     DaemonID `json:"to"`
	Target DaemonID `json:"target,omitempty"`
	OK     bool     `json:"ok"`
	Digest *Digest  `json:"digest,omitempty"`
}

// PeerObserved is evidence from traffic that a peer lives or doesn't answer.
type PeerObserved struct {
	Daemon DaemonID `json:"daemon"`
	OK     bool     `json:"ok"`
}

// DocumentRead brings a document from the platform. Err is empty if it was read.
type DocumentRead struct {
	Name     DocumentName `json:"name"`
	Document *Document    `json:"document,omitempty"`
	// Err says why the platform could not be read.
	Err string `json:"err,omitempty"`
	// RequestedAt repeats the ReadDocument's.
	RequestedAt Instant `json:"asked,omitempty"`
	// Unchanged says that the platform's edition is still the one of the
	// ReadDocument's After; the document is then left out.
	Unchanged bool `json:"unchanged,omitempty"`
}

// PullArrived brings a peer's request for a document newer than what it has.
// It is answered by ReplyPull.
type PullArrived struct {
	Call CallID        `json:"call"`
	From DaemonID      `json:"from"`
	Have DocumentState `json:"have"`
}

// PullEnded brings a peer's answer to a pull. Patch is nil if it failed or had
// nothing newer.
type PullEnded struct {
	From  DaemonID     `json:"from"`
	Name  DocumentName `json:"name"`
	Patch *Patch       `json:"patch,omitempty"`
}

// ZoneLeaseRead says whether this daemon holds its zone's lease at the
// platform, and for how long still. The lease is one more vote when the zone's
// daemons are counted.
type ZoneLeaseRead struct {
	Held      bool          `json:"held"`
	Remaining time.Duration `json:"remaining"`
	Err       string        `json:"err,omitempty"`
}

// StopRequested starts a graceful shutdown.
type StopRequested struct{}

// Control marks the event.
func (*ControlTick) Control() {}

// Control marks the event.
func (*ProbeArrived) Control() {}

// Control marks the event.
func (*ProbeEnded) Control() {}

// Control marks the event.
func (*PeerObserved) Control() {}

// Control marks the event.
func (*DocumentRead) Control() {}

// Control marks the event.
func (*PullArrived) Control() {}

// Control marks the event.
func (*PullEnded) Control() {}

// Control marks the event.
func (*ZoneLeaseRead) Control() {}

// Control marks the event.
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

// SendProbe asks a peer whether it lives; with a Target it asks the peer to
// probe the target. The outcome comes back as ProbeEnded.
type SendProbe struct {
	To     DaemonID `json:"to"`
	Addr   Address  `json:"addr"`
	Target DaemonID `json:"target,omitempty"`
	Digest Digest   `json:"digest"`
	// Timeout is how long the answer may take.
	Timeout time.Duration `json:"timeout"`
}

// ReplyProbe answers a ProbeArrived.
type ReplyProbe struct {
	Call   CallID `json:"call"`
	OK     bool   `json:"ok"`
	Digest Digest `json:"digest"`
}

// ReadDocument asks the platform for a document. With an After it waits, up to
// Wait, for a revision above it. The outcome comes back as DocumentRead.
type ReadDocument struct {
	Name  DocumentName  `json:"name"`
	After Revision      `json:"after"`
	Wait  time.Duration `json:"wait"`
	// RequestedAt is when the read was asked for; DocumentRead repeats it, so that a
	// late answer isn't taken for fresh news.
	RequestedAt Instant `json:"asked,omitempty"`
}

// SendPull asks a peer for a document newer than Have. The outcome comes back as
// PullEnded.
type SendPull struct {
	To   DaemonID      `json:"to"`
	Addr Address       `json:"addr"`
	Have DocumentState `json:"have"`
}

// ReplyPull answers a PullArrived; a nil Patch has nothing newer.
type ReplyPull struct {
	Call  CallID `json:"call"`
	Patch *Patch `json:"patch,omitempty"`
}

// TakeZoneLease asks the platform for the zone's lease, or to renew it. The
// outcome comes back as ZoneLeaseRead.
type TakeZoneLease struct {
	Zone ZoneName      `json:"zone"`
	TTL  time.Duration `json:"ttl"`
}

// PublishView puts a new view in force on all traffic threads.
type PublishView struct {
	View *View `json:"-"`
}

// Report is something operators should see: an older document refused, a
// member dead, an upstream cold.
type Report struct {
	Level   ReportLevel `json:"level"`
	Message string      `json:"message"`
	Subject string      `json:"subject"`
	// Cause says what it was decided from; empty if the message says it all.
	Cause string `json:"cause,omitempty"`
	// Version is that of what it was decided from; 0 if it has none.
	Version uint64 `json:"version,omitempty"`
}

// ReportLevel is how much a report matters.
type ReportLevel uint8

const (
	// ReportInfo is for the record.
	ReportInfo ReportLevel = iota
	// ReportWarn wants a look.
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
