package settings

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Policies for batch items on engines that also serve online requests.
const (
	OnlineFirst = "online"     // batch runs only as many items as keep the gaps between online tokens near their target
	Throughput  = "throughput" // batch uses every idle slot; each online request preempts it
)

// Settings describe a fleet. Every VM reads the same file; its own name is passed to it separately.
type Settings struct {
	Fleet             string
	Log               Log
	CertificateFolder string
	OperatorTokenFile string
	BatchPolicy       string // OnlineFirst or Throughput
	WeightStore       WeightStore
	VMs               []VM
}

// WeightStore limits what all upstreams of the fleet together pull from the weight store.
type WeightStore struct {
	Rate  float64 // bytes a second
	Burst float64 // bytes; a model larger than this is never loaded
}

// Log is the format and the minimum level of log lines.
type Log struct {
	Format string // text or json
	Level  string // debug, info, warn or error
}

// VM is one VM of the fleet; addresses are ip:port.
type VM struct {
	Name       string
	DataCentre string
	Mesh       string // for other VMs, UDP
	Callers    string // for callers, TCP
	Operators  string // for operators and metrics, TCP
	DataFolder string // set on keepers only
	MemoryMB   int    // memory of the VM in MiB; 0 if the settings omit it
	MaxFiles   int    // descriptors of the process; 0 if the settings omit it
}

// Keeper reports whether the VM is a keeper, which holds a replica of the groups' logs.
func (v VM) Keeper() bool {
	return v.DataFolder != ""
}

// VM returns the VM with a name. An empty name selects the VM of a fleet that has only one.
func (s Settings) VM(name string) (VM, bool) {
	if name == "" && len(s.VMs) == 1 {
		return s.VMs[0], true
	}
	for _, v := range s.VMs {
		if v.Name == name {
			return v, true
		}
	}
	return VM{}, false
}

// MeshAddress returns the mesh address of a VM.
func (s Settings) MeshAddress(vm string) (string, bool) {
	v, ok := s.VM(vm)
	return v.Mesh, ok
}

// KeepersFor returns the names of all keepers in the order in which a VM tries them: those of its data centre first. Within
// each part the order depends on the VM's name, so that VMs spread over the keepers, and those of a lost keeper spread over
// the others.
func (s Settings) KeepersFor(v VM) []string {
	l := s.Keepers(v.DataCentre)
	near := 0
	for near < len(l) && s.inDataCentre(l[near], v.DataCentre) {
		near++
	}
	shuffle(l[:near], v.Name)
	shuffle(l[near:], v.Name)
	return l
}

func (s Settings) inDataCentre(vm, dataCentre string) bool {
	v, ok := s.VM(vm)
	return ok && v.DataCentre == dataCentre
}

// shuffle sorts names by the hash of the VM's name and each of them, so that a VM always gets the same order.
func shuffle(l []string, vm string) {
	slices.SortFunc(l, func(a, b string) int {
		return cmp.Compare(xxhash.Sum64String(vm+" "+a), xxhash.Sum64String(vm+" "+b))
	})
}

// Keepers returns the names of the keepers, those in the given data centre first.
func (s Settings) Keepers(dataCentre string) []string {
	var near, far []string
	for _, v := range s.VMs {
		switch {
		case !v.Keeper():
		case v.DataCentre == dataCentre:
			near = append(near, v.Name)
		default:
			far = append(far, v.Name)
		}
	}
	return append(near, far...)
}
