package commander

import (
	"context"

	"almondstep"
	"almondstep/applier"
)

const rollbackName = "rollback"

// rollbackVerb applies an earlier configuration again.
type rollbackVerb struct {
	Revision almondstep.Revision `arg:"positional,required" help:"the earlier revision, as show --history lists it"`
	editFlags
}

func newRollback() verb { return &rollbackVerb{} }

func (v *rollbackVerb) run(ctx context.Context, env *Env) error {
	return v.edit(ctx, env, func(a *applier.Applier) (*applier.Result, error) {
		return a.Rollback(ctx, v.Revision, v.Reason)
	})
}
