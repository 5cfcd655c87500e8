// Package rawupstream serves tests an upstream on a real socket that writes its responses byte by byte, so that they may be
// wrong in any way.
package rawupstream
