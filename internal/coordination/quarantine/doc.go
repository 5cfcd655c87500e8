// Package quarantine finds prompts that crash upstreams ("queries of death") and keeps them from further upstreams.
//
// The Tracker of each VM notes which requests were at an upstream when it crashed and had no response that went on. The
// Detector of the leading control VM finds the segments that these requests have in common over several crashes. What it
// decides is replicated with the configuration and reaches the List of each VM, which every way to an upstream consults.
//
// A segment is suspected only by requests whose response had just begun, if a crash has any. Two facts clear it: responses to
// other prompts with the segment went on since, or it is common among sound prompts.
package quarantine
