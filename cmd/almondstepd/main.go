// Command almondstepd is the daemon: every entry VM runs one.
package main

import (
	"os"

	"almondstep/starter"
)

func main() {
	os.Exit(starter.Main(os.Args[1:], os.Stdout, os.Stderr))
}
