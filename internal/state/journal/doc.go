// Package journal is a write-ahead log in one file of checksummed records.
//
// Each append writes one record and syncs the file. A record that a crash has torn is therefore always the last of the
// file, and its append has not returned: Open cuts it off. An invalid record with a valid one behind it was synced once
// and is damaged: Open fails, with the record's offset. Damage to the last record can't be told from a torn one.
package journal
