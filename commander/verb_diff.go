package commander

import (
	"context"
	"io"

	"github.com/cockroachdb/errors"

	"almondstep/patcher"
)

const diffName = "diff"

// diffVerb compares two files, or a file with the configuration in force.
type diffVerb struct {
	File string `arg:"positional,required" help:"the new configuration file; - reads standard input"`
	Old  string `arg:"--old" placeholder:"FILE" help:"the old configuration file; default: the configuration in force"`
	JSON bool   `arg:"--json" help:"print the result as JSON"`
	platformFlag
}

func newDiff() verb { return &diffVerb{} }

// changeMessage is a changed entry as JSON.
type changeMessage struct {
	Entry  string             `json:"entry"`
	Kind   patcher.ChangeKind `json:"kind"`
	Before string             `json:"before,omitempty"`
	After  string             `json:"after,omitempty"`
}

func (v *diffVerb) run(ctx context.Context, env *Env) error {
	body, err := readConfig(env, v.File)
	if err != nil {
		return err
	}
	old, err := v.oldConfig(ctx, env)
	if err != nil {
		return err
	}
	changes, err := patcher.Diff(old, body)
	if err != nil {
		return errors.Wrapf(err, "can't compare %s", v.File)
	}
	if v.JSON {
		return writeJSON(env.Stdout, changeMessages(changes))
	}
	writeChanges(env.Stdout, changes)
	if len(changes) == 0 && string(old) != string(body) {
		printf(env.Stdout, "no entry differs; comments, layout or order do\n")
	}
	return nil
}

func (v *diffVerb) oldConfig(ctx context.Context, env *Env) ([]byte, error) {
	if v.Old != "" {
		return readConfig(env, v.Old)
	}
	e, err := v.envelope(ctx)
	if err != nil {
		return nil, err
	}
	return []byte(e.Text), nil
}

func changeMessages(changes []patcher.Change) []changeMessage {
	messages := make([]changeMessage, 0, len(changes))
	for _, c := range changes {
		messages = append(messages, changeMessage{Entry: c.Address(), Kind: c.Kind(), Before: c.Before(), After: c.After()})
	}
	return messages
}

// writeChanges prints each changed entry with its text before and after.
func writeChanges(w io.Writer, changes []patcher.Change) {
	for _, c := range changes {
		printf(w, "%s %s\n", c.Kind(), c.Address())
		if c.Before() != "" {
			printf(w, "  - %s\n", c.Before())
		}
		if c.After() != "" {
			printf(w, "  + %s\n", c.After())
		}
	}
}
