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
		{checkName, "Check an operators' text and list all problems.", newCheck},
		{diffName, "Show which entries differ between two texts.", newDiff},
		{resolveName, "Show what a caller's name means and what it depends on.", newResolve},
		{showName, "Print the text in force, a former one, or the recent edits.", newShow},
		{applyName, "Put an edited text in force.", newApply},
		{queryName, "Ask a daemon for a search or an operation.", newQuery},
		{statusName, "Show what every daemon says of itself.", newStatus},
		{demoName, "Show the whole path in one process and check what it promises.", newDemo},
		{loadName, "Run a scenario under a steady rate, beside naive policies.", newLoad},
		{standinName, "Run a stand-in for the platform, or for an upstream.", newStandin},
		{soakName, "Let faults befall daemons of the users' platform and check what callers and servers see.", newSoak},
		{rollbackName, "Put a former text in force again, as a new revision.", newRollback},
	}
}
