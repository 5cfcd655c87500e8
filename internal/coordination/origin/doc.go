// Package origin knows at which version of its service's software a stream began, so that a caller can take it up at any entry VM.
//
// What two versions write doesn't fit together in one stream. An entry VM therefore sends the origin of each stream to some batch VMs, its
// holders, which outlive it, and again to those that may have lost it; the VM at which the stream is taken up asks them. Where nobody knows the
// origin, the History of the lists of upstreams may show that only one version has served.
package origin
