package origin_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"snipetack/internal/coordination/origin"
)

// entryModel is an entry VM whose messages reach holders that may start anew.
type entryModel struct {
	now         time.Time
	c           *origin.Copies
	batch       []string
	connections map[string]uint64 // 0 is none
	running     []origin.Begun
	tables      map[string]*origin.Table
	messages    int
	sent        int // streams in all messages
}

func newEntryModel(batch int) *entryModel {
	m := &entryModel{now: time.Unix(1000, 0), c: origin.NewCopies(), connections: map[string]uint64{}, tables: map[string]*origin.Table{}}
	for i := range batch {
		m.add(fmt.Sprint("b-", i))
	}
	return m
}

func (m *entryModel) add(holder string) {
	m.batch = append(m.batch, holder)
	m.connections[holder] = uint64(len(m.connections) + 1)
	m.tables[holder] = origin.NewTable()
}

// check sends what is due, as an entry VM does.
func (m *entryModel) check() {
	l := m.c.Due(m.now, m.batch, func(h string) uint64 { return m.connections[h] }, m.running, func() []origin.Begun { return m.running })
	for _, x := range l {
		m.messages++
		m.sent += len(x.Streams)
		if m.connections[x.Holder] != 0 {
			for _, b := range x.Streams {
				m.tables[x.Holder].Add(m.now, b.Key, b.Origin)
			}
		}
		m.c.Sent(m.now, x.Holder, m.connections[x.Holder], x.Whole)
	}
}

func (m *entryModel) pass(d time.Duration) {
	for end := m.now.Add(d); m.now.Before(end); m.now = m.now.Add(500 * time.Millisecond) {
		m.check()
	}
}

// known returns how many of the running streams all their holders know.
func (m *entryModel) known() int {
	n := 0
	for _, b := range m.running {
		all := true
		for _, h := range origin.Holders(b.Key, m.batch) {
			_, ok := m.tables[h].Find(m.now, b.Key)
			all = all && ok
		}
		if all {
			n++
		}
	}
	return n
}

// TestHoldersKnowRunningStreams lets holders start anew, be out of reach, leave and come, while 200 streams run for ten minutes.
func TestHoldersKnowRunningStreams(t *testing.T) {
	const streams = 200
	table := []struct {
		name string
		step func(m *entryModel)
	}{
		{"a holder starts anew", func(m *entryModel) { m.connections["b-1"], m.tables["b-1"] = 100, origin.NewTable() }},
		{"all holders start anew", func(m *entryModel) {
			for i, h := range m.batch {
				m.connections[h], m.tables[h] = uint64(100+i), origin.NewTable()
			}
		}},
		{"a holder starts anew after some time", func(m *entryModel) {
			m.connections["b-1"] = 0
			m.pass(5 * time.Second)
			m.connections["b-1"], m.tables["b-1"] = 100, origin.NewTable()
		}},
		{"a batch VM is added", func(m *entryModel) { m.add("b-new") }},
		{"a batch VM leaves", func(m *entryModel) { m.batch = m.batch[1:] }},
		{"a batch VM takes the place of another", func(m *entryModel) {
			m.batch = m.batch[1:]
			m.add("b-new")
		}},
		{"a message was dropped", func(m *entryModel) {
			for h := range m.tables {
				m.tables[h] = origin.NewTable()
			}
			m.c.Dropped()
		}},
		{"none", func(*entryModel) {}},
	}
	for _, c := range table {
		t.Run(c.name, func(t *testing.T) {
			m := newEntryModel(6)
			for i := range streams {
				m.running = append(m.running, origin.Begun{Key: origin.KeyOf("a", fmt.Sprint(i)), Origin: origin.Origin{Service: "s", Version: "v1"}})
			}
			m.pass(2 * time.Second)
			require.Equal(t, streams, m.known())
			c.step(m)
			m.pass(time.Second)
			require.Equal(t, streams, m.known(), "a second later")
			for range 20 {
				m.pass(30 * time.Second)
				require.Equal(t, streams, m.known(), "all the time")
			}
		})
	}
}

// TestCopiesAreFew counts what an entry VM of the largest fleet sends while ten streams run: each of them to its holders once in
// RefreshInterval, and a message to each silent holder.
func TestCopiesAreFew(t *testing.T) {
	const streams = 10
	m := newEntryModel(45)
	for i := range streams {
		m.running = append(m.running, origin.Begun{Key: origin.KeyOf("a", fmt.Sprint(i)), Origin: origin.Origin{Service: "s", Version: "v1"}})
	}
	m.pass(origin.RefreshInterval)
	m.messages, m.sent = 0, 0
	m.pass(time.Minute)
	require.LessOrEqual(t, m.sent, 3*streams*int(time.Minute/origin.RefreshInterval))
	require.LessOrEqual(t, m.messages, 3*streams*30, "one in 2 s for each holder")
	m.running = nil
	m.messages = 0
	m.pass(time.Minute)
	require.Zero(t, m.messages, "no stream runs")
}
