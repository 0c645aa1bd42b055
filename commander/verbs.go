package commander

// tableEntry is one verb with its name, help text and constructor.
type tableEntry struct {
	name      string
	help      string
	construct func() verb
}

// verbs lists all verbs in the order the help shows them.
func verbs() []tableEntry {
	return []tableEntry{
		{checkName, "Check a configuration file and list all problems.", newCheck},
		{diffName, "Show which entries differ between two configurations.", newDiff},
		{resolveName, "Show which service a caller's name refers to and what that service depends on.", newResolve},
		{showName, "Print the configuration in force, an earlier one, or the recent edits.", newShow},
		{applyName, "Apply an edited configuration.", newApply},
		{queryName, "Send a search or an operation to a daemon.", newQuery},
		{statusName, "Show the status of every daemon.", newStatus},
		{explainName, "Show where a daemon would send a request now and why, without sending it.", newExplain},
		{demoName, "Run a platform, upstreams and daemons in one process and check their guarantees.", newDemo},
		{loadName, "Run a scenario at a steady rate and optionally compare it with naive policies.", newLoad},
		{standinName, "Run a stand-in for the platform, or for an upstream.", newStandin},
		{soakName, "Inject faults into a fleet of almondstep-entry daemons and check what callers and servers observe.", newSoak},
		{rollbackName, "Apply an earlier configuration again, as a new revision.", newRollback},
	}
}
