package quotafleet

import (
	"math/rand/v2"
	"time"

	"snipetack/internal/coordination/quota"
	"snipetack/internal/state/catalog"
)

// Deployment is one of the users' fleets, with its client accounts and their load.
type Deployment struct {
	Name         string
	DataCentres  int
	VMs          int
	Replicas     int // of the model service
	Slots        int // of each replica
	RunTime      time.Duration
	DelayWithin  time.Duration // one way, in a data centre
	DelayBetween time.Duration // one way, between data centres
	Accounts     []Account
}

// Account is a client account with its load relative to its rate.
type Account struct {
	catalog.Account
	Load float64
}

// Deployments returns Alpweide's and Tihend's fleets; one account sends five times its rate.
func Deployments() []Deployment {
	return []Deployment{
		{
			Name: "Alpweide", DataCentres: 3, VMs: 6, Replicas: 10, Slots: 16, RunTime: 600 * time.Millisecond,
			DelayWithin: 300 * time.Microsecond, DelayBetween: 2 * time.Millisecond, Accounts: accounts(),
		},
		{
			Name: "Tihend", DataCentres: 4, VMs: 9, Replicas: 10, Slots: 16, RunTime: 600 * time.Millisecond,
			DelayWithin: 300 * time.Microsecond, DelayBetween: time.Millisecond, Accounts: accounts(),
		},
	}
}

// Limits returns the limits of the deployment's accounts.
func (d Deployment) Limits() map[quota.Key]quota.Limit {
	m := map[quota.Key]quota.Limit{}
	for _, a := range d.Accounts {
		l, _ := quota.LimitOf(a.Account, quota.Online)
		m[quota.Key{Account: a.Name}] = l
	}
	return m
}

// Delay returns the one-way delay between a holder and an owner.
func (d Deployment) Delay(holder, owner int) time.Duration {
	if holder%d.DataCentres == owner%d.DataCentres {
		return d.DelayWithin
	}
	return d.DelayBetween
}

// Arrivals returns the arrivals of all accounts between two times, at random times and holders. Some come together, as
// many as half of the account's burst.
func (d Deployment) Arrivals(r *rand.Rand, from, to time.Duration) []Arrival {
	var l []Arrival
	for _, a := range d.Accounts {
		group := max(1, a.Burst/2)
		mean := float64(time.Second) / (a.Rate * a.Load)
		for t := float64(from) + r.ExpFloat64()*mean; t < float64(to); t += r.ExpFloat64() * mean {
			n := 1
			if r.IntN(4*group) == 0 {
				n = group
				t += mean * float64(group)
			}
			for range n {
				l = append(l, Arrival{At: time.Duration(t), Holder: r.IntN(d.VMs), Key: quota.Key{Account: a.Name}})
			}
		}
	}
	return l
}

// accounts returns eight accounts, three of them large.
func accounts() []Account {
	account := func(name string, rate float64, burst int, load float64) Account {
		return Account{Account: catalog.Account{Name: name, Rate: rate, Burst: burst, Weight: rate}, Load: load}
	}
	return []Account{
		account("large-1", 90, 180, 0.8),
		account("large-2", 60, 60, 0.9),
		account("large-3", 40, 40, 5),
		account("small-1", 10, 20, 0.7),
		account("small-2", 5, 10, 0.9),
		account("small-3", 5, 5, 0.6),
		account("small-4", 2, 4, 0.8),
		account("small-5", 1, 3, 0.5),
	}
}
