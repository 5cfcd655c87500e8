// Package quotafleet simulates the quota owners and holders of a fleet, with faults, in virtual time; all randomness
// comes from one seed.
package quotafleet
