package querier

import (
	"almondstep"
	"almondstep/admitter"
	"almondstep/hedger"
	"almondstep/planner"
)

// Config configures a query partition. Zero values mean the defaults.
type Config struct {
	// Seed seeds all random choices.
	Seed uint64
	// MaxOpen bounds the open queries of this partition.
	MaxOpen int
	// Partitions is the number of query partitions of the daemon; a tenant's
	// limit and ExtraBurst are divided among them.
	Partitions int
	// ExtraPerMille is the number of hedges and retries allowed per 1,000
	// sub-requests.
	ExtraPerMille int
	// ExtraBurst bounds the accumulated tokens for hedges and retries, over all
	// partitions of the daemon.
	ExtraBurst int
	// NoExtra sets the budget for hedges and retries to zero, for comparison.
	// Retries that need no token remain.
	NoExtra bool
	// MaxReputations bounds the number of requests whose reputation is kept: whether
	// they crash upstreams.
	MaxReputations int
}

const (
	defaultMaxOpen        = 1_024
	defaultExtraPerMille  = 50
	defaultExtraBurst     = 512
	defaultMaxReputations = 65_536
	// A new budget starts with 1/initialBurstDivisor of its burst.
	initialBurstDivisor = 8
	// maxIdle bounds the ended queries whose memory is kept for reuse.
	maxIdle = 64
)

// Queries is the query partition of one traffic thread: its open queries, and what
// they share.
type Queries struct {
	cfg           Config
	open          map[almondstep.QueryID]*query
	openList      []*query
	idle          []*query
	planner       planner.Planner
	admitter      *admitter.Admitter
	budget        hedger.Budget
	digests       map[almondstep.ServiceName]*hedger.Digest
	reputations   reputations
	ownerBackoffs ownerBackoffs
	counters      Counters
	scratch       scratch
	// stamp is the sequence number of the owner answer being handled.
	stamp uint64

	// now, view and out belong to the event being handled.
	now  almondstep.Instant
	view *almondstep.View
	out  []almondstep.Effect
}

// New returns a partition without queries.
func New(cfg Config) *Queries {
	cfg = withDefaults(cfg)
	burst := cfg.ExtraBurst / max(1, cfg.Partitions)
	q := &Queries{
		cfg:           cfg,
		open:          make(map[almondstep.QueryID]*query),
		admitter:      admitter.New(cfg.MaxOpen, cfg.Partitions),
		budget:        hedger.Budget{SharePerMille: cfg.ExtraPerMille, Burst: burst},
		digests:       make(map[almondstep.ServiceName]*hedger.Digest),
		reputations:   newReputations(cfg.MaxReputations),
		ownerBackoffs: make(ownerBackoffs),
		scratch:       newScratch(),
	}
	q.budget.Start(burst / initialBurstDivisor)
	return q
}

func withDefaults(cfg Config) Config {
	if cfg.MaxOpen == 0 {
		cfg.MaxOpen = defaultMaxOpen
	}
	if cfg.ExtraPerMille == 0 {
		cfg.ExtraPerMille = defaultExtraPerMille
	}
	if cfg.ExtraBurst == 0 {
		cfg.ExtraBurst = defaultExtraBurst
	}
	if cfg.NoExtra {
		cfg.ExtraPerMille = 0
		cfg.ExtraBurst = 0
	}
	if cfg.MaxReputations == 0 {
		cfg.MaxReputations = defaultMaxReputations
	}
	return cfg
}

// Reduce handles one event and appends its effects to out.
func (q *Queries) Reduce(now almondstep.Instant, v *almondstep.View, e almondstep.Event, out []almondstep.Effect) []almondstep.Effect {
	q.now, q.view, q.out = now, v, out
	q.handle(e)
	out = q.out
	q.view, q.out = nil, nil
	return out
}

func (q *Queries) handle(e almondstep.Event) {
	switch e := e.(type) {
	case *almondstep.SearchArrived:
		q.searchArrived(e)
	case *almondstep.RunArrived:
		q.runArrived(e)
	case *almondstep.ViewChanged:
		q.viewChanged()
	case almondstep.QueryEvent:
		qu := q.open[e.Query()]
		if qu == nil {
			q.counters.Late++
			return
		}
		q.handleOpen(qu, e)
	}
}

// handleOpen handles an event of an open query.
func (q *Queries) handleOpen(qu *query, e almondstep.QueryEvent) {
	switch e := e.(type) {
	case *almondstep.WorkAnswered:
		q.workAnswered(qu, e)
	case *almondstep.WorkFailed:
		q.workFailed(qu, e)
	case *almondstep.QueryTimer:
		q.timerFired(qu, e)
	case *almondstep.ClaimAnswered:
		q.claimAnswered(qu, e)
	case *almondstep.CallerGone:
		q.callerGone(qu)
	}
}

func (q *Queries) emit(e almondstep.Effect) {
	q.out = append(q.out, e)
}

// Open returns the number of open queries.
func (q *Queries) Open() int { return len(q.openList) }

// Counters returns the event counts since the start.
func (q *Queries) Counters() Counters { return q.counters }
