package commander

// tableEntry is one verb: its name, what it does, and how it is made.
type tableEntry struct {
	name      string
	help      string
	construct func() verb
}

// verbs lists all verbs in the order of the help.
func verbs() []tableEntry {
	return []tableEntry{
		{checkName, "Check an operators' text and list all problems.", newCheck},
		{diffName, "Show which entries differ between two texts.", newDiff},
		{resolveName, "Show what a caller's name means and what it depends on.", newResolve},
		{showName, "Print the text in force, a former one, or the recent edits.", newShow},
		{applyName, "Put an edited text in force.", newApply},
		{rollbackName, "Put a former text in force again, as a new revision.", newRollback},
	}
}
