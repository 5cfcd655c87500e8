package operator

import (
	"context"
	"net/http"
	"net/url"
	"time"

	"snipetack/internal/protocol/reply"
)

// ReportProvider sends requests to the VMs of the fleet.
type ReportProvider interface {
	// Reports returns a report of each VM; one that did not respond has Missing set.
	Reports(ctx context.Context) []Report
	// Drain has a VM drain and returns its report.
	Drain(ctx context.Context, vm string) (Report, error)
}

// reportForm is the JSON form of a report.
type reportForm struct {
	VM         string         `json:"vm"`
	DataCentre string         `json:"data_centre"`
	Keeper     bool           `json:"keeper"`
	Revision   uint64         `json:"revision"`
	AgeMillis  int64          `json:"age_ms"`
	Fresh      bool           `json:"fresh"`
	Draining   bool           `json:"draining"`
	Leader     string         `json:"leader,omitempty"`
	Term       uint64         `json:"term,omitempty"`
	InFlight   map[string]int `json:"in_flight,omitempty"`
	Waiting    map[string]int `json:"waiting,omitempty"`
	Missing    string         `json:"missing,omitempty"`
}

// Reports returns a report of each VM, as the VM that serves the request collected them.
func (c *Client) Reports(ctx context.Context) ([]Report, error) {
	var f []reportForm
	if err := c.Get(ctx, "/operator/v1/vms", &f); err != nil {
		return nil, err
	}
	l := make([]Report, 0, len(f))
	for _, r := range f {
		l = append(l, r.report())
	}
	return l, nil
}

// DrainVM has a VM drain and returns its report. Repeated calls are harmless.
func (c *Client) DrainVM(ctx context.Context, vm string) (Report, error) {
	var f reportForm
	err := c.Post(ctx, "/operator/v1/vms/"+url.PathEscape(vm)+"/drain", &f)
	return f.report(), err
}

func (s *Server) reports(w http.ResponseWriter, r *http.Request, _ string) {
	f := []reportForm{}
	for _, v := range s.d.Reports.Reports(r.Context()) {
		f = append(f, reportOf(v))
	}
	reply.JSON(w, http.StatusOK, f)
}

func (s *Server) drainVM(w http.ResponseWriter, r *http.Request, operator string) {
	v, err := s.d.Reports.Drain(r.Context(), r.PathValue("vm"))
	if err != nil {
		reply.Failure(w, err)
		return
	}
	s.d.Log.Info("drain", "vm", v.VM, "operator", operator)
	reply.JSON(w, http.StatusOK, reportOf(v))
}

func reportOf(r Report) reportForm {
	return reportForm{
		VM:         r.VM,
		DataCentre: r.DataCentre,
		Keeper:     r.Keeper,
		Revision:   r.Revision,
		AgeMillis:  r.Age.Milliseconds(),
		Fresh:      r.Fresh,
		Draining:   r.Draining,
		Leader:     r.Leader,
		Term:       r.Term,
		InFlight:   r.InFlight,
		Waiting:    r.Waiting,
		Missing:    r.Missing,
	}
}

func (f reportForm) report() Report {
	return Report{
		VM:         f.VM,
		DataCentre: f.DataCentre,
		Keeper:     f.Keeper,
		Revision:   f.Revision,
		Age:        time.Duration(f.AgeMillis) * time.Millisecond,
		Fresh:      f.Fresh,
		Draining:   f.Draining,
		Leader:     f.Leader,
		Term:       f.Term,
		InFlight:   f.InFlight,
		Waiting:    f.Waiting,
		Missing:    f.Missing,
	}
}
