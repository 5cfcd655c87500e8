// Package batches serves the files and batches HTTP API, accesses the replicated state of batch work over the mesh,
// and runs batch items on engines.
//
// Client commits commands to the ledger and queries it on the keepers, and Serve answers these queries on a keeper.
// Runner sends an item to an engine and resumes its response after a broken connection.
package batches
