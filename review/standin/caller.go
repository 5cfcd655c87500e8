package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// request is one call of a caller, an operator or the platform.
type request struct {
	method, address, path, body string
	host                        string
	header                      map[string]string
	timeout                     time.Duration     // 5 s when 0
	transport                   http.RoundTripper // a new connection when nil
}

// answer is what came back; its status is 0 when no complete answer came.
type answer struct {
	status int
	header http.Header
	body   string
	err    error
}

const callTimeout = 5 * time.Second

// call makes a call and returns its answer.
func (f *fleet) call(ctx context.Context, q request) answer {
	if q.timeout == 0 {
		q.timeout = callTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, q.timeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, q.method, "http://"+q.address+q.path, strings.NewReader(q.body))
	if err != nil {
		return answer{err: err}
	}
	r.Host = q.host
	for k, v := range q.header {
		r.Header.Set(k, v)
	}
	t := q.transport
	if t == nil {
		t = &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	}
	a, err := t.RoundTrip(r)
	if err != nil {
		return answer{err: err}
	}
	defer a.Body.Close()
	b, err := io.ReadAll(a.Body)
	if err != nil {
		return answer{err: err}
	}
	return answer{status: a.StatusCode, header: a.Header, body: string(b)}
}

// String describes an answer for the record.
func (a answer) String() string {
	if a.status == 0 {
		return fmt.Sprintf("no answer (%v)", a.err)
	}
	b := a.body
	if len(b) > 160 {
		b = b[:160] + "..."
	}
	return fmt.Sprintf("%d %s", a.status, b)
}

// put sends a configuration to the control VMs in turn until one acknowledges it.
func (f *fleet) put(ctx context.Context, c configuration) error {
	b, err := json.Marshal(c)
	if err != nil {
		return err
	}
	l := f.of(controlClass)
	for i := 0; ; i++ {
		a := f.call(ctx, request{method: http.MethodPost, address: l[i%len(l)].bind + ":" + operatorsPort, path: "/snipetack/Config.Put", body: string(b)})
		if a.status == http.StatusOK {
			f.line("operator: version %d of %d bytes is acknowledged by %s", c.Version, len(b), l[i%len(l)].name)
			return nil
		}
		f.line("operator: version %d at %s: %v", c.Version, l[i%len(l)].name, a)
		if a.status >= 400 && a.status < 500 {
			return fmt.Errorf("version %d was refused: %v", c.Version, a)
		}
		if !pause(ctx, 100*time.Millisecond) {
			return fmt.Errorf("version %d was not acknowledged", c.Version)
		}
	}
}

// configuration is what the operator sends.
type configuration struct {
	Version  int            `json:"version"`
	Routes   []route        `json:"routes"`
	Services []service      `json:"services"`
	Limits   map[string]int `json:"limits"`
	Tenants  []tenant       `json:"tenants"`
}

type route struct {
	Name        string `json:"name"`
	Host        string `json:"host"`
	PathPrefix  string `json:"pathPrefix"`
	Kind        string `json:"kind"`
	TimeoutMs   int    `json:"timeoutMs"`
	SLOMs       int    `json:"sloMs"`
	Priority    int    `json:"priority"`
	Service     string `json:"service"`
	MaxAttempts int    `json:"maxAttempts"`
	Public      bool   `json:"public"`
	Sticky      bool   `json:"sticky"`
	Resumable   bool   `json:"resumable"`
	GapAimMs    int    `json:"gapAimMs,omitempty"`
	DueMs       int    `json:"dueMs,omitempty"`
	MaxWaitS    int    `json:"maxWaitS,omitempty"`
	MaxPending  int    `json:"maxPending,omitempty"`
}

type service struct {
	Name       string         `json:"name"`
	HealthPath string         `json:"healthPath"`
	MaxConns   int            `json:"maxConns"`
	Protocol   string         `json:"protocol"`
	TLS        bool           `json:"tls"`
	Engine     map[string]int `json:"engine,omitempty"`
}

type tenant struct {
	Name     string   `json:"name"`
	APIKeys  []string `json:"apiKeys"`
	Priority int      `json:"priority"`
	Rate     int      `json:"ratePerS"`
	Burst    int      `json:"burst"`
}

// Names in configurations.
const (
	hostName   = "ficu95.example"
	modelPool  = "huvo11a"
	appPool    = "wuno96b"
	tenantName = "huka270"
	tenantKey  = "2b9wu3fexd9dnn2ctnfz"
	secondKey  = "s989anu6wsjnbanfqasn"
)

// baseConfiguration returns a configuration with a route of each kind that the cases need.
func baseConfiguration(version int) configuration {
	return configuration{
		Version: version,
		Routes: []route{
			{Name: "r-status", Host: hostName, PathPrefix: "/status/", Kind: "safe", TimeoutMs: 3000, SLOMs: 300, Service: appPool, MaxAttempts: 2},
			{Name: "r-order", Host: hostName, PathPrefix: "/order/", Kind: "unsafe", TimeoutMs: 3000, SLOMs: 300, Service: appPool, MaxAttempts: 1},
			{Name: "r-ask", Host: hostName, PathPrefix: "/ask/", Kind: "stream", TimeoutMs: 5000, SLOMs: 300, Service: modelPool, MaxAttempts: 2,
				Sticky: true, Resumable: true, GapAimMs: 300},
			batchRoute("r-lots", "/pule252/"),
		},
		Services: []service{
			{Name: modelPool, HealthPath: "/health", MaxConns: 360, Protocol: "h1", Engine: map[string]int{"slots": 8, "kvCapacity": kvCapacity}},
			{Name: appPool, HealthPath: "/health", MaxConns: 96, Protocol: "h1"},
		},
		Limits:  map[string]int{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		Tenants: []tenant{{Name: tenantName, APIKeys: []string{tenantKey, secondKey}, Priority: 1, Rate: 45, Burst: 45}},
	}
}

func batchRoute(name, prefix string) route {
	return route{Name: name, Host: hostName, PathPrefix: prefix, Kind: "batch", TimeoutMs: 4000, SLOMs: 400, Priority: 2, Service: modelPool,
		MaxAttempts: 3, Sticky: true, Resumable: true, DueMs: 18000, MaxWaitS: 30, MaxPending: 740000}
}
