// Package restart tells which upstreams may have started again under their ids since the list of upstreams was read. Until a newer list shows such an
// upstream, its software version is not known.
package restart
