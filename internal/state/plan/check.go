package plan

import "github.com/pkg/errors"

// Check returns the first reason for which a plan can't be put in force.
func (p *Plan) Check() error {
	type place struct{ host, prefix string }
	places := map[place]bool{}
	for i := range p.Routes {
		r := &p.Routes[i]
		k := place{r.Host, r.Prefix}
		if places[k] {
			return errors.Errorf("two routes share host %q and prefix %q", r.Host, r.Prefix)
		}
		places[k] = true
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
	holder := map[string]string{}
	for _, a := range p.Accounts {
		for _, k := range a.Keys {
			if h, ok := holder[k]; ok && h != a.Name {
				return errors.Errorf("accounts %q and %q share a key", h, a.Name)
			}
			holder[k] = a.Name
		}
	}
	return nil
}
