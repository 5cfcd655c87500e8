// Command snipetack serves online and batch inference from one fleet.
package main

import (
	"os"

	"snipetack/internal/command/cli"
)

func main() {
	os.Exit(cli.Run(os.Args[1:], os.Stdout, os.Stderr))
}
