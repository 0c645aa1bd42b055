package commander

import (
	"context"
	"text/tabwriter"

	"almondstep"
	"almondstep/requester"
	"almondstep/server"
)

const statusName = "status"

// statusVerb prints the status of every daemon, as received by one daemon.
type statusVerb struct {
	Daemon string `arg:"--daemon" default:"127.0.0.1:7102" help:"a daemon's address for operators"`
	JSON   bool   `arg:"--json" help:"print the status as JSON"`
}

func newStatus() verb { return &statusVerb{} }

func (v *statusVerb) run(ctx context.Context, env *Env) error {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	c := &requester.Client{Base: "http://" + v.Daemon}
	defer c.Close()
	status, err := c.Fleet(ctx)
	if err != nil {
		return err
	}
	if v.JSON {
		return writeJSON(env.Stdout, status)
	}
	return writeStatus(env, status)
}

func writeStatus(env *Env, status *server.FleetStatus) error {
	w := tabwriter.NewWriter(env.Stdout, 0, 0, columnGap, ' ', 0)
	printf(w, "daemon\tzone\trevision\towned\tgranted\tcold\tleaving\tquarantined\topen\tready\n")
	for _, d := range status.Daemons {
		printf(w, "%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%s\n", d.Daemon, d.Zone, d.Revision,
			d.Owned, d.Granted, d.Cold, d.Leaving, d.Quarantined, d.Open, readiness(d))
	}
	if err := w.Flush(); err != nil {
		return err
	}
	for _, id := range status.Silent {
		printf(env.Stdout, "not heard from: %s\n", id)
	}
	return nil
}

func readiness(d almondstep.DaemonStatus) string {
	if d.Unready == "" {
		return "ready"
	}
	return d.Unready
}
