// Command almondstep-entry is the daemon on the platform: every entry VM runs one.
package main

import (
	"os"

	"almondstep/platform"
)

func main() {
	os.Exit(platform.Main(os.Args[1:], os.Stdout, os.Stderr))
}
