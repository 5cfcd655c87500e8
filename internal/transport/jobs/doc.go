// Package jobs lets every VM use the batch jobs that the batch VMs keep.
package jobs
