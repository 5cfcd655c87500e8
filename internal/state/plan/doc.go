// Package plan holds configurations that an operator replaces as a whole, each with a higher version number, and the
// replicated state of the control VMs.
package plan
