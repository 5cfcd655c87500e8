// Package filler fills the slots that online requests leave free with batch items: Plan decides in each scheduling pass
// which items start at which upstream and which running items are preempted.
package filler
