package commander

import (
	"context"
	"crypto/rand"
	"time"

	"github.com/cockroachdb/errors"

	"almondstep"
	"almondstep/applier"
	"almondstep/parser"
)

const applyName = "apply"

// maxReasonBytes bounds the reason and the author of an edit in the history.
const maxReasonBytes = 200

// applyVerb applies a configuration.
type applyVerb struct {
	File    string              `arg:"positional,required" help:"the complete new configuration; - reads standard input"`
	Base    almondstep.Revision `arg:"--base" placeholder:"N" help:"the revision that the file was edited from, as show prints it; 0 if there was none"`
	Rebase  bool                `arg:"--rebase" help:"if other edits were accepted first, merge this one into them unless they changed the same entries"`
	Above   almondstep.Revision `arg:"--above" placeholder:"N" help:"make the revision higher than N, for a platform that was restored with older data"`
	Damaged bool                `arg:"--damaged" help:"replace a value at the platform that can't be read"`
	editFlags
}

// editFlags are the flags of all verbs that change the configuration in force.
type editFlags struct {
	Reason string        `arg:"--reason" placeholder:"TEXT" help:"reason for the edit, recorded in the history; required, at most 200 bytes"`
	Who    string        `arg:"--who" placeholder:"NAME" help:"author of the edit, recorded in the history; default: the user who runs the command"`
	Wait   bool          `arg:"--wait" help:"wait until every daemon in the platform's list has the edit in force"`
	Within time.Duration `arg:"--within" default:"30s" help:"how long to wait"`
	JSON   bool          `arg:"--json" help:"print the result as JSON"`
	platformFlag
}

func newApply() verb { return &applyVerb{} }

// applyResult is the result as JSON.
type applyResult struct {
	Revision  almondstep.Revision   `json:"revision"`
	Hash      almondstep.Hash       `json:"hash"`
	WriteID   string                `json:"writeId,omitempty"`
	Entries   []string              `json:"entries"`
	Unchanged bool                  `json:"unchanged"`
	Rebased   bool                  `json:"rebased"`
	InForce   []almondstep.DaemonID `json:"inForce,omitempty"`
	NotHeard  []almondstep.DaemonID `json:"notHeard,omitempty"`
}

func (v *applyVerb) run(ctx context.Context, env *Env) error {
	text, err := readConfig(env, v.File)
	if err != nil {
		return err
	}
	if _, err := parser.ParseFile(v.File, text); err != nil {
		return err
	}
	return v.edit(ctx, env, func(a *applier.Applier) (*applier.Result, error) {
		return a.Apply(ctx, applier.Edit{
			Text:           text,
			Base:           v.Base,
			Reason:         v.Reason,
			Rebase:         v.Rebase,
			AboveRevision:  v.Above,
			ReplaceCorrupt: v.Damaged,
		})
	})
}

// edit submits an edit, prints the result, and with --wait waits for the daemons.
func (f *editFlags) edit(ctx context.Context, env *Env, with func(*applier.Applier) (*applier.Result, error)) error {
	if f.Reason == "" {
		return usageError("--reason is required")
	}
	if len(f.Reason) > maxReasonBytes || len(f.Who) > maxReasonBytes {
		return usageError("--reason and --who have at most %d bytes", maxReasonBytes)
	}
	c := f.client()
	defer c.Close()
	who := f.Who
	if who == "" {
		who = env.User
	}
	result, err := with(&applier.Applier{
		Platform: c,
		Check:    func(text []byte) error { _, err := parser.Parse(text); return err },
		Who:      who,
		Now:      time.Now,
		NewID:    rand.Text,
	})
	if err != nil {
		return f.explainError(env, err)
	}
	out := applyResult{
		Revision: result.Revision, Hash: result.Hash, WriteID: result.WriteID, Entries: result.Entries,
		Unchanged: result.Unchanged, Rebased: result.Rebased,
	}
	if !f.JSON {
		writeAccepted(env, result)
	}
	if f.Wait {
		w := &waiter{platform: c, revision: result.Revision, within: f.Within}
		if !f.JSON {
			w.progress = env.Stdout
		}
		err = w.run(ctx)
		out.InForce, out.NotHeard = w.inForce, w.unanswered
	}
	if f.JSON {
		return errors.CombineErrors(err, writeJSON(env.Stdout, out))
	}
	return err
}

// explainError adds to a conflict or an unavailable platform that nothing was
// changed, and prints the edits that a conflict is with. It returns other errors as
// they are.
func (f *editFlags) explainError(env *Env, err error) error {
	var conflict *applier.ConflictError
	if errors.As(err, &conflict) {
		printf(env.Stderr, "accepted since, newest first:\n")
		_ = writeEdits(&Env{Stdout: env.Stderr}, conflict.Edits)
		return errors.WithMessage(err, "nothing was changed")
	}
	if errors.Is(err, almondstep.ErrUnavailable) {
		return errors.Wrapf(err, "nothing was changed; the platform at %s", f.Platform)
	}
	return err
}

func writeAccepted(env *Env, r *applier.Result) {
	if r.Unchanged {
		printf(env.Stdout, "revision %d has this text already; nothing was changed\n", r.Revision)
		return
	}
	printf(env.Stdout, "accepted as revision %d, hash %s\n", r.Revision, r.Hash)
	if r.Rebased {
		printf(env.Stdout, "carried over other edits that came first\n")
	}
	for _, entry := range r.Entries {
		printf(env.Stdout, "  %s\n", entry)
	}
	if len(r.Later) > 0 {
		printf(env.Stdout, "%d later edits were accepted since\n", len(r.Later))
	}
}
