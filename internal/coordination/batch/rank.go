package batch

import "github.com/cespare/xxhash/v2"

// Rank returns how many VMs are preferred to vm as holder of an upstream's batch lease, by rendezvous hashing.
func Rank(vms []string, vm, upstream string) int {
	own := score(vm, upstream)
	n := 0
	for _, v := range vms {
		s := score(v, upstream)
		if s > own || s == own && v < vm {
			n++
		}
	}
	return n
}

func score(vm, upstream string) uint64 {
	return xxhash.Sum64String(vm + "\x00" + upstream)
}
