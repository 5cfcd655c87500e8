package origin

import (
	"cmp"
	"slices"
	"strings"
	"sync"
	"time"

	"snipetack/internal/coordination/roster"
)

// maxListAge is how old the list of upstreams may be at most; beyond that, versions may have come and gone unseen.
const maxListAge = 5 * time.Second

// History knows which versions of each service the lists of upstreams have named within Memory; it is safe for concurrent use.
type History struct {
	mu       sync.Mutex
	since    time.Time // from which on it has seen all lists; zero before the first one
	readAt   time.Time // when the newest list was read
	versions map[string]map[string]time.Time
}

// NewHistory returns a History without lists.
func NewHistory() *History {
	return &History{versions: map[string]map[string]time.Time{}}
}

// Observe records the list that is in force and when it was read.
func (h *History) Observe(l []roster.Upstream, read time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.since.IsZero() || read.Sub(h.readAt) > maxListAge {
		h.since = read
	}
	if read.After(h.readAt) {
		h.readAt = read
	}
	for _, u := range l {
		if h.versions[u.Service] == nil {
			h.versions[u.Service] = map[string]time.Time{}
		}
		h.versions[u.Service][u.Version] = h.readAt
	}
	for s, m := range h.versions {
		for v, at := range m {
			if h.readAt.Sub(at) > Memory {
				delete(m, v)
			}
		}
		if len(m) == 0 {
			delete(h.versions, s)
		}
	}
}

// Sole returns the only version of a service that was listed within Memory. It is false when there was another one, and when this VM
// can't know that there was none.
func (h *History) Sole(now time.Time, service string) (string, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.since.IsZero() || now.Sub(h.since) < Memory || now.Sub(h.readAt) > maxListAge || len(h.versions[service]) != 1 {
		return "", false
	}
	for v := range h.versions[service] {
		return v, true
	}
	return "", false
}

// Unversioned reports whether the lists name a service and none of its versions.
func (h *History) Unversioned(service string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	m := h.versions[service]
	_, ok := m[""]
	return ok && len(m) == 1
}

// Several reports whether the lists named several versions of a service within Memory.
func (h *History) Several(service string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.versions[service]) > 1
}

// Versions returns the versions of each service that were listed within Memory, sorted by service and version.
func (h *History) Versions() []Origin {
	h.mu.Lock()
	defer h.mu.Unlock()
	var l []Origin
	for s, m := range h.versions {
		for v := range m {
			l = append(l, Origin{Service: s, Version: v})
		}
	}
	slices.SortFunc(l, func(a, b Origin) int {
		return cmp.Or(strings.Compare(a.Service, b.Service), strings.Compare(a.Version, b.Version))
	})
	return l
}

// Restore lets a VM that has just started go on from the Versions of its former process. It counts as having seen all lists in between: no
// stream began meanwhile if the entry VMs were down, too, and otherwise other VMs know better.
func (h *History) Restore(l []Origin, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(l) == 0 || !h.since.IsZero() {
		return
	}
	h.since, h.readAt = now.Add(-Memory), now
	for _, o := range l {
		if h.versions[o.Service] == nil {
			h.versions[o.Service] = map[string]time.Time{}
		}
		h.versions[o.Service][o.Version] = now
	}
}

// HasOther reports whether a version of a service other than the given one was listed within Memory.
func (h *History) HasOther(service, version string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	for v := range h.versions[service] {
		if v != version {
			return true
		}
	}
	return false
}
