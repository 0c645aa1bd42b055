// Command almondstep is the command line of operators and callers.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"almondstep/commander"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := commander.Main(ctx, os.Args[1:], &commander.Env{
		Stdin:  os.Stdin,
		Stdout: os.Stdout,
		Stderr: os.Stderr,
		User:   os.Getenv("USER"),
	})
	stop()
	os.Exit(code)
}
