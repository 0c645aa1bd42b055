package commander

import (
	"context"
	"fmt"
	"time"

	"almondstep"
	"almondstep/requester"
	"almondstep/server"
)

const queryName = "query"

// queryTimeout bounds the wait for a daemon that doesn't answer at all.
const queryTimeout = 90 * time.Second

// queryVerb sends a search or an operation to a daemon.
type queryVerb struct {
	Name      string `arg:"positional,required" help:"a name of the service"`
	Text      string `arg:"positional" help:"what to search for, or the operation's body"`
	Daemon    string `arg:"--daemon" default:"127.0.0.1:7101" help:"a daemon's address for callers"`
	Scheme    string `arg:"--scheme" help:"the naming scheme; may be omitted if the name means the same service in all schemes that have it"`
	Tenant    string `arg:"--tenant,required" help:"the tenant that sends the request"`
	Class     string `arg:"--class" default:"routine" help:"the class of the request"`
	Limit     int    `arg:"--limit" default:"10" help:"maximum number of records to show, 1 to 10000"`
	Deadline  string `arg:"--deadline" help:"deadline such as 40ms, at most 60s; default: the deadline of the class"`
	Operation string `arg:"--operation" help:"run this operation in place of a search"`
	RecordKey string `arg:"--record-key" help:"key of the record that the operation is for"`
	Key       string `arg:"--key" help:"an idempotency key: Unix milliseconds, a dash, and random letters"`
	JSON      bool   `arg:"--json" help:"print the answer as JSON"`
}

func newQuery() verb { return &queryVerb{} }

func (v *queryVerb) run(ctx context.Context, env *Env) error {
	if v.Operation == "" && (v.Key != "" || v.RecordKey != "") {
		return usageError("--key and --record-key go with --operation")
	}
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	c := &requester.Client{Base: "http://" + v.Daemon}
	defer c.Close()
	a, err := v.send(ctx, c)
	if err != nil {
		return err
	}
	if err := v.print(env, a); err != nil {
		return err
	}
	return outcomeError(a)
}

func (v *queryVerb) send(ctx context.Context, c *requester.Client) (*almondstep.Answer, error) {
	if v.Operation != "" {
		return c.Run(ctx, &server.RunRequest{
			Scheme:    almondstep.SchemeName(v.Scheme),
			Name:      v.Name,
			Tenant:    almondstep.TenantName(v.Tenant),
			Class:     almondstep.ClassName(v.Class),
			Operation: v.Operation,
			RecordKey: v.RecordKey,
			Body:      v.Text,
			Deadline:  v.Deadline,
		}, v.Key)
	}
	return c.Search(ctx, &server.SearchRequest{
		Scheme:   almondstep.SchemeName(v.Scheme),
		Name:     v.Name,
		Tenant:   almondstep.TenantName(v.Tenant),
		Class:    almondstep.ClassName(v.Class),
		Text:     v.Text,
		Limit:    v.Limit,
		Deadline: v.Deadline,
	})
}

func (v *queryVerb) print(env *Env, a *almondstep.Answer) error {
	if v.JSON {
		return writeJSON(env.Stdout, a)
	}
	for _, r := range a.Records {
		printf(env.Stdout, "%s\t%s\n", r.Key, r.Body)
	}
	c := a.Coverage
	printf(env.Stdout, "%s: %d records in %d of %d shards, version %d, %s\n",
		a.Outcome, a.Total, c.Included, c.Wanted, c.Version, a.Took.Round(time.Microsecond))
	if a.Code != "" {
		printf(env.Stdout, "%s: %s\n", a.Code, a.Message)
	}
	for _, m := range c.Missing {
		printf(env.Stdout, "missing: %s shard %d of %d, key hashes %08x to %08x: %s\n",
			m.Service, m.Shard, m.Of, m.From, m.To, m.Reason)
	}
	return nil
}

// outcomeError returns the error that maps to the exit code of the answer's outcome.
func outcomeError(a *almondstep.Answer) error {
	switch a.Outcome {
	case almondstep.OutcomeComplete:
		return nil
	case almondstep.OutcomePartial:
		return reported(errPartial)
	case almondstep.OutcomeNotRun:
		return reported(fmt.Errorf("%s: %w", a.Code, almondstep.ErrNotRun))
	default:
		return reported(fmt.Errorf("%s: %w", a.Code, errOutcomeUnknown))
	}
}
