// Package disk gives access to the files of a VM's data folder.
//
// What is written to a file is durable only once Sync has returned. Tests replace Folder with an in-memory
// implementation that loses unsynced writes in a crash.
package disk
