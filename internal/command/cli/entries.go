package cli

// entries returns all subcommands in the order of the help text.
func entries() []entry {
	return append(vmEntries(), operatorEntries()...)
}

// vmEntries returns the commands that run VMs, prepare and inspect their files, and test a fleet.
func vmEntries() []entry {
	return []entry{
		{name: "quickstart", short: "run the main job on embedded defaults", long: "Runs seven VMs and stand-in upstreams in one process, onboards a team, streams a response, and runs a batch while a keeper is lost.", make: newCommand[quickstartCommand]()},
		{name: "serve", short: "run one VM of a fleet", long: "Runs the VM that --vm names until SIGTERM, which stops it gracefully.", make: newCommand[serve]()},
		{name: "node", short: "run one VM that finds the others", long: "Runs one VM of a fleet whose VMs find each other from seeds, until SIGTERM, which stops it gracefully.", make: newCommand[nodeCommand]()},
		{name: "evacuation", short: "evacuate data centres", long: "Orders at a control VM that snipetack node runs.", subs: evacuationEntries()},
		{name: "check", short: "check a settings file", long: "Reads a settings file and prints the first mistake with file, line, column and key.", make: newCommand[check]()},
		{name: "explain", short: "show the timeline of a request or job", long: "Reads logs of VMs and prints the lines about a request or job (marked *), with what its VMs logged about the fleet meanwhile.", make: newCommand[explainCommand]()},
		{name: "certs", short: "create certificates", long: "Creates the fleet's authority, a certificate for each VM and the operator's token.", make: newCommand[certs]()},
		{name: "change", short: "apply a configuration change", long: "Sends a change in JSON to a VM's operator address.", make: newCommand[change]()},
		{name: "standin", short: "run stand-in upstreams", long: "Runs stand-in model engines or plain services, for trials and tests.", make: newCommand[standin]()},
		{name: "load", short: "send load and measure it", long: "Sends chat requests at a steady rate, whether or not earlier ones are answered, and prints latencies.", make: newCommand[loadCommand]()},
		{name: "version", short: "print the version", long: "Prints the program's version.", make: newCommand[version]()},
	}
}

// newCommand returns a function that allocates a command of type T.
func newCommand[T any, P interface {
	*T
	command
}]() func() command {
	return func() command { return P(new(T)) }
}
