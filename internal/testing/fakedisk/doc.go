// Package fakedisk is an in-memory implementation of disk.Folder with fault injection, for tests in virtual time.
package fakedisk
