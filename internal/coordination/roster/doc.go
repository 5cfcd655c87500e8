// Package roster is what the leading control VM knows of the fleet and tells each VM that reports to it.
package roster
