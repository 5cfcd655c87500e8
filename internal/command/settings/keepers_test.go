package settings_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"snipetack/internal/command/settings"
)

// TestKeepersShareTheirFollowers counts which keeper each of 370 VMs in 7 data centres prefers, with all keepers and without
// each one of them. Each keeper stays below 1.3 times its even share.
func TestKeepersShareTheirFollowers(t *testing.T) {
	for _, keepers := range []int{3, 7} {
		s := fleetOf(370, 7, keepers)
		for lost := -1; lost < keepers; lost++ {
			count := map[string]int{}
			for _, v := range s.VMs {
				l := s.KeepersFor(v)
				require.Len(t, l, keepers)
				if l[0] == fmt.Sprint("vm-", lost) {
					l = l[1:]
				}
				count[l[0]]++
			}
			alive := keepers
			if lost >= 0 {
				alive--
			}
			require.Len(t, count, alive)
			for k, n := range count {
				require.Less(t, float64(n), 1.3*370/float64(alive), "%d keepers, without vm-%d, at %s", keepers, lost, k)
			}
		}
	}
}

func TestKeepersOfTheDataCentreComeFirst(t *testing.T) {
	s := fleetOf(21, 7, 9)
	for _, v := range s.VMs {
		l := s.KeepersFor(v)
		require.ElementsMatch(t, s.Keepers(""), l)
		first, ok := s.VM(l[0])
		require.True(t, ok)
		require.Equal(t, v.DataCentre, first.DataCentre)
	}
}

func fleetOf(vms, dataCentres, keepers int) settings.Settings {
	var s settings.Settings
	for i := range vms {
		v := settings.VM{Name: fmt.Sprint("vm-", i), DataCentre: fmt.Sprint("dc-", i%dataCentres)}
		if i < keepers {
			v.DataFolder = "data"
		}
		s.VMs = append(s.VMs, v)
	}
	return s
}
