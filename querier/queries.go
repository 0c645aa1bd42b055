package querier

import (
	"almondstep"
	"almondstep/admitter"
	"almondstep/hedger"
	"almondstep/planner"
)

// Config is what a partition of queries is made with. Zero values mean the
// defaults.
type Config struct {
	// Seed is where all random choices come from.
	Seed uint64
	// MaxOpen bounds the open queries of this partition.
	MaxOpen int
	// Partitions is the number of these the daemon has; a tenant's bound is
	// divided among them.
	Partitions int
	// ExtraPerMille is the number of hedges and retries per 1,000 sub-requests.
	ExtraPerMille int
	// ExtraBurst bounds the hedges and retries that all partitions of the daemon
	// have saved up together.
	ExtraBurst int
	// NoExtra turns hedges and retries off, for comparison.
	NoExtra bool
	// Remembered is the number of requests whose behavior is remembered.
	Remembered int
}

const (
	defaultMaxOpen       = 1_024
	defaultExtraPerMille = 50
	defaultExtraBurst    = 512
	defaultRemembered    = 65_536
	// startShare is the part of the burst a fresh budget begins with.
	startShare = 8
	// maxIdle bounds the ended queries whose memory is kept for the next ones.
	maxIdle = 64
)

// Queries is the state of all open queries of one traffic thread.
type Queries struct {
	cfg         Config
	open        map[almondstep.QueryID]*query
	listed      []*query
	idle        []*query
	planner     planner.Planner
	admitter    *admitter.Admitter
	budget      hedger.Budget
	digests     map[almondstep.ServiceName]*hedger.Digest
	reputations reputations
	silences    silences
	counters    Counters
	scratch     scratch
	// stamp numbers the answers handled.
	stamp uint64

	// now, view and out are those of the event being handled.
	now  almondstep.Instant
	view *almondstep.View
	out  []almondstep.Effect
}

// New makes a partition without queries.
func New(cfg Config) *Queries {
	cfg = withDefaults(cfg)
	burst := cfg.ExtraBurst / max(1, cfg.Partitions)
	q := &Queries{
		cfg:         cfg,
		open:        make(map[almondstep.QueryID]*query),
		admitter:    admitter.New(cfg.MaxOpen, cfg.Partitions),
		budget:      hedger.Budget{SharePerMille: cfg.ExtraPerMille, Burst: burst},
		digests:     make(map[almondstep.ServiceName]*hedger.Digest),
		reputations: newReputations(cfg.Remembered),
		silences:    make(silences),
		scratch:     newScratch(),
	}
	q.budget.Start(burst / startShare)
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
	if cfg.Remembered == 0 {
		cfg.Remembered = defaultRemembered
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

// Open is the number of open queries.
func (q *Queries) Open() int { return len(q.listed) }

// Counters tells what has happened so far.
func (q *Queries) Counters() Counters { return q.counters }
