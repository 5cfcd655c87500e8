package group

// The ids of the replicated groups. Groups of job shards have ids from FirstJobs upwards, which the shard ranges of the
// configuration assign.
const (
	Control   uint32 = 0         // configuration
	FirstJobs uint32 = 1         // batch jobs and items
	Intents   uint32 = 1 << 16   // requests that may run at most once, with their responses
	Placement uint32 = 1<<16 + 1 // orders to upstreams: artifacts to load, and roles
)
