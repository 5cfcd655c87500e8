package questionnaire

import (
	"fmt"
	"net/netip"
	"strings"

	"snipetack/internal/command/document"
)

// Prefixes of the paths that callers request.
const (
	enginePath = "/v1/"
	plainPath  = "/services/"
)

// check verifies that the answers are consistent with each other, without other teams' answers.
func (a Answers) check() error {
	checks := []func() error{a.checkServices, a.checkRoutes}
	for _, f := range checks {
		if err := f(); err != nil {
			return err
		}
	}
	return a.checkWorkloadFields()
}

func (a Answers) checkServices() error {
	for i, s := range a.Services {
		p := fmt.Sprintf("services[%d]", i)
		if s.Kind == kindEngine && len(s.Models) == 0 {
			return a.problem(p, "service %q is an engine and needs at least one model", s.Name)
		}
		if s.Kind == kindPlain && len(s.Models) > 0 {
			return a.problem(p+".models", "service %q is plain and has no models", s.Name)
		}
		if err := a.checkArtifacts(p, s); err != nil {
			return err
		}
		for j, u := range s.Upstreams {
			if _, err := netip.ParseAddrPort(u.Address); err != nil {
				return a.problem(fmt.Sprintf("%s.upstreams[%d].address", p, j), "%q is not ip:port", u.Address)
			}
		}
	}
	return nil
}

// checkArtifacts verifies that all artifacts of a service fit on each upstream together, as a request may go to any
// upstream.
func (a Answers) checkArtifacts(p string, s Service) error {
	if len(s.Artifacts) == 0 {
		return nil
	}
	if s.Kind != kindEngine {
		return a.problem(p+".artifacts", "service %q is plain and loads no artifacts", s.Name)
	}
	if s.UpstreamMemory == 0 {
		return a.problem(p+".artifacts", "service %q needs memory_bytes_per_upstream", s.Name)
	}
	sum := int64(0)
	for i, v := range s.Artifacts {
		if sum += v.Size; sum > s.UpstreamMemory {
			return a.problem(fmt.Sprintf("%s.artifacts[%d].bytes", p, i), "the artifacts up to here take %d bytes, and an upstream has %d", sum, s.UpstreamMemory)
		}
	}
	return nil
}

func (a Answers) checkRoutes() error {
	for i, r := range a.Routes {
		p := fmt.Sprintf("routes[%d]", i)
		engine := strings.HasPrefix(r.Path, enginePath)
		switch {
		case !engine && !strings.HasPrefix(r.Path, plainPath):
			return a.problem(p+".path", "%q begins neither with %s nor with %s", r.Path, enginePath, plainPath)
		case engine && r.Service != "":
			return a.problem(p+".service", "an engine route names no service; the model in a request chooses it")
		case engine && r.Open:
			return a.problem(p+".open", "an engine route can't be open; each request needs a key")
		case !engine && r.Service == "":
			return a.problem(p, "route %q needs a service", r.Name)
		case r.Open && len(r.Accounts) > 0:
			return a.problem(p+".accounts", "route %q is open to all, so it can't be limited to accounts", r.Name)
		}
	}
	return nil
}

func (a Answers) checkWorkloadFields() error {
	for i, w := range a.Workloads {
		p := fmt.Sprintf("workloads[%d]", i)
		switch {
		case w.Route == "" && w.Model == "":
			return a.problem(p, "workload %q needs a route or a model", w.Name)
		case w.Kind == kindOnline && w.Rate == 0:
			return a.problem(p, "workload %q is online and needs requests_per_second above zero", w.Name)
		case w.Kind == kindOnline && (w.Items != 0 || w.Due != 0):
			return a.problem(p, "workload %q is online and has neither items nor due_seconds", w.Name)
		case w.Kind == kindBatch && (w.Items == 0 || w.Due == 0):
			return a.problem(p, "workload %q is batch and needs items and due_seconds", w.Name)
		case w.Kind == kindBatch && w.Rate != 0:
			return a.problem(p+".requests_per_second", "workload %q is batch; its rate follows from items and due_seconds", w.Name)
		}
	}
	return nil
}

// problem returns a document.Problem at the position of the answer with the path.
func (a Answers) problem(path, format string, args ...any) error {
	if a.source == nil {
		return document.Problem{File: "answers", Key: path, Text: fmt.Sprintf(format, args...)}
	}
	return a.source.Problem(path, format, args...)
}
