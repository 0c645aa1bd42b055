package almondstep

import (
	"context"
	"time"
)

// Entry is the value of a key in the platform's key-value service.
type Entry struct {
	// Revision rises with each write of the key; 0 means the key is absent.
	Revision uint64
	Value    []byte
}

// Platform is a client of the platform's key-value service and its list of VMs.
// Every call returns ErrUnavailable if there was no answer; a write may then have
// taken effect.
type Platform interface {
	// Get reads a key. An absent key has revision 0 and no error.
	Get(ctx context.Context, key string) (Entry, error)
	// CompareAndSwap writes a key if its revision is still base, which is 0 for an
	// absent key, and returns the new revision. Otherwise it returns ErrConflict.
	CompareAndSwap(ctx context.Context, key string, base uint64, value []byte) (uint64, error)
	// Watch waits, at most wait, until the key's revision is above after, and
	// returns the entry. If the revision is still after, the entry has no value.
	Watch(ctx context.Context, key string, after uint64, wait time.Duration) (Entry, error)
	// Lease takes or renews a lease for ttl. It returns ErrConflict if another
	// holder has it.
	Lease(ctx context.Context, key, holder string, ttl time.Duration) error
	// Fleet reads the list of VMs, waiting like Watch. If the revision is still
	// after, only the revision is set.
	Fleet(ctx context.Context, after Revision, wait time.Duration) (Fleet, error)
}

// UpstreamClient sends one request to an upstream and returns its outcome. It
// never sends a request twice.
type UpstreamClient interface {
	Do(ctx context.Context, a *StartAttempt) *AttemptEnded
}

// Registry is a client of the platform's registry of the routes, the upstreams,
// the drained zones and the daemons.
type Registry interface {
	// ReadAll returns the whole registry.
	ReadAll(ctx context.Context) (*RegistryChanges, error)
	// ReadDaemons lists only the daemons. The list may be slightly out of date.
	ReadDaemons(ctx context.Context) (*RegistryChanges, error)
	// Watch waits, at most wait, for changes after a revision. It returns ErrStale
	// if the registry no longer has the history since then.
	Watch(ctx context.Context, after uint64, wait time.Duration) (*RegistryChanges, error)
	// Announce takes or renews this daemon's lease for ttl.
	Announce(ctx context.Context, ttl time.Duration) error
	// RecordCrashes adds and removes records of crashes. It may be repeated. If it returns
	// an error, it may have taken effect.
	RecordCrashes(ctx context.Context, f *RecordCrashes) error
	// ClaimRecheck adds the record of a recheck. It returns ErrConflict if there is one. After any
	// other error, it may have taken effect.
	ClaimRecheck(ctx context.Context, r CrashRecord) error
	// Read decodes entries that another daemon has forwarded.
	Read(revision uint64, entries []RegistryEntry) *RegistryChanges
}

// RegistryUpdateServer serves registry updates to other daemons. It waits for
// changes for as long as the request specifies.
type RegistryUpdateServer interface {
	WatchRegistry(ctx context.Context, req *RegistryUpdateRequest) (*RegistryUpdate, error)
}

// GatherServer serves requests over shards that other daemons delegate. It returns
// ErrNotRun if it is certain that the request has not run.
type GatherServer interface {
	Gather(ctx context.Context, req *GatherRequest) (*Reply, error)
}

// DelegateClient is a client of other daemons, for registry updates and delegated
// requests.
type DelegateClient interface {
	RegistryUpdateClient
	// Gather delegates a request over shards to another daemon. It returns ErrNotRun
	// if it is certain that the request has not run, and ErrUnavailable if there was
	// no answer.
	Gather(ctx context.Context, to Address, req *GatherRequest) (*Reply, error)
}

// QuotaServer serves what other daemons ask about the quotas of organisations.
type QuotaServer interface {
	AskQuota(ctx context.Context, ask QuotaAsk) (*QuotaAnswer, error)
	ReportQuota(ctx context.Context, report *QuotaReport) (*QuotaLease, error)
}

// QuotaClient asks other daemons about the quotas of organisations.
type QuotaClient interface {
	AskQuota(ctx context.Context, to Address, ask QuotaAsk) (*QuotaAnswer, error)
	ReportQuota(ctx context.Context, to Address, report *QuotaReport) (*QuotaLease, error)
}

// RegistryUpdateClient requests registry updates from another daemon. It returns
// ErrCorrupt if a patch in the update doesn't fit the request's PatchBases.
type RegistryUpdateClient interface {
	WatchRegistry(ctx context.Context, to Address, req *RegistryUpdateRequest) (*RegistryUpdate, error)
}

// Exchanger sends one call to an upstream and returns its outcome. It never sends
// a call twice.
type Exchanger interface {
	Exchange(ctx context.Context, c *SendCall) *CallEnded
}

// HeaderCodec encodes and decodes the header fields of one upstream protocol.
type HeaderCodec interface {
	// RequestHeader returns the header of a call whose response is of use only within
	// usefulFor.
	RequestHeader(c *SendCall, usefulFor time.Duration) Header
	// ParseResponse sets the result and the other fields of into from the complete
	// response to the call.
	ParseResponse(c *SendCall, r *ResponseMessage, into *CallEnded)
}

// Forwarder processes requests for routes. Forward waits for the reply.
type Forwarder interface {
	Forward(ctx context.Context, e *RequestArrived) *Reply
	// View returns the newest view.
	View() *View
}

// PeerClient sends messages to other daemons.
type PeerClient interface {
	// Work sends a Work to an owner. It returns ErrNotRun if it is certain that
	// nothing started, and ErrUnavailable if there was no answer.
	Work(ctx context.Context, to Address, from DaemonID, w *Work) (*WorkAnswered, error)
	// Collect waits for the pending items of a Work.
	Collect(ctx context.Context, to Address, c *CollectArrived) (*WorkAnswered, error)
	// Cancel cancels an attempt, or some of its items, at an owner.
	Cancel(ctx context.Context, to Address, c *CancelArrived) error
	// Probe sends a probe to a peer or, if target is set, requests an indirect probe
	// of target. The result is the digest of the peer, and whether the probe succeeded.
	Probe(ctx context.Context, to Address, target DaemonID, d *Digest) (*Digest, bool, error)
	// Pull requests a newer revision of a document than have; the patch is nil if
	// there is none.
	Pull(ctx context.Context, to Address, from DaemonID, have DocumentState) (*Patch, error)
	// Claim claims an idempotency key at the daemon that writes the key's bucket.
	Claim(ctx context.Context, to Address, c *ClaimKey) (ClaimOutcome, error)
	// Status requests a daemon's status.
	Status(ctx context.Context, to Address) (*DaemonStatus, error)
}

// PeerServer serves messages from other daemons. Its methods wait until the control
// or traffic thread has answered.
type PeerServer interface {
	Work(ctx context.Context, from DaemonID, w *Work) (*WorkAnswered, error)
	Collect(ctx context.Context, c *CollectArrived) (*WorkAnswered, error)
	Cancel(ctx context.Context, c *CancelArrived) error
	Probe(ctx context.Context, target DaemonID, d *Digest) (*Digest, bool, error)
	Pull(ctx context.Context, from DaemonID, have DocumentState) (*Patch, error)
	Claim(ctx context.Context, c *ClaimKey) (ClaimOutcome, error)
	Status(ctx context.Context) (*DaemonStatus, error)
}

// Claimer claims the idempotency keys of requests that must not run twice.
type Claimer interface {
	Claim(ctx context.Context, c *ClaimKey) ClaimOutcome
}

// Recorder records metrics for operators.
type Recorder interface {
	// Answered records a query's outcome, duration and coverage.
	Answered(t TenantName, c ClassName, a *Answer)
	// Attempted records a call to an upstream.
	Attempted(s ServiceName, r CallResult, took time.Duration)
	// ControlSent records the number of bytes of a control message that was sent.
	ControlSent(kind string, bytes int)
	// PlatformCalled records a call to the platform.
	PlatformCalled(kind string, err error)
	// Replied records the reply to a routed request.
	Replied(r RouteName, reply *Reply)
	// ViewPublished records the newest view.
	ViewPublished(v *View)
}

// Frontend processes callers' queries. Search and Execute wait for the answer.
type Frontend interface {
	Search(ctx context.Context, e *SearchArrived) *Answer
	Execute(ctx context.Context, e *RunArrived) *Answer
	// View returns the newest view.
	View() *View
}
