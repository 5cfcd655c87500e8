// Package access issues the keys of client accounts, authenticates requests by them, and decides which routes an account
// may use.
package access
