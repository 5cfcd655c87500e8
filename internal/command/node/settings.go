package node

import (
	"os"
	"time"

	"github.com/pkg/errors"
	"github.com/tailscale/hujson"

	"snipetack/internal/command/document"
	"snipetack/internal/coordination/roster"
	"snipetack/internal/coordination/spillover"
)

// Settings of one VM; addresses are ip:port.
type Settings struct {
	VM         string
	Class      string // a roster.Class
	Zone       string
	IP         string
	BindIP     string        // to listen on for links of other VMs; "" is IP
	FirstPort  int           // of three ports for links between VMs, one for each class
	Seeds      []string      // control VMs, at the ports that operators call
	Bootstrap  bool          // the whole fleet starts for the first time
	Data       string        // data folder; "" on a VM without a disk
	Callers    string        // to listen on; entry VMs
	Ready      string        // to listen on for the load balancer's checks; "" serves none; entry VMs
	Operators  string        // to listen on; "" serves none; control VMs
	Metrics    string        // to listen on; "" serves none
	List       string        // address of the list of upstreams
	ListRate   float64       // calls per second that the list accepts from the whole fleet
	ListLag    time.Duration // by which the list may lag behind its upstreams
	Losses     int           // VMs with a disk that may be lost at the same time
	Cores      int           // that the Go runtime uses at the same time, at least one
	MemoryMB   int           // memory of the VM in MiB
	MaxFiles   int
	Grace      time.Duration // after which a stopped process is killed
	StaleAfter time.Duration // a configuration that the leading control VM has not confirmed for longer is not used; 0 is no limit
	QuotaSlack float64       // requests by which the fleet may exceed an account's burst
	Retention  time.Duration // of finished jobs
	Contracts  []string      // names of what the platform has agreed on with the deployment; the platform's adapter translates them
	Contention bool          // slots are divided among the client accounts by their shares, and requests leave their data centre by Spillover

	Spillover spillover.Settings // in force with Contention
	Zones     map[string]string  // region of each data centre; nil if the settings don't name them
}

// Values of the setting "contention".
const (
	contentionOff = "off"
	contentionOn  = "on"
)

// Load reads and checks a settings file.
func Load(file string) (Settings, error) {
	b, err := os.ReadFile(file)
	if err != nil {
		return Settings{}, errors.Wrap(err, "reading the settings")
	}
	return Decode(file, b)
}

// defaults returns the settings of a small fleet.
func defaults() Settings {
	return Settings{ListRate: 10, Losses: 1, Cores: 1, MemoryMB: 256, MaxFiles: 1024, Grace: 8 * time.Second,
		QuotaSlack: 0, Retention: 10 * time.Minute, Spillover: spillover.DefaultSettings()}
}

// Decode reads and checks settings; the first problem found is returned as a document.Problem.
func Decode(file string, b []byte) (Settings, error) {
	d, err := document.New("settings", file, b)
	if err != nil {
		return Settings{}, err
	}
	s := defaults()
	grace, stale, retention := s.Grace.Seconds(), 0.0, s.Retention.Seconds()
	losses, memory := float64(s.Losses), float64(s.MemoryMB)
	files := float64(s.MaxFiles)
	cores, lag := float64(s.Cores), 0.0
	contention := contentionOff
	minGain, roundTrip := milliseconds(s.Spillover.MinGain), milliseconds(s.Spillover.RoundTrip)
	err = d.Root(map[string]document.Field{
		"vm":         d.Text(&s.VM),
		"class":      d.OneOf(&s.Class, string(roster.Entry), string(roster.Control), string(roster.Batch)),
		"zone":       d.Text(&s.Zone),
		"ip":         d.Text(&s.IP),
		"bind_ip":    optional(d.Text(&s.BindIP)),
		"first_port": d.Integer(&s.FirstPort),
		"seeds":      d.Texts(&s.Seeds),
		"bootstrap":  d.Bool(&s.Bootstrap),
		"data":       optional(d.Text(&s.Data)),
		"callers":    optional(d.Text(&s.Callers)),
		"ready":      optional(d.Text(&s.Ready)),
		"operators":  optional(d.Text(&s.Operators)),
		"metrics":    optional(d.Text(&s.Metrics)),
		"list": func(path string, v hujson.Value) {
			d.Object(path, v, map[string]document.Field{
				"address":    d.Text(&s.List),
				"rate_per_s": d.Number(&s.ListRate),
				"lag_ms":     d.Number(&lag),
			}, "address")
		},
		"losses":        d.Number(&losses),
		"cores":         d.Number(&cores),
		"memory_mb":     d.Number(&memory),
		"max_files":     d.Number(&files),
		"grace_s":       d.Number(&grace),
		"stale_after_s": d.Number(&stale),
		"quota_slack":   d.Number(&s.QuotaSlack),
		"retention_s":   d.Number(&retention),
		"contracts":     nullable(d.Texts(&s.Contracts)),
		"contention":    d.OneOf(&contention, contentionOff, contentionOn),
		"zones":         d.TextMap(&s.Zones),
		"spillover": func(path string, v hujson.Value) {
			d.Object(path, v, map[string]document.Field{
				"min_gain_ms":   d.Number(&minGain),
				"max_fraction":  d.Number(&s.Spillover.MaxFraction),
				"round_trip_ms": d.Number(&roundTrip),
			})
			if f := s.Spillover.MaxFraction; f < 0 || f > 1 {
				d.Fail(path+".max_fraction", "must be from 0 to 1")
			}
		},
	}, "vm", "class", "ip", "first_port", "seeds")
	s.Losses, s.Cores, s.MemoryMB, s.MaxFiles = int(losses), max(1, int(cores)), int(memory), int(files)
	s.Contention = contention == contentionOn
	s.Spillover.MinGain, s.Spillover.RoundTrip = seconds(minGain/1000), seconds(roundTrip/1000)
	s.ListLag = seconds(lag / 1000)
	s.Grace, s.StaleAfter, s.Retention = seconds(grace), seconds(stale), seconds(retention)
	return s, err
}

// optional wraps a field reader that rejects an empty text; an empty text then leaves the field as it is.
func optional(f document.Field) document.Field {
	return func(path string, v hujson.Value) {
		if l, ok := v.Value.(hujson.Literal); ok && l.String() == "" {
			return
		}
		f(path, v)
	}
}

// nullable wraps a field reader that rejects null; null then leaves the field as it is.
func nullable(f document.Field) document.Field {
	return func(path string, v hujson.Value) {
		if l, ok := v.Value.(hujson.Literal); ok && l.Kind() == 'n' {
			return
		}
		f(path, v)
	}
}

func milliseconds(d time.Duration) float64 { return 1000 * d.Seconds() }

func seconds(x float64) time.Duration {
	return time.Duration(x * float64(time.Second))
}
