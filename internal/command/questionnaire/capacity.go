package questionnaire

import "fmt"

// warnings reports services whose usable capacity is below the demand of all teams' workloads, and account rates that
// add up to more than the usable capacity of all services.
func (s environment) warnings(a Answers) []string {
	var l []string
	total, promised := 0.0, 0.0
	for _, v := range s.services(a) {
		total += v.UsableCapacity()
		if n := s.demand(a, v); n > v.UsableCapacity() {
			l = append(l, fmt.Sprintf("service %q carries %g a second, and the workloads of all teams need %g", v.Name, v.UsableCapacity(), n))
		}
	}
	for _, o := range s.teams(a) {
		for _, c := range o.Accounts {
			promised += c.Rate
		}
	}
	if promised > total {
		l = append(l, fmt.Sprintf("all services together carry %g requests a second, and the accounts' rates add up to %g", total, promised))
	}
	return l
}

// demand returns the requests and items per second that the workloads of all teams need from a service.
func (s environment) demand(a Answers, v Service) float64 {
	n := 0.0
	for _, o := range s.teams(a) {
		for _, w := range o.Workloads {
			r, _ := s.route(a, w.Route)
			if t, ok := s.target(a, r, w); ok && t.Name == v.Name {
				n += w.Demand()
			}
		}
	}
	return n
}

func (s environment) teams(a Answers) []Answers {
	return append([]Answers{a}, s.others...)
}
