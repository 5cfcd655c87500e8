package roster

import (
	"time"

	"snipetack/internal/state/wire"
)

// Class is what a VM does.
type Class string

// The classes.
const (
	Entry   Class = "entry"   // faces callers
	Control Class = "control" // keeps the configuration
	Batch   Class = "batch"   // keeps and runs batch jobs
)

// VM is one VM of the fleet.
type VM struct {
	Name    string
	Address string // of its link
	Class   Class
	Zone    string
}

// Upstream is one replica that serves requests.
type Upstream struct {
	ID       string
	Service  string
	Address  string
	Zone     string
	Slots    int  // requests at once
	Draining bool // takes no new requests
	Cold     time.Duration
}

// Report is what a VM says of itself.
type Report struct {
	VM                    VM
	Incarnation           int64 // start of the process in ns
	Version               uint64
	DirectoryTag, ListTag uint64
	Shares                map[string]float64 // of accounts, in force
	Demand                map[string]float64 // requests a second of accounts
	Limits                bool               // Shares and Demand are told, and new shares wanted
	Leads                 bool               // leads the batch group
	Members               []string           // addresses in the batch group, when it leads
}

// Bulletin is what a control VM tells; parts that the reporter has are left out.
type Bulletin struct {
	Leader       string // address of the leading control VM, "" when none is known
	Leads        bool   // the sender leads
	Version      uint64
	Document     []byte
	DirectoryTag uint64
	VMs          []VM
	ListTag      uint64
	Upstreams    []Upstream
	ListAge      time.Duration // since the list of upstreams was read
	Founders     []string
	Leaving      []string // names
	Shares       map[string]float64
	BatchLeader  string   // address
	BatchMembers []string // addresses
}

// EncodeReport returns the wire form of a report.
func EncodeReport(r Report) []byte {
	e := wire.NewEncoder()
	encodeVM(e, 1, r.VM)
	e.Int(2, r.Incarnation)
	e.Uint(3, r.Version)
	e.Uint(4, r.DirectoryTag)
	e.Uint(5, r.ListTag)
	encodeFigures(e, 6, r.Shares)
	encodeFigures(e, 7, r.Demand)
	e.Bool(8, r.Leads)
	e.Texts(9, r.Members)
	e.Bool(10, r.Limits)
	return e.Encoded()
}

// DecodeReport reads the wire form of a report.
func DecodeReport(b []byte) (Report, error) {
	r := Report{Shares: map[string]float64{}, Demand: map[string]float64{}}
	d := wire.NewDecoder(b)
	for f, ok := d.Next(); ok; f, ok = d.Next() {
		switch f {
		case 1:
			r.VM = decodeVM(d)
		case 2:
			r.Incarnation = d.Int()
		case 3:
			r.Version = d.Uint()
		case 4:
			r.DirectoryTag = d.Uint()
		case 5:
			r.ListTag = d.Uint()
		case 6:
			decodeFigure(d, r.Shares)
		case 7:
			decodeFigure(d, r.Demand)
		case 8:
			r.Leads = d.Bool()
		case 9:
			r.Members = append(r.Members, d.Text())
		case 10:
			r.Limits = d.Bool()
		}
	}
	return r, d.Err()
}

// EncodeBulletin returns the wire form of a bulletin.
func EncodeBulletin(b Bulletin) []byte {
	e := wire.NewEncoder()
	e.Text(1, b.Leader)
	e.Bool(2, b.Leads)
	e.Uint(3, b.Version)
	e.Bytes(4, b.Document)
	e.Uint(5, b.DirectoryTag)
	for _, v := range b.VMs {
		encodeVM(e, 6, v)
	}
	e.Uint(7, b.ListTag)
	for _, u := range b.Upstreams {
		encodeUpstream(e, 8, u)
	}
	e.Duration(9, b.ListAge)
	e.Texts(10, b.Founders)
	e.Texts(11, b.Leaving)
	encodeFigures(e, 12, b.Shares)
	e.Text(13, b.BatchLeader)
	e.Texts(14, b.BatchMembers)
	return e.Encoded()
}

// DecodeBulletin reads the wire form of a bulletin.
func DecodeBulletin(x []byte) (Bulletin, error) {
	b := Bulletin{Shares: map[string]float64{}}
	d := wire.NewDecoder(x)
	for f, ok := d.Next(); ok; f, ok = d.Next() {
		switch f {
		case 1:
			b.Leader = d.Text()
		case 2:
			b.Leads = d.Bool()
		case 3:
			b.Version = d.Uint()
		case 4:
			b.Document = d.Bytes()
		case 5:
			b.DirectoryTag = d.Uint()
		case 6:
			b.VMs = append(b.VMs, decodeVM(d))
		case 7:
			b.ListTag = d.Uint()
		case 8:
			b.Upstreams = append(b.Upstreams, decodeUpstream(d))
		case 9:
			b.ListAge = d.Duration()
		case 10:
			b.Founders = append(b.Founders, d.Text())
		case 11:
			b.Leaving = append(b.Leaving, d.Text())
		case 12:
			decodeFigure(d, b.Shares)
		case 13:
			b.BatchLeader = d.Text()
		case 14:
			b.BatchMembers = append(b.BatchMembers, d.Text())
		}
	}
	return b, d.Err()
}

func encodeVM(e *wire.Encoder, field int, v VM) {
	e.Record(field, func(e *wire.Encoder) {
		e.Text(1, v.Name)
		e.Text(2, v.Address)
		e.Text(3, string(v.Class))
		e.Text(4, v.Zone)
	})
}

func decodeVM(p *wire.Decoder) VM {
	var v VM
	d := p.Record()
	for f, ok := d.Next(); ok; f, ok = d.Next() {
		switch f {
		case 1:
			v.Name = d.Text()
		case 2:
			v.Address = d.Text()
		case 3:
			v.Class = Class(d.Text())
		case 4:
			v.Zone = d.Text()
		}
	}
	p.Fail(d.Err())
	return v
}

func encodeUpstream(e *wire.Encoder, field int, u Upstream) {
	e.Record(field, func(e *wire.Encoder) {
		e.Text(1, u.ID)
		e.Text(2, u.Service)
		e.Text(3, u.Address)
		e.Text(4, u.Zone)
		e.Uint(5, uint64(max(0, u.Slots)))
		e.Bool(6, u.Draining)
		e.Duration(7, u.Cold)
	})
}

func decodeUpstream(p *wire.Decoder) Upstream {
	var u Upstream
	d := p.Record()
	for f, ok := d.Next(); ok; f, ok = d.Next() {
		switch f {
		case 1:
			u.ID = d.Text()
		case 2:
			u.Service = d.Text()
		case 3:
			u.Address = d.Text()
		case 4:
			u.Zone = d.Text()
		case 5:
			u.Slots = int(d.Uint())
		case 6:
			u.Draining = d.Bool()
		case 7:
			u.Cold = d.Duration()
		}
	}
	p.Fail(d.Err())
	return u
}

func encodeFigures(e *wire.Encoder, field int, m map[string]float64) {
	for k, v := range m {
		e.Record(field, func(e *wire.Encoder) {
			e.Text(1, k)
			e.Float(2, v)
		})
	}
}

func decodeFigure(p *wire.Decoder, to map[string]float64) {
	k, v := "", 0.0
	d := p.Record()
	for f, ok := d.Next(); ok; f, ok = d.Next() {
		switch f {
		case 1:
			k = d.Text()
		case 2:
			v = d.Float()
		}
	}
	p.Fail(d.Err())
	to[k] = v
}
