package almondstep

import (
	"context"
	"time"
)

// Entry is a value in the platform's key-value service.
type Entry struct {
	// Revision rises with each write of the key; 0 means the key is absent.
	Revision uint64
	Value    []byte
}

// Platform is the platform's key-value service and its list of VMs. Every call
// returns ErrUnavailable if no answer came; a write may then have taken effect.
type Platform interface {
	// Get reads a key. An absent key has revision 0 and no error.
	Get(ctx context.Context, key string) (Entry, error)
	// CompareAndSwap writes a key whose revision is still base, 0 for an absent
	// key, and returns the new revision. Otherwise it returns ErrConflict.
	CompareAndSwap(ctx context.Context, key string, base uint64, value []byte) (uint64, error)
	// Watch waits until the key's revision is above after, at most wait, and
	// returns what is there then. A key that is still at after comes with its
	// revision and without its value.
	Watch(ctx context.Context, key string, after uint64, wait time.Duration) (Entry, error)
	// Lease takes or renews a lease for ttl. It returns ErrConflict if another
	// holder has it.
	Lease(ctx context.Context, key, holder string, ttl time.Duration) error
	// Fleet reads the list of VMs, waiting like Watch. A list that is still at
	// after comes as its revision alone.
	Fleet(ctx context.Context, after Revision, wait time.Duration) (Fleet, error)
}

// UpstreamClient sends one request to an upstream and says how it ended. It
// never sends a request twice.
type UpstreamClient interface {
	Do(ctx context.Context, a *StartAttempt) *AttemptEnded
}

// Registry is the platform's record of the routes, the upstreams, the zones out
// and the daemons.
type Registry interface {
	// ReadAll gives everything that is recorded.
	ReadAll(ctx context.Context) (*RegistryChanges, error)
	// ReadDaemons lists the daemons alone, perhaps as they stood a moment ago.
	ReadDaemons(ctx context.Context) (*RegistryChanges, error)
	// Watch waits, at most wait, for changes after a revision. It returns ErrStale
	// if the history since then is gone.
	Watch(ctx context.Context, after uint64, wait time.Duration) (*RegistryChanges, error)
	// Announce takes or renews this daemon's lease for ttl.
	Announce(ctx context.Context, ttl time.Duration) error
	// Read makes changes of entries that another daemon has passed on.
	Read(revision uint64, entries []RegistryEntry) *RegistryChanges
}

// RegistryUpdateServer answers other daemons that want to know what changes in the
// registry. It waits, as long as the question says, until something has.
type RegistryUpdateServer interface {
	WatchRegistry(ctx context.Context, q *RegistryUpdateRequest) (*RegistryUpdate, error)
}

// GatherServer answers requests over shards that other daemons hand over. It
// returns ErrNotRun if it is certain that the request has not run.
type GatherServer interface {
	Gather(ctx context.Context, ask *GatherRequest) (*Reply, error)
}

// DelegateClient talks to the other daemons of a zone.
type DelegateClient interface {
	RegistryUpdateClient
	// Gather hands a request over shards to another daemon. It returns ErrNotRun if
	// it is certain that the request has not run, and ErrUnavailable if no answer
	// came.
	Gather(ctx context.Context, to Address, ask *GatherRequest) (*Reply, error)
}

// RegistryUpdateClient asks another daemon what changes in the registry. It returns
// ErrCorrupt if a patch in the answer doesn't fit what the question holds.
type RegistryUpdateClient interface {
	WatchRegistry(ctx context.Context, to Address, q *RegistryUpdateRequest) (*RegistryUpdate, error)
}

// Exchanger sends one call to an upstream and says how it ended. It never sends
// a call twice.
type Exchanger interface {
	Exchange(ctx context.Context, c *SendCall) *CallEnded
}

// HeaderCodec knows the header fields in which upstreams of some protocol speak.
type HeaderCodec interface {
	// RequestHeader gives the header of a call whose answer is wanted for so long.
	RequestHeader(c *SendCall, wanted time.Duration) Header
	// ParseResponse fills in the result and what else the answer says, from the whole
	// answer to the call.
	ParseResponse(c *SendCall, r *ResponseMessage, into *CallEnded)
}

// Forwarder takes requests for routes. Forward waits for the answer.
type Forwarder interface {
	Forward(ctx context.Context, e *RequestArrived) *Reply
	// View is the newest view.
	View() *View
}

// PeerClient sends messages to other daemons.
type PeerClient interface {
	// Work returns ErrNotRun if it is certain that nothing began, and
	// ErrUnavailable if no answer came.
	Work(ctx context.Context, to Address, from DaemonID, w *Work) (*WorkAnswered, error)
	// Collect waits for the pending rest of a Work.
	Collect(ctx context.Context, to Address, c *CollectArrived) (*WorkAnswered, error)
	// Cancel tells an owner that nothing more is wanted.
	Cancel(ctx context.Context, to Address, c *CancelArrived) error
	// Probe asks a peer whether it lives, or for an indirect probe of target.
	Probe(ctx context.Context, to Address, target DaemonID, d *Digest) (*Digest, bool, error)
	// Pull asks for a document newer than have; the patch is nil if there is none.
	Pull(ctx context.Context, to Address, from DaemonID, have DocumentState) (*Patch, error)
	// Claim asks the key's home daemon for the one run of a request.
	Claim(ctx context.Context, to Address, c *ClaimKey) (ClaimOutcome, error)
	// Status asks what a daemon says of itself.
	Status(ctx context.Context, to Address) (*DaemonStatus, error)
}

// PeerServer answers other daemons' messages. Its methods wait until the
// control or traffic thread has answered.
type PeerServer interface {
	Work(ctx context.Context, from DaemonID, w *Work) (*WorkAnswered, error)
	Collect(ctx context.Context, c *CollectArrived) (*WorkAnswered, error)
	Cancel(ctx context.Context, c *CancelArrived) error
	Probe(ctx context.Context, target DaemonID, d *Digest) (*Digest, bool, error)
	Pull(ctx context.Context, from DaemonID, have DocumentState) (*Patch, error)
	Claim(ctx context.Context, c *ClaimKey) (ClaimOutcome, error)
	Status(ctx context.Context) (*DaemonStatus, error)
}

// Claimer gets the one run of a request that must not run twice.
type Claimer interface {
	Claim(ctx context.Context, c *ClaimKey) ClaimOutcome
}

// Recorder counts what happens, for operators.
type Recorder interface {
	// Answered counts a query's outcome, time and coverage.
	Answered(t TenantName, c ClassName, a *Answer)
	// Attempted counts a call to an upstream.
	Attempted(s ServiceName, r CallResult, took time.Duration)
	// ControlSent counts bytes of control messages.
	ControlSent(kind string, bytes int)
	// PlatformCalled counts calls to the platform.
	PlatformCalled(kind string, err error)
	// Replied counts the answer to a routed request.
	Replied(r RouteName, reply *Reply)
	// Viewed notes the newest view.
	Viewed(v *View)
}

// Frontend takes callers' requests. Its methods wait for the answer.
type Frontend interface {
	Search(ctx context.Context, e *SearchArrived) *Answer
	Execute(ctx context.Context, e *RunArrived) *Answer
	// View is the newest view.
	View() *View
}
