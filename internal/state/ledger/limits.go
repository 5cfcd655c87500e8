package ledger

import "time"

// Limits bound what a Machine stores. All keepers of a fleet need the same values, or their replicas would differ.
type Limits struct {
	OpenJobs     int           // jobs of one account that have not ended
	AccountBytes int64         // uncompressed bytes of an account's uploads; until sealed, one counts with its declared size
	TotalBytes   int64         // compressed bytes of all files and results; checked only when an upload starts
	Retention    time.Duration // of files since their upload and of jobs since their end
	UploadTime   time.Duration // an upload not sealed within it is removed
}

// DefaultLimits returns the limits of a fleet that sets none.
func DefaultLimits() Limits {
	return Limits{
		OpenJobs:     200,
		AccountBytes: 4 << 30,
		TotalBytes:   1 << 30,
		Retention:    7 * 24 * time.Hour,
		UploadTime:   time.Hour,
	}
}
