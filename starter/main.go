package starter

import (
	"context"
	"fmt"
	"io"
	"os/signal"
	"syscall"

	"github.com/alexflint/go-arg"
	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"

	"almondstep/loader"
)

// Exit codes of the daemon.
const (
	// ExitOK means a graceful shutdown, or that the help or the default settings were
	// written.
	ExitOK = 0
	// ExitFailed means that the daemon failed to start or failed while running.
	ExitFailed = 1
	// ExitUsage means wrong flags, or a settings file that can't be read or is invalid.
	ExitUsage = 2
)

// flags are the daemon's flags.
type flags struct {
	Settings      string `arg:"--settings" placeholder:"FILE" help:"settings, JSON with comments"`
	PrintSettings bool   `arg:"--print-settings" help:"write a commented file of the default settings"`
}

// Description returns the first line of the help text.
func (flags) Description() string {
	return "almondstepd answers callers' searches across many shards."
}

// Main runs the daemon program and returns its exit code.
func Main(args []string, stdout, stderr io.Writer) int {
	var f flags
	p, err := arg.NewParser(arg.Config{Program: "almondstepd", Out: stderr}, &f)
	if err != nil {
		_, _ = fmt.Fprintln(stderr, err)
		return ExitFailed
	}
	switch err := p.Parse(args); {
	case errors.Is(err, arg.ErrHelp):
		p.WriteHelp(stdout)
		return ExitOK
	case err != nil:
		return usage(p, stderr, err.Error())
	case f.PrintSettings:
		return printSettings(stdout, stderr)
	case f.Settings == "":
		return usage(p, stderr, "--settings is required")
	}
	return runFile(f.Settings, stderr)
}

func usage(p *arg.Parser, stderr io.Writer, problem string) int {
	p.WriteUsage(stderr)
	_, _ = fmt.Fprintf(stderr, "almondstepd: %s\n", problem)
	return ExitUsage
}

func printSettings(stdout, stderr io.Writer) int {
	if err := loader.Print(stdout); err != nil {
		_, _ = fmt.Fprintln(stderr, err)
		return ExitFailed
	}
	return ExitOK
}

// runFile runs a daemon until SIGTERM or SIGINT; a second one ends it at once.
func runFile(file string, stderr io.Writer) int {
	settings, err := loader.Load(file)
	if err != nil {
		_, _ = fmt.Fprintln(stderr, err)
		return ExitUsage
	}
	logger := hclog.New(&hclog.LoggerOptions{
		Name:       "almondstepd",
		Level:      hclog.LevelFromString(settings.LogLevel),
		JSONFormat: settings.LogJSON,
		Output:     stderr,
	})
	RedirectLogs(logger)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	context.AfterFunc(ctx, stop)
	d := &Daemon{Settings: settings, Logger: logger}
	if err := d.Init(); err != nil {
		logger.Error("daemon failed to start", "err", err)
		return ExitFailed
	}
	logger.Info("daemon starts", "vm", settings.VM, "zone", settings.Zone,
		"callers", d.CallersAddress(), "operators", d.OperatorsAddress(), "peers", d.PeersAddress())
	if err := d.Run(ctx); err != nil {
		logger.Error("daemon failed", "err", err)
		return ExitFailed
	}
	return ExitOK
}
