package settings

import (
	"net/netip"
	"os"
	"path/filepath"

	"github.com/pkg/errors"
	"github.com/tailscale/hujson"

	"snipetack/internal/command/document"
)

// Limits of the weight store if the settings omit them.
const (
	defaultPullRate  = 1 << 30  // bytes a second
	defaultPullBurst = 64 << 30 // bytes
)

// Load reads and validates a settings file. Relative paths in it are resolved against the file's folder.
func Load(file string) (Settings, error) {
	b, err := os.ReadFile(file)
	if err != nil {
		return Settings{}, errors.Wrap(err, "reading the settings")
	}
	s, err := Decode(file, b)
	if err != nil {
		return Settings{}, err
	}
	return s.relativeTo(filepath.Dir(file)), nil
}

// Decode parses and validates settings; file is used in messages only. The first mistake is returned as a document.Problem.
// Paths are returned as written.
func Decode(file string, b []byte) (Settings, error) {
	v, err := document.New("settings", file, b)
	if err != nil {
		return Settings{}, err
	}
	d := &decoder{v}
	s := Settings{
		Log:               Log{Format: "text", Level: "info"},
		BatchPolicy:       OnlineFirst,
		WeightStore:       WeightStore{Rate: defaultPullRate, Burst: defaultPullBurst},
		CertificateFolder: "certificates",
		OperatorTokenFile: filepath.Join("certificates", "operator.token"),
	}
	err = d.Root(map[string]document.Field{
		"fleet":               d.Text(&s.Fleet),
		"log":                 d.log(&s.Log),
		"certificate_folder":  d.Text(&s.CertificateFolder),
		"operator_token_file": d.Text(&s.OperatorTokenFile),
		"batch_policy":        d.OneOf(&s.BatchPolicy, OnlineFirst, Throughput),
		"weight_store":        d.weightStore(&s.WeightStore),
		"vms":                 d.vms(&s.VMs),
	}, "fleet", "vms")
	if err != nil {
		return Settings{}, err
	}
	return s, nil
}

func (s Settings) relativeTo(folder string) Settings {
	s.CertificateFolder = resolve(folder, s.CertificateFolder)
	s.OperatorTokenFile = resolve(folder, s.OperatorTokenFile)
	l := make([]VM, len(s.VMs))
	for i, v := range s.VMs {
		v.DataFolder = resolve(folder, v.DataFolder)
		l[i] = v
	}
	s.VMs = l
	return s
}

// resolve returns path relative to folder; an empty or absolute path is returned unchanged.
func resolve(folder, path string) string {
	if path == "" || filepath.IsAbs(path) {
		return path
	}
	return filepath.Join(folder, path)
}

// decoder extends document.Decoder with the types of fields that only settings have.
type decoder struct {
	*document.Decoder
}

// address reads an ip:port. The used map holds the path of each address so far; one that is given twice is a mistake.
func (d *decoder) address(to *string, used map[string]string) document.Field {
	return func(path string, v hujson.Value) {
		d.Text(to)(path, v)
		if d.Err() != nil {
			return
		}
		if _, err := netip.ParseAddrPort(*to); err != nil {
			d.Fail(path, "%q is not ip:port", *to)
			return
		}
		if o, ok := used[*to]; ok {
			d.Fail(path, "%s is already the address %s", *to, o)
			return
		}
		used[*to] = path
	}
}

func (d *decoder) log(to *Log) document.Field {
	return func(path string, v hujson.Value) {
		d.Object(path, v, map[string]document.Field{
			"format": d.OneOf(&to.Format, "text", "json"),
			"level":  d.OneOf(&to.Level, "debug", "info", "warn", "error"),
		})
	}
}

func (d *decoder) weightStore(to *WeightStore) document.Field {
	return func(path string, v hujson.Value) {
		d.Object(path, v, map[string]document.Field{
			"bytes_per_second": d.positive(&to.Rate),
			"burst_bytes":      d.positive(&to.Burst),
		})
	}
}

func (d *decoder) positive(to *float64) document.Field {
	return func(path string, v hujson.Value) {
		d.Number(to)(path, v)
		if *to <= 0 {
			d.Fail(path, "%g must be above zero", *to)
		}
	}
}

// vms reads the list of VMs. Names are unique, as are addresses for each of UDP and TCP, and at least one VM is a keeper.
func (d *decoder) vms(to *[]VM) document.Field {
	names := map[string]string{}
	udp := map[string]string{}
	tcp := map[string]string{}
	each := d.List(func(path string, v hujson.Value) {
		*to = append(*to, d.vm(path, v, names, udp, tcp))
	})
	return func(path string, v hujson.Value) {
		each(path, v)
		if len(*to) == 0 {
			d.Fail(path, "must be a list that is not empty")
		}
		d.keepers(path, *to)
	}
}

func (d *decoder) vm(path string, v hujson.Value, names, udp, tcp map[string]string) VM {
	var m VM
	d.Object(path, v, map[string]document.Field{
		"name":        d.Unique(&m.Name, names),
		"data_centre": d.Text(&m.DataCentre),
		"mesh":        d.address(&m.Mesh, udp),
		"callers":     d.address(&m.Callers, tcp),
		"operators":   d.address(&m.Operators, tcp),
		"data_folder": d.Text(&m.DataFolder),
		"memory_mb":   d.Integer(&m.MemoryMB),
		"max_files":   d.Integer(&m.MaxFiles),
	}, "name", "data_centre", "mesh", "callers", "operators")
	return m
}

// keepers records a mistake if none of the VMs is a keeper.
func (d *decoder) keepers(path string, l []VM) {
	for _, m := range l {
		if m.Keeper() {
			return
		}
	}
	d.Fail(path, "at least one VM needs a data_folder, to be a keeper")
}
