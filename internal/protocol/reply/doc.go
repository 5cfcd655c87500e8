// Package reply writes responses and failures to HTTP callers.
package reply
