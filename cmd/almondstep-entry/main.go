// Command almondstep-entry is the entry daemon for the deployment platform, whose
// protocols package platform adapts. Every entry VM runs one.
package main

import (
	"os"

	"almondstep/platform"
)

func main() {
	os.Exit(platform.Main(os.Args[1:], os.Stdout, os.Stderr))
}
