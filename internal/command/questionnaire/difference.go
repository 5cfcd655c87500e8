package questionnaire

import (
	"fmt"
	"strings"
	"time"

	"snipetack/internal/state/catalog"
)

// field is a property of an entry, as shown to operators.
type field struct {
	name  string
	value any
}

// Describe returns a line for each edit, with all properties of its entry.
func Describe(l []catalog.Op) []string {
	var s []string
	for _, o := range l {
		s = append(s, describe(o))
	}
	return s
}

// Difference returns a line for each edit, compared with the configuration: + for a new entry, ~ for a changed one with the
// properties that change, - for a deleted one.
func Difference(c *catalog.Configuration, l []catalog.Op) []string {
	var s []string
	for _, o := range l {
		s = append(s, difference(c, o))
	}
	return s
}

func difference(c *catalog.Configuration, o catalog.Op) string {
	if d := o.Delete; d != nil {
		return fmt.Sprintf("- %s %s", strings.TrimSuffix(string(d.Table), "s"), d.Name)
	}
	if o.Key != nil {
		return "+ key of account " + o.Key.Account
	}
	old, ok := currentOp(c, o)
	if !ok {
		return "+ " + describe(o)
	}
	if o.Answers != nil {
		return fmt.Sprintf("~ answers %s: another text, %d bytes", o.Answers.Team, len(o.Answers.Document))
	}
	title, after := fieldsOf(o)
	_, before := fieldsOf(old)
	var changed []string
	for i, f := range after {
		if a, b := formatValue(before[i].value), formatValue(f.value); a != b {
			changed = append(changed, fmt.Sprintf("%s %s -> %s", f.name, a, b))
		}
	}
	return fmt.Sprintf("~ %s: %s", title, strings.Join(changed, ", "))
}

func describe(o catalog.Op) string {
	title, fields := fieldsOf(o)
	var l []string
	for _, f := range fields {
		l = append(l, f.name+" "+formatValue(f.value))
	}
	return title + ": " + strings.Join(l, ", ")
}

// currentOp returns the edit that would create the entry of o as the configuration has it, and false if it has none.
func currentOp(c *catalog.Configuration, o catalog.Op) (catalog.Op, bool) {
	switch {
	case o.Account != nil:
		v, ok := c.Accounts[o.Account.Name]
		return catalog.Op{Account: &v}, ok
	case o.Route != nil:
		v, ok := c.Routes[o.Route.Name]
		return catalog.Op{Route: &v}, ok
	case o.Service != nil:
		v, ok := c.Services[o.Service.Name]
		return catalog.Op{Service: &v}, ok
	case o.Upstream != nil:
		v, ok := c.Upstreams[o.Upstream.Name]
		return catalog.Op{Upstream: &v}, ok
	case o.Answers != nil:
		v, ok := c.Answers[o.Answers.Team]
		return catalog.Op{Answers: &v}, ok
	default:
		return catalog.Op{}, false
	}
}

// fieldsOf returns the title of an edit and the properties of its entry, in the same order for all entries of a table.
func fieldsOf(o catalog.Op) (string, []field) {
	switch {
	case o.Account != nil:
		a := o.Account
		return "account " + a.Name, []field{
			{"rate_per_second", a.Rate}, {"burst", a.Burst}, {"batch_items_per_second", a.BatchRate},
			{"batch_burst", a.BatchBurst}, {"weight", a.Weight}, {"resend_window", a.ResendWindow},
		}
	case o.Route != nil:
		r := o.Route
		return "route " + r.Name, []field{
			{"path", r.PathPrefix}, {"service", r.Service}, {"open", r.Open}, {"may_repeat", r.Repeatable}, {"accounts", joinOr(r.Accounts, "all")},
		}
	case o.Service != nil:
		s := o.Service
		return "service " + s.Name, []field{
			{"kind", string(s.Kind)}, {"models", joinOr(s.Models, "none")}, {"longest_silence", s.ProgressTimeout},
			{"deadline", s.Deadline}, {"queue_limit", s.QueueLimit}, {"artifacts", artifacts(s.Artifacts)},
		}
	case o.Upstream != nil:
		u := o.Upstream
		return "upstream " + u.Name, []field{
			{"service", u.Service}, {"address", u.Address}, {"data_centre", u.DataCentre},
			{"at_once", u.Slots}, {"checks_fencing", u.ChecksFencing}, {"leaving", u.Leaving},
			{"memory_bytes", u.Memory}, {"role", u.Role},
		}
	case o.Key != nil:
		return "key " + o.Key.ID, []field{{"account", o.Key.Account}, {"withdrawn", o.Key.Withdrawn}}
	case o.Answers != nil:
		return "answers " + o.Answers.Team, []field{{"bytes", len(o.Answers.Document)}}
	case o.Operator != nil:
		return "operator " + o.Operator.Name, []field{{"token", "set"}}
	case o.Withdraw != "":
		return "key " + o.Withdraw, []field{{"withdrawn", true}}
	case o.Delete != nil:
		return string(o.Delete.Table) + " " + o.Delete.Name, []field{{"deleted", true}}
	default:
		return "shards", []field{{"ranges", len(o.Shards)}}
	}
}

func artifacts(l []catalog.Artifact) string {
	var n []string
	for _, a := range l {
		n = append(n, fmt.Sprintf("%s (%d bytes)", a.Name, a.Size))
	}
	return joinOr(n, "none")
}

func joinOr(l []string, ifEmpty string) string {
	if len(l) == 0 {
		return ifEmpty
	}
	return strings.Join(l, "+")
}

func formatValue(v any) string {
	switch v := v.(type) {
	case string:
		if v == "" {
			return "none"
		}
		return v
	case time.Duration:
		return v.String()
	default:
		return fmt.Sprint(v)
	}
}
