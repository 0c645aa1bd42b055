package commander

import (
	"context"
	"fmt"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"

	"almondstep"
	"almondstep/applier"
)

const showName = "show"

// showVerb prints the current or an earlier configuration, or the history of edits.
type showVerb struct {
	Revision almondstep.Revision `arg:"--revision" placeholder:"N" help:"an earlier revision instead of the newest"`
	History  bool                `arg:"--history" help:"print the recent edits instead of the configuration"`
	JSON     bool                `arg:"--json" help:"print the result as JSON"`
	platformFlag
}

func newShow() verb { return &showVerb{} }

// showResult is the result as JSON.
type showResult struct {
	Revision almondstep.Revision `json:"revision"`
	Hash     almondstep.Hash     `json:"hash"`
	Text     string              `json:"text,omitempty"`
	History  []editMessage       `json:"history,omitempty"`
}

// editMessage is an accepted edit as JSON.
type editMessage struct {
	Revision almondstep.Revision `json:"revision"`
	Who      string              `json:"who"`
	When     time.Time           `json:"when"`
	Reason   string              `json:"reason"`
	Entries  []string            `json:"entries"`
	WriteID  string              `json:"writeId"`
}

func (v *showVerb) run(ctx context.Context, env *Env) error {
	e, err := v.envelope(ctx)
	if err != nil {
		return err
	}
	if e.Revision == 0 {
		return errors.Wrap(almondstep.ErrNotFound, "no configuration has been applied yet")
	}
	if v.History {
		return v.writeHistory(env, e)
	}
	revision := e.Revision
	if v.Revision != 0 {
		revision = v.Revision
	}
	text, err := e.TextAt(revision)
	if err != nil {
		return err
	}
	hash := almondstep.HashOf(text)
	if v.JSON {
		return writeJSON(env.Stdout, showResult{Revision: revision, Hash: hash, Text: string(text)})
	}
	// The revision goes to standard error so that standard output is only the
	// configuration.
	printf(env.Stderr, "revision %d, hash %s\n", revision, hash)
	_, err = env.Stdout.Write(text)
	return err
}

func (v *showVerb) writeHistory(env *Env, e *applier.Envelope) error {
	if v.JSON {
		return writeJSON(env.Stdout, showResult{Revision: e.Revision, Hash: e.Hash, History: editMessages(e.History)})
	}
	return writeEdits(env, e.History)
}

func editMessages(edits []applier.AcceptedEdit) []editMessage {
	messages := make([]editMessage, 0, len(edits))
	for _, d := range edits {
		messages = append(messages, editMessage{
			Revision: d.Revision, Who: d.Who, When: d.When, Reason: d.Reason, Entries: d.Entries, WriteID: d.WriteID,
		})
	}
	return messages
}

// writeEdits prints edits as a table, newest first.
func writeEdits(env *Env, edits []applier.AcceptedEdit) error {
	table := tabwriter.NewWriter(env.Stdout, 0, 0, columnGap, ' ', 0)
	printf(table, "REVISION\tWHO\tWHEN\tENTRIES\tREASON\n")
	for _, d := range edits {
		printf(table, "%d\t%s\t%s\t%s\t%s\n",
			d.Revision, d.Who, d.When.Format(time.RFC3339), shorten(d.Entries), d.Reason)
	}
	return table.Flush()
}

// shorten lists a few entries and counts the rest.
func shorten(entries []string) string {
	const maxShown = 4
	if len(entries) <= maxShown {
		return strings.Join(entries, ",")
	}
	return fmt.Sprintf("%s,... (%d)", strings.Join(entries[:maxShown], ","), len(entries))
}
