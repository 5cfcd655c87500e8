// Package relay carries a caller's request to an upstream and the answer back, whatever the wire names are.
//
// It tries again only what may be repeated, and says that a request has not run only where that is certain.
package relay
