package commander

import (
	"context"
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/alexflint/go-arg"
	"github.com/cockroachdb/errors"
	"github.com/zeromicro/go-zero/core/logx"
)

// program is the name that help and usage show.
const program = "almondstep"

// Env is the environment that a verb runs in.
type Env struct {
	Stdin  io.Reader
	Stdout io.Writer
	Stderr io.Writer
	// User is the user who runs the command, recorded in the history of edits.
	User string
}

// verb is one verb with its parsed arguments.
type verb interface {
	run(ctx context.Context, env *Env) error
}

// Main runs one verb and returns the process's exit code.
func Main(ctx context.Context, args []string, env *Env) int {
	// go-zero's log of a failed call would repeat, less clearly, the error that the
	// verb prints.
	logx.Disable()
	if len(args) == 0 {
		writeHelp(env.Stderr)
		return codeUsage
	}
	switch args[0] {
	case "-h", "--help", "help":
		writeHelp(env.Stdout)
		return codeDone
	}
	for _, entry := range verbs() {
		if entry.name == args[0] {
			return runVerb(ctx, entry, args[1:], env)
		}
	}
	printf(env.Stderr, "%s: unknown verb %q\n\n", program, args[0])
	writeHelp(env.Stderr)
	return codeUsage
}

func runVerb(ctx context.Context, entry tableEntry, args []string, env *Env) int {
	v := entry.construct()
	config := arg.Config{Program: program + " " + entry.name, IgnoreEnv: true, Out: env.Stderr, Exit: func(int) {}}
	parser, err := arg.NewParser(config, v)
	if err != nil {
		printf(env.Stderr, "%s %s: %v\n", program, entry.name, err)
		return codeFailed
	}
	err = parser.Parse(args)
	if errors.Is(err, arg.ErrHelp) {
		printf(env.Stdout, "%s\n\n", entry.help)
		parser.WriteHelp(env.Stdout)
		return codeDone
	}
	if err != nil {
		printf(env.Stderr, "%s %s: %v\n", program, entry.name, err)
		parser.WriteUsage(env.Stderr)
		return codeUsage
	}
	err = v.run(ctx, env)
	if err != nil && !errors.Is(err, errReported) {
		printf(env.Stderr, "%s %s: %v\n", program, entry.name, err)
	}
	if errors.Is(err, errUsage) {
		parser.WriteUsage(env.Stderr)
	}
	return codeOf(err)
}

// writeHelp prints the table of verbs and the table of exit codes.
func writeHelp(w io.Writer) {
	printf(w, "Usage: %s VERB [ARGUMENTS]\n\nVerbs (%s VERB --help has more):\n", program, program)
	table := tabwriter.NewWriter(w, 0, 0, columnGap, ' ', 0)
	for _, entry := range verbs() {
		printf(table, "  %s\t%s\n", entry.name, entry.help)
	}
	_ = table.Flush()
	printf(w, "\nExit codes:\n")
	for _, c := range exitCodes() {
		printf(table, "  %d\t%s\n", c.code, c.help)
	}
	_ = table.Flush()
}

// columnGap is the number of blanks between two columns of a table.
const columnGap = 2

// printf prints to a terminal or a pipe. Its error is dropped because there is no
// other place to report it.
func printf(w io.Writer, format string, args ...any) {
	_, _ = fmt.Fprintf(w, format, args...)
}
