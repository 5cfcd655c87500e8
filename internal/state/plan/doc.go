// Package plan holds whole configurations that an operator numbers, and the replicated state of the control VMs.
package plan
