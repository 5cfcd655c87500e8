// Package settings reads and validates the settings file of a fleet, which is JSON with comments. All VMs of the fleet read
// the same file.
package settings
