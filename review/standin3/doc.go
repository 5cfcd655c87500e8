// Command standin3 plays the cases of the third review: it serves as platform, upstreams, operator and clients of a fleet whose processes the
// case's run.sh has started, and checks what these have seen.
package main
