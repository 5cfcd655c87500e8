package roster

import (
	"slices"

	"snipetack/internal/state/result"
)

// CheckLeave returns why a batch VM can't be emptied: it is unknown, or fewer than fewest would be left.
func CheckLeave(l []VM, leaving []string, name string, fewest int) error {
	known, left := false, 0
	for _, v := range l {
		if v.Class != Batch || slices.Contains(leaving, v.Name) {
			continue
		}
		if v.Name == name {
			known = true
		} else {
			left++
		}
	}
	if !known {
		return result.New(result.VMUnknown, "the fleet has no batch VM %q", name)
	}
	if left < fewest {
		return result.New(result.TooFewVMs, "%d batch VMs would be left", left)
	}
	return nil
}
