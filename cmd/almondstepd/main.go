// Command almondstepd is the entry daemon with the product's own protocols. Every entry
// VM runs one; on the deployment platform that is almondstep-entry instead.
package main

import (
	"os"

	"almondstep/starter"
)

func main() {
	os.Exit(starter.Main(os.Args[1:], os.Stdout, os.Stderr))
}
