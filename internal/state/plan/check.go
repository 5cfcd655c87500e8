package plan

import "github.com/pkg/errors"

// Check returns the first error found that makes a plan unusable. It needs no Index.
func (p *Plan) Check() error {
	type match struct{ host, prefix string }
	seen := map[match]bool{}
	for i := range p.Routes {
		r := &p.Routes[i]
		k := match{r.Host, r.Prefix}
		if seen[k] {
			return errors.Errorf("two routes share host %q and prefix %q", r.Host, r.Prefix)
		}
		seen[k] = true
		if err := p.checkRoute(r); err != nil {
			return errors.Wrapf(err, "route %q", r.Name)
		}
	}
	return p.checkKeys()
}

func (p *Plan) checkRoute(r *Route) error {
	if r.Timeout <= 0 {
		return errors.New("the timeout is 0")
	}
	sum := 0.0
	for _, t := range r.Targets {
		if _, ok := p.Services[t.Service]; !ok {
			return errors.Errorf("service %q is unknown", t.Service)
		}
		if t.Weight < 0 {
			return errors.Errorf("the weight of service %q is negative", t.Service)
		}
		sum += t.Weight
	}
	if sum <= 0 {
		return errors.New("the weights add up to 0")
	}
	return nil
}

func (p *Plan) checkKeys() error {
	owner := map[string]string{}
	for _, a := range p.Accounts {
		for _, k := range a.Keys {
			if h, ok := owner[k]; ok && h != a.Name {
				return errors.Errorf("accounts %q and %q share a key", h, a.Name)
			}
			owner[k] = a.Name
		}
	}
	return nil
}
