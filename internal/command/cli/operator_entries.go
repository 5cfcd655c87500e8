package cli

// operatorEntries returns the commands that teams and operators use on a running fleet, and restore.
func operatorEntries() []entry {
	return []entry{
		{
			name:  "onboard",
			short: "turn a team's answers into configuration",
			long: "Reads a team's answers from a file, or asks for them, shows the configuration that they generate " +
				"and the difference to what is in force, applies it, and prints the keys of new accounts once.",
			make: newCommand[onboard](),
		},
		{
			name:  "status",
			short: "show the whole fleet on one screen",
			long:  "Shows VMs, leader, revision and age everywhere, and what is in flight at each service.",
			make:  newCommand[status](),
		},
		{name: "account", short: "list and show client accounts", long: "Lists and shows client accounts.", subs: accountEntries()},
		{name: "key", short: "issue, withdraw and list keys", long: "Issues, withdraws and lists callers' keys.", subs: keyEntries()},
		{name: "upstream", short: "list and drain upstreams", long: "Lists and drains upstreams.", subs: upstreamEntries()},
		{name: "job", short: "list, show and cancel batch jobs", long: "Lists, shows and cancels batch jobs.", subs: jobEntries()},
		{name: "placement", short: "list and explain what is loaded where", long: "Lists and explains what is loaded on which upstream.", subs: placementEntries()},
		{name: "vm", short: "list and drain VMs", long: "Lists and drains VMs of the fleet.", subs: vmSubEntries()},
		{name: "operator", short: "add, remove and list operators", long: "Issues credentials to operators, and revokes them.", subs: credentialEntries()},
		{name: "config", short: "compare and change the configuration", long: "Compares, applies and lists changes of the configuration.", subs: configEntries()},
		{name: "keeper", short: "manage the keepers", long: "Shows, adds and removes keepers and transfers leadership.", subs: keeperEntries()},
		{
			name:  "backup",
			short: "write the state of all groups to a file",
			long:  "Writes the state of all groups, with everything that was accepted before, to a new file.",
			make:  newCommand[backup](),
		},
		{
			name:  "restore",
			short: "fill an empty data folder from a backup",
			long: "Fills the empty data folder of a stopped VM from a backup. The VM is then the only voter of all groups. " +
				"Only for a fleet whose keepers are lost for good: stop all VMs first, and empty the other data folders; " +
				"what was accepted after the backup is lost.",
			make: newCommand[restore](),
		},
	}
}

func configEntries() []entry {
	return []entry{
		{
			name:  "show",
			short: "print the configuration in force",
			long:  "Prints the configuration in force as JSON; keys are shown as digests.",
			make:  newCommand[configShow](),
		},
		{
			name:  "diff",
			short: "show how the configuration differs from the stored answers",
			long:  "Shows what the stored answers, or those in a file, would change; the exit code is 1 when there is a difference.",
			make:  newCommand[configDiff](),
		},
		{
			name:  "apply",
			short: "make the configuration equal to the stored answers",
			long:  "Applies what config diff shows, against the revision that it was made on.",
			make:  newCommand[configApply](),
		},
		{
			name:  "history",
			short: "list the latest changes",
			long:  "Lists the latest changes with revision, time, operator and what was changed.",
			make:  newCommand[configHistory](),
		},
	}
}

func accountEntries() []entry {
	return []entry{
		{name: "list", short: "list accounts", long: "Lists accounts with their rates and live keys.", make: newCommand[accountList]()},
		{name: "show", short: "show an account", long: "Shows an account with its routes and keys.", make: newCommand[accountShow]()},
	}
}

func keyEntries() []entry {
	return []entry{
		{name: "list", short: "list keys", long: "Lists keys by account; secrets are not kept.", make: newCommand[keyList]()},
		{name: "issue", short: "issue a key", long: "Issues a key for an account and prints it once.", make: newCommand[keyIssue]()},
		{
			name:  "withdraw",
			short: "withdraw a key",
			long:  "Withdraws a key and waits until each VM has confirmed it or its freshness lease has run out.",
			make:  newCommand[keyWithdraw](),
		},
	}
}

func upstreamEntries() []entry {
	return []entry{
		{name: "list", short: "list upstreams", long: "Lists upstreams with what all VMs have in flight there.", make: newCommand[upstreamList]()},
		{
			name:  "drain",
			short: "have an upstream take no new work",
			long:  "Marks an upstream as leaving in its team's answers, and waits until nothing is in flight there.",
			make:  newCommand[upstreamDrain](),
		},
	}
}

func vmSubEntries() []entry {
	return []entry{
		{name: "list", short: "list VMs", long: "Lists VMs with role, state, revision and age of their copy.", make: newCommand[vmList]()},
		{name: "drain", short: "have a VM take no new work", long: "Makes a VM unready and has it transfer its leadership to other keepers.", make: newCommand[vmDrain]()},
	}
}

func credentialEntries() []entry {
	return []entry{
		{name: "list", short: "list operators", long: "Lists operators.", make: newCommand[operatorList]()},
		{name: "add", short: "add an operator", long: "Adds an operator, or replaces its token, and writes the token to a file.", make: newCommand[operatorAdd]()},
		{name: "remove", short: "remove an operator", long: "Removes an operator and waits until no VM takes its token.", make: newCommand[operatorRemove]()},
	}
}

func jobEntries() []entry {
	return []entry{
		{name: "list", short: "list jobs", long: "Lists the jobs with work left, or all of an account, and which are at risk of missing their due time.", make: newCommand[jobList]()},
		{name: "show", short: "show a job", long: "Shows a job.", make: newCommand[jobShow]()},
		{name: "cancel", short: "cancel a job", long: "Cancels a job; items that are done stay readable.", make: newCommand[jobCancel]()},
	}
}

func placementEntries() []entry {
	return []entry{
		{name: "list", short: "list what is loaded", long: "Lists what each upstream holds, its role, and orders whose outcome is not known yet.", make: newCommand[placementList]()},
		{name: "explain", short: "explain decisions", long: "Explains each decision since the current leader's term began, or those about one upstream or artifact.", make: newCommand[placementExplain]()},
	}
}
