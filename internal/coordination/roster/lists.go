package roster

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// keptLists is how many earlier lists of upstreams are kept. A VM that has none of them gets the whole list.
const keptLists = 8

// Lists holds the newest list of upstreams and some earlier ones, so that a VM gets only what has changed since the one that it has: in a large
// fleet some upstream changes each second, and every VM has to know. The zero value has no list; it is not safe for concurrent use.
type Lists struct {
	newest  listVersion
	earlier []listVersion // oldest first
	changes map[uint64]listChange
}

// listVersion is a list, sorted by id, with its tag.
type listVersion struct {
	tag  uint64
	list []Upstream
}

// listChange is what makes the newest list of an earlier one.
type listChange struct {
	upstreams []Upstream // new and changed ones
	removed   []string   // ids
}

// Set replaces the newest list, which is sorted by id and must not be modified afterwards; tag is its ListTag.
func (l *Lists) Set(list []Upstream, tag uint64) {
	if tag == l.newest.tag {
		return
	}
	if l.newest.tag != 0 {
		l.earlier = append(l.earlier, l.newest)
		l.earlier = l.earlier[max(0, len(l.earlier)-keptLists):]
	}
	l.newest = listVersion{tag: tag, list: list}
	l.changes = map[uint64]listChange{}
}

// Newest returns the newest list, sorted by id, and its tag.
func (l *Lists) Newest() ([]Upstream, uint64) { return l.newest.list, l.newest.tag }

// AddTo adds what the reporting VM lacks to a bulletin.
func (l *Lists) AddTo(b *Bulletin, p Report) {
	b.ListTag, b.Upstreams = l.newest.tag, nil
	if p.ListTag == l.newest.tag {
		return
	}
	if c, ok := l.since(p.ListTag); ok && p.PatchesLists {
		b.ListBase, b.Upstreams, b.Removed = p.ListTag, c.upstreams, c.removed
		return
	}
	b.Upstreams = l.newest.list
}

// since returns what has changed since an earlier list, or false when that is not kept.
func (l *Lists) since(tag uint64) (listChange, bool) {
	if c, ok := l.changes[tag]; ok {
		return c, true
	}
	i := slices.IndexFunc(l.earlier, func(v listVersion) bool { return v.tag == tag })
	if i < 0 || tag == 0 {
		return listChange{}, false
	}
	earlier := l.earlier[i].list
	old := byID(earlier)
	if len(old) < len(earlier) || len(byID(l.newest.list)) < len(l.newest.list) {
		return listChange{}, false // an id that stands twice can't be changed by id
	}
	var c listChange
	for _, u := range l.newest.list {
		if x, ok := old[u.ID]; !ok || x != u {
			c.upstreams = append(c.upstreams, u)
		}
		delete(old, u.ID)
	}
	for id := range old {
		c.removed = append(c.removed, id)
	}
	l.changes[tag] = c
	return c, true
}

// List returns the bulletin's list of upstreams for a VM that has the list l with a tag. It is false when the bulletin has only changes of
// another list, or changes that do not lead to the list it names.
func (b *Bulletin) List(tag uint64, l []Upstream) ([]Upstream, bool) {
	if b.ListBase == 0 {
		return b.Upstreams, true
	}
	if b.ListBase != tag {
		return nil, false
	}
	m := byID(l)
	for _, id := range b.Removed {
		delete(m, id)
	}
	for _, u := range b.Upstreams {
		m[u.ID] = u
	}
	patched := make([]Upstream, 0, len(m))
	for _, u := range m {
		patched = append(patched, u)
	}
	patched = Sorted(patched)
	return patched, ListTag(patched) == b.ListTag
}

// Sorted returns a list of upstreams sorted by id, so that equal lists have equal tags.
func Sorted(l []Upstream) []Upstream {
	l = slices.Clone(l)
	slices.SortStableFunc(l, func(a, b Upstream) int { return strings.Compare(a.ID, b.ID) })
	return l
}

func byID(l []Upstream) map[string]Upstream {
	m := make(map[string]Upstream, len(l))
	for _, u := range l {
		m[u.ID] = u
	}
	return m
}

// ListTag returns a hash of a list of upstreams, which identifies its content.
func ListTag(l []Upstream) uint64 {
	b := EncodeBulletin(Bulletin{Upstreams: l})
	return xxhash.Sum64(b)
}
