package querier_test

import (
	"slices"

	"almondstep"
	"almondstep/merger"
)

// feed passes an event to the partition and checks every effect.
func (f *fake) feed(e almondstep.Event) {
	for _, effect := range f.q.Reduce(f.now, f.v, e, nil) {
		f.write(effect)
		switch effect := effect.(type) {
		case *almondstep.SendWork:
			f.checkWork(effect)
		case *almondstep.ReplyCaller:
			f.checkReply(effect)
		case *almondstep.SetQueryTimer:
			f.notAfterEnd(effect.ID, effect)
			f.timers = append(f.timers, effect)
		case *almondstep.SendCollect:
			f.notAfterEnd(effect.Query, effect)
			f.collect(effect)
		case *almondstep.ClaimKey:
			f.notAfterEnd(effect.ID, effect)
			f.claims = append(f.claims, effect.ID)
		}
	}
}

func (f *fake) write(e almondstep.Effect) {
	if f.log == nil {
		return
	}
	if err := f.log.Encode(e); err != nil {
		f.t.Fatal(err)
	}
}

// notAfterEnd checks that an effect comes before the end of its query. Only cancels
// may come later.
func (f *fake) notAfterEnd(id almondstep.QueryID, e almondstep.Effect) {
	truth := f.queries[id]
	if truth.ended || truth.gone {
		f.t.Errorf("query %d: %s after its end", id, e.Kind())
	}
}

// checkWork checks a Work and draws the actual outcomes of its items.
func (f *fake) checkWork(s *almondstep.SendWork) {
	w := s.Work
	f.notAfterEnd(w.Query, s)
	truth := f.queries[w.Query]
	if truth.keyed && !truth.claimed {
		f.t.Errorf("query %d: sent before its key was claimed", w.Query)
	}
	sent := &sentWork{owner: s.Owner, work: w, reported: make([]bool, len(w.Items))}
	for range w.Items {
		outcome := almondstep.ItemDone
		if f.r.oneIn(3) {
			outcome = []almondstep.ItemOutcome{
				almondstep.ItemNotRun, almondstep.ItemFailed, almondstep.ItemUnknown,
				almondstep.ItemWrongVersion, almondstep.ItemCrashed, almondstep.ItemNotRun,
			}[f.r.intN(6)]
		}
		sent.outcomes = append(sent.outcomes, outcome)
	}
	for _, item := range w.Items {
		if truth.requested[w.Version] == nil {
			truth.requested[w.Version] = map[almondstep.Shard]bool{}
		}
		truth.requested[w.Version][item.Shard] = true
	}
	truth.open += len(w.Items)
	truth.sent += len(w.Items)
	f.sent = append(f.sent, sent)
	if truth.atMostOnce && truth.begun+truth.open > 1 {
		f.t.Errorf("query %d: %d begun, %d may begin; want at most one", w.Query, truth.begun, truth.open)
	}
	if truth.atMostOnce && (w.Idempotent || w.Hedge) {
		f.t.Errorf("query %d: idempotent %v, hedge %v", w.Query, w.Idempotent, w.Hedge)
	}
}

// collect records that an owner has a Collect to answer.
func (f *fake) collect(c *almondstep.SendCollect) {
	for _, w := range f.sent {
		if w.work.Query == c.Query && w.work.Attempt == c.Attempt {
			w.collecting = true
		}
	}
}

// checkReply compares an answer with what actually happened.
func (f *fake) checkReply(r *almondstep.ReplyCaller) {
	truth := f.queries[r.ID]
	f.notAfterEnd(r.ID, r)
	truth.ended = true
	a := r.Answer
	if f.outcomes != nil {
		f.outcomes[a.Outcome]++
	}
	if a.Attempts != truth.sent {
		f.t.Errorf("query %d: reports %d attempts, %d were sent", r.ID, a.Attempts, truth.sent)
	}
	switch a.Outcome {
	case almondstep.OutcomeNotRun:
		if truth.begun+truth.open > 0 {
			f.t.Errorf("query %d: notRun, but %d have begun and %d may", r.ID, truth.begun, truth.open)
		}
	case almondstep.OutcomeUnknown:
		if !truth.atMostOnce {
			f.t.Errorf("query %d: unknown, but it is idempotent", r.ID)
		}
	case almondstep.OutcomePartial:
		if truth.atMostOnce {
			f.t.Errorf("query %d: partial, but it is not idempotent", r.ID)
		}
	case almondstep.OutcomeComplete:
	default:
		f.t.Errorf("query %d: outcome %q", r.ID, a.Outcome)
	}
	f.checkCoverage(a, truth)
}

// checkCoverage compares the coverage with the records: each shard has one
// record at each version, so the answer must have the first records of the
// included shards, each once.
func (f *fake) checkCoverage(a *almondstep.Answer, truth *queryTruth) {
	c := a.Coverage
	if c.Included != a.Total {
		f.t.Errorf("query %d: %d included, total %d", a.Query, c.Included, a.Total)
	}
	complete := a.Outcome == almondstep.OutcomeComplete
	if complete != c.Complete || (complete && c.Included != c.Wanted) {
		f.t.Errorf("query %d: outcome %q with coverage %+v", a.Query, a.Outcome, c)
	}
	if c.Wanted > 0 && c.Included+len(c.Missing) != c.Wanted {
		f.t.Errorf("query %d: %d included and %d missing of %d", a.Query, c.Included, len(c.Missing), c.Wanted)
	}
	missing := map[almondstep.Shard]bool{}
	for _, m := range c.Missing {
		missing[almondstep.NewShard(m.Service, m.Shard, m.Of)] = true
		if m.Reason == "" {
			f.t.Errorf("query %d: shard %d of %s is missing without a reason", a.Query, m.Shard, m.Service)
		}
	}
	var want []almondstep.Record
	for s := range truth.requested[c.Version] {
		if !missing[s] {
			want = append(want, recordOf(s, c.Version))
		}
	}
	if c.Included > 0 && len(want) != c.Included {
		f.t.Errorf("query %d: %d included, but %d requested at version %d and not missing", a.Query, c.Included, len(want), c.Version)
	}
	slices.SortFunc(want, merger.Compare)
	want = want[:min(truth.limit, len(want))]
	if !slices.Equal(a.Records, want) {
		f.t.Errorf("query %d: records %v, want %v", a.Query, a.Records, want)
	}
}
