package roster

import (
	"slices"

	"snipetack/internal/state/result"
)

// CheckLeave returns an error when a batch VM must not be drained: the VM is unknown or already leaving, or fewer than
// minLeft batch VMs would remain. The VMs named in leaving are not counted as remaining.
func CheckLeave(l []VM, leaving []string, name string, minLeft int) error {
	known, remaining := false, 0
	for _, v := range l {
		if v.Class != Batch || slices.Contains(leaving, v.Name) {
			continue
		}
		if v.Name == name {
			known = true
		} else {
			remaining++
		}
	}
	if !known {
		return result.New(result.VMUnknown, "the fleet has no batch VM %q", name)
	}
	if remaining < minLeft {
		return result.New(result.TooFewVMs, "%d batch VMs would be left", remaining)
	}
	return nil
}
