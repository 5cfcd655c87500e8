// Package cli implements the snipetack command line. Each command and its subcommands have a file; entries.go,
// operator_entries.go and keeper.go list them with their help texts.
package cli
