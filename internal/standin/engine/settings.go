package engine

import "time"

// Settings describe one stand-in engine.
type Settings struct {
	Name          string
	Models        []string
	Slots         int           // max sequences that generate concurrently
	StepBase      time.Duration // duration of a step with one sequence
	StepPerSlot   time.Duration // added to a step for each further sequence
	PrefillToken  time.Duration // added to a step for each newly admitted prompt token that is not cached
	CacheTokens   int           // prompt tokens that the prefix cache holds
	ReportLag     time.Duration // age of the load report
	ChecksFencing bool          // refuses orders with an old fencing number
}

// DefaultSettings returns the settings of an engine with eight slots. Its steps take
// 4 ms with one sequence and 5.4 ms with eight.
func DefaultSettings() Settings {
	return Settings{
		Name:          "engine",
		Models:        []string{"sprach-1"},
		Slots:         8,
		StepBase:      4 * time.Millisecond,
		StepPerSlot:   200 * time.Microsecond,
		PrefillToken:  50 * time.Microsecond,
		CacheTokens:   20_000,
		ReportLag:     500 * time.Millisecond,
		ChecksFencing: true,
	}
}

// Faults are the faults that an engine injects; the zero value injects none.
type Faults struct {
	Refuse      bool // responds 503 to requests whose ID it doesn't know, without executing them
	Silent      bool // accepts requests and never sends a byte
	CutAfter    int  // closes each stream after this many chunks, resumed ones too; 0 is never
	SilentAfter int  // sends nothing more on a stream after this many chunks but keeps it open; 0 is never
	Reorder     bool // sends some chunks after their successors, and those successors twice
	SlowFactor  int  // multiplies the duration of a step; below 1 counts as 1
	FailItems   bool // responds 400 to prompts that contain "unreadable"
	Leaving     bool // reports in /load that it is leaving, and refuses requests as Refuse does
	Forget      bool // responds 404 to a resume, as if it had lost its sequences
	Unnumbered  bool // sends chunks without numbers and ignores Last-Event-ID: each stream starts at the first chunk
	Truncate    bool // sends only the first three chunks of a stream, then [DONE] as if it were complete
}
