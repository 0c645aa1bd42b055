package demonstrator

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"time"

	"almondstep"
	"almondstep/requester"
	"almondstep/server"
)

// searchText matches some of the records.
const searchText = "walnut"

// resultLimit bounds the records of an answer.
const resultLimit = 20

func newID() string { return strconv.FormatUint(rand.Uint64(), 36) }

// client returns a client of the next daemon in turn, like a load balancer.
func (d *Demo) client() *requester.Client {
	daemons := d.fleet.Daemons()
	d.lastDaemon++
	r := daemons[d.lastDaemon%len(daemons)]
	return &requester.Client{Base: "http://" + string(r.CallersAddress())}
}

// readyClient is like client but skips daemons that are not ready.
func (d *Demo) readyClient() *requester.Client {
	for range d.fleet.Daemons() {
		daemons := d.fleet.Daemons()
		next := daemons[(d.lastDaemon+1)%len(daemons)]
		if next.Frontend().View().Ready() {
			break
		}
		d.lastDaemon++
	}
	return d.client()
}

// warmUp searches until the answers from intake and dispatch cover all shards, and
// checks that no cold upstream was overloaded.
func (d *Demo) warmUp(ctx context.Context) error {
	began := time.Now()
	searches := 0
	complete := d.waitUntil(ctx, func() bool {
		searches++
		a, err := d.search(ctx, "dns", "intake.roastery.example", "routine")
		if err != nil || !a.Coverage.Complete {
			return false
		}
		a, err = d.search(ctx, "dns", "dispatch.roastery.example", "routine")
		return err == nil && a.Coverage.Complete
	})
	d.record(row{
		what:      "warm up from a cold start",
		outcome:   fmt.Sprintf("full coverage after %d rounds of searches", searches),
		took:      time.Since(began),
		held:      complete && d.overruns() == 0,
		guarantee: "no cold upstream got more than it can bear",
	})
	return nil
}

// overruns counts how often the requests in flight exceeded a cold upstream's limit.
func (d *Demo) overruns() int {
	n := 0
	for _, u := range d.fleet.Upstreams() {
		n += u.Counters().Overruns
	}
	return n
}

func (d *Demo) search(ctx context.Context, scheme almondstep.SchemeName, name string, class almondstep.ClassName) (*almondstep.Answer, error) {
	c := d.readyClient()
	defer c.Close()
	return c.Search(ctx, &server.SearchRequest{
		Scheme: scheme,
		Name:   name,
		Tenant: "growers",
		Class:  class,
		Text:   searchText,
		Limit:  resultLimit,
	})
}

// searchEveryScheme searches each service under each of its names.
func (d *Demo) searchEveryScheme(ctx context.Context) error {
	for _, s := range d.catalog.Config().Services {
		for _, scheme := range d.catalog.Schemes() {
			for _, class := range []almondstep.ClassName{"urgent", "routine"} {
				d.showSearch(ctx, scheme, s.Names[scheme], class)
			}
		}
	}
	return nil
}

// showSearch sends one search and checks the answer against the records.
func (d *Demo) showSearch(ctx context.Context, scheme almondstep.SchemeName, name string, class almondstep.ClassName) {
	what := fmt.Sprintf("search %s %s %s", scheme, name, class)
	a, err := d.search(ctx, scheme, name, class)
	if err != nil {
		d.record(row{what: what, outcome: err.Error(), guarantee: "an answer"})
		return
	}
	service, _ := d.catalog.Lookup(scheme, name)
	d.record(row{
		what:      what,
		outcome:   strings.TrimSpace(string(a.Outcome) + " " + string(a.Code) + " " + a.Message),
		coverage:  fmt.Sprintf("%d/%d shards", a.Coverage.Included, a.Coverage.Wanted),
		version:   a.Coverage.Version,
		took:      a.Took,
		held:      d.matchesRecords(service, a),
		guarantee: "one snapshot, true coverage, nothing doubled",
	})
}

// matchesRecords reports whether an answer is consistent with the records: its total
// is that of exactly the shards that it claims to include, at its version; its coverage
// adds up; and no record occurs twice.
func (d *Demo) matchesRecords(service almondstep.ServiceName, a *almondstep.Answer) bool {
	if a.Outcome != almondstep.OutcomeComplete && a.Outcome != almondstep.OutcomePartial {
		return false
	}
	s, _ := d.catalog.Service(service)
	want := 0
	for _, dependency := range s.Closure() {
		want += d.totalOf(dependency, a.Coverage)
	}
	missing := a.Coverage.Wanted - a.Coverage.Included
	return a.Total == want &&
		len(a.Coverage.Missing) == missing &&
		a.Coverage.Complete == (missing == 0) &&
		distinct(a.Records)
}

// totalOf counts a service's matching records in the shards that are not missing.
func (d *Demo) totalOf(service almondstep.ServiceName, c almondstep.Coverage) int {
	for i, shape := range d.fleet.Shapes {
		if shape.Service != service {
			continue
		}
		data := d.fleet.Data()[i]
		total, _ := data.Search(c.Version, searchText, 0)
		for _, m := range c.Missing {
			if m.Service == service {
				n, _ := data.Shard(almondstep.NewShard(service, m.Shard, m.Of), c.Version, searchText, 0)
				total -= n
			}
		}
		return total
	}
	return 0
}

// distinct reports whether the records are sorted by key and no key occurs twice.
func distinct(records []almondstep.Record) bool {
	for i := 1; i < len(records); i++ {
		if records[i-1].Key >= records[i].Key {
			return false
		}
	}
	return true
}

// runOrder sends one order, then sends it again with the same key, like a caller
// that lost the answer.
func (d *Demo) runOrder(ctx context.Context) error {
	key := fmt.Sprintf("%d-%s", time.Now().UnixMilli(), newID())
	q := &server.RunRequest{
		Scheme:    "dns",
		Name:      "dispatch.roastery.example",
		Tenant:    "stalls",
		Class:     "routine",
		Operation: "enterOrder",
		RecordKey: "order-" + key,
		Body:      "12 pallets " + key,
	}
	for _, what := range []string{"order", "the same order again"} {
		c := d.readyClient()
		a, err := c.Run(ctx, q, key)
		c.Close()
		if err != nil {
			d.record(row{what: what, outcome: err.Error(), guarantee: "an answer"})
			continue
		}
		runs := d.countRuns(q.Body)
		d.record(row{
			what:      what,
			outcome:   string(a.Outcome) + " " + string(a.Code),
			took:      a.Took,
			held:      runs <= 1 && (a.Outcome != almondstep.OutcomeComplete || runs == 1),
			guarantee: fmt.Sprintf("at most once; it ran %d time(s)", runs),
		})
	}
	return nil
}

// countRuns counts the runs of an operation with this body at the upstreams.
func (d *Demo) countRuns(body string) int {
	n := 0
	for what, times := range d.fleet.Ledger.Runs() {
		if strings.Contains(what, body) {
			n += times
		}
	}
	return n
}
