// Package node runs one VM of a fleet whose VMs discover each other through seed addresses.
//
// Each VM has one class. Control VMs replicate the configuration and the fleet's membership, batch VMs replicate and run
// batch jobs, entry VMs serve callers. Every VM reports to the leading control VM and adopts what it returns: the
// configuration, the directory of VMs and the list of upstreams.
package node
