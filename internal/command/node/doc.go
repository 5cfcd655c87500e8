// Package node runs one VM of a fleet whose VMs find each other from seeds.
package node
