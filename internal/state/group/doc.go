// Package group defines the ids of the replicated groups.
package group
