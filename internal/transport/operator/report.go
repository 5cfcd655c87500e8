package operator

import (
	"maps"
	"slices"
	"time"

	"github.com/pkg/errors"

	"snipetack/internal/state/wire"
)

// Report is a VM's state as the VM itself reports it.
type Report struct {
	VM         string
	DataCentre string
	Keeper     bool
	Revision   uint64
	Age        time.Duration // upper bound on the age of the copy of the configuration
	Fresh      bool          // requests with a key are admitted
	Draining   bool
	Leader     string // VM that leads the control group; only keepers report it
	Term       uint64
	InFlight   map[string]int // requests, by upstream
	Waiting    map[string]int // requests in the queue, by service
	Missing    string         // why the VM gave no report; then only VM, DataCentre and Keeper are set, from the settings
}

func encodeReport(r Report) []byte {
	e := wire.NewEncoder()
	e.Text(1, r.VM)
	e.Text(2, r.DataCentre)
	e.Bool(3, r.Keeper)
	e.Uint(4, r.Revision)
	e.Duration(5, r.Age)
	e.Bool(6, r.Fresh)
	e.Bool(7, r.Draining)
	e.Text(8, r.Leader)
	e.Uint(9, r.Term)
	encodeCounts(e, 10, r.InFlight)
	encodeCounts(e, 11, r.Waiting)
	return e.Encoded()
}

func encodeCounts(e *wire.Encoder, field int, m map[string]int) {
	for _, k := range slices.Sorted(maps.Keys(m)) {
		e.Record(field, func(e *wire.Encoder) {
			e.Text(1, k)
			e.Uint(2, uint64(m[k]))
		})
	}
}

func decodeReport(b []byte) (Report, error) {
	r := Report{InFlight: map[string]int{}, Waiting: map[string]int{}}
	d := wire.NewDecoder(b)
	for f, ok := d.Next(); ok; f, ok = d.Next() {
		switch f {
		case 1:
			r.VM = d.Text()
		case 2:
			r.DataCentre = d.Text()
		case 3:
			r.Keeper = d.Bool()
		case 4:
			r.Revision = d.Uint()
		case 5:
			r.Age = d.Duration()
		case 6:
			r.Fresh = d.Bool()
		case 7:
			r.Draining = d.Bool()
		case 8:
			r.Leader = d.Text()
		case 9:
			r.Term = d.Uint()
		case 10, 11:
			n := d.Record()
			k, c := decodeCount(n)
			d.Fail(n.Err())
			if f == 10 {
				r.InFlight[k] = c
			} else {
				r.Waiting[k] = c
			}
		}
	}
	return r, errors.Wrap(d.Err(), "decoding a VM's report")
}

func decodeCount(d *wire.Decoder) (string, int) {
	var u string
	n := 0
	for f, ok := d.Next(); ok; f, ok = d.Next() {
		switch f {
		case 1:
			u = d.Text()
		case 2:
			n = int(d.Uint())
		}
	}
	return u, n
}
