// Package identity issues and loads the certificates by which the VMs of a fleet authenticate each other.
//
// A VM's name is both the common name of its certificate, which PeerVM reads, and its only DNS name, which the dialling
// side verifies.
package identity
