package origin

import (
	"maps"
	"slices"
	"time"
)

// Timing of Copies.
const (
	RefreshInterval = Memory / 3      // after which the origin of a stream that still runs is sent again, so that its holders don't forget it
	silenceLimit    = 2 * time.Second // without a message to a holder of a running stream, after which one shows whether the connection still works
)

// Copies decides what an entry VM sends to which holders, so that they know the origins of its streams although they start anew, are out of
// reach for some time, or take the place of others. It is not safe for concurrent use.
//
// A holder that starts anew has lost what it was sent, and so may a connection that has ended. Both show by the number of the connection to the
// holder, which is 0 while there is none: when it changes, all streams that the entry VM knows are sent again.
type Copies struct {
	sent        map[string]copied // by holder
	batch       []string          // batch VMs at the last Due
	refreshedAt time.Time
}

// copied is what was sent to one holder.
type copied struct {
	connection uint64 // over which it has got everything; 0 if it may lack something
	at         time.Time
}

// Copy is a message to a holder.
type Copy struct {
	Holder  string
	Streams []Begun // may be empty
	Whole   bool    // Streams is all that the holder has to know
}

// NewCopies returns Copies that have sent nothing.
func NewCopies() *Copies { return &Copies{sent: map[string]copied{}} }

// Due returns the messages that are due. batch is the addresses of the batch VMs, connection the number of the current connection to one of
// them, known returns the streams whose origins are to be known, and running those of them that still run.
func (c *Copies) Due(now time.Time, batch []string, connection func(holder string) uint64, running []Begun, known func() []Begun) []Copy {
	former := c.batch
	c.batch = slices.Sorted(slices.Values(batch))
	maps.DeleteFunc(c.sent, func(h string, _ copied) bool { return !slices.Contains(batch, h) })
	d := due{byHolder: map[string]*Copy{}, lacking: map[string]bool{}}
	for _, h := range batch {
		d.lacking[h] = !c.complete(h, connection(h))
	}
	changed := !slices.Equal(former, c.batch)
	if changed || slices.ContainsFunc(batch, func(h string) bool { return d.lacking[h] }) {
		for _, b := range known() {
			before := Holders(b.Key, former)
			for _, h := range Holders(b.Key, batch) {
				if d.lacking[h] || !slices.Contains(before, h) {
					d.add(h, b)
				}
			}
		}
	}
	refresh := now.Sub(c.refreshedAt) >= RefreshInterval
	if refresh {
		c.refreshedAt = now
	}
	for _, b := range running {
		for _, h := range Holders(b.Key, batch) {
			switch {
			case refresh && !d.lacking[h]:
				d.add(h, b)
			case now.Sub(c.sent[h].at) >= silenceLimit:
				d.add(h)
			}
		}
	}
	var l []Copy
	for _, x := range d.byHolder {
		l = append(l, *x)
	}
	return l
}

// due is the messages of one Due.
type due struct {
	byHolder map[string]*Copy
	lacking  map[string]bool // holders that may lack something
}

// add adds streams to the message to a holder.
func (d due) add(holder string, l ...Begun) {
	x := d.byHolder[holder]
	if x == nil {
		x = &Copy{Holder: holder, Whole: d.lacking[holder]}
		d.byHolder[holder] = x
	}
	x.Streams = append(x.Streams, l...)
}

// Sent records that a message was sent to a holder over a connection; 0 if it may not arrive. whole says that it has all that the holder has
// to know.
func (c *Copies) Sent(now time.Time, holder string, connection uint64, whole bool) {
	x := c.sent[holder]
	x.at = now
	if whole {
		x.connection = connection
	} else if x.connection != connection {
		x.connection = 0
	}
	c.sent[holder] = x
}

// Dropped records that an origin was not sent to its holders.
func (c *Copies) Dropped() { clear(c.sent) }

// complete reports whether a holder has got everything, over the connection that is the current one.
func (c *Copies) complete(holder string, connection uint64) bool {
	x := c.sent[holder].connection
	return x != 0 && x == connection
}
