// Package commander is the command line of operators and callers.
//
// Each verb is one file with the same parts in the same order: its name, its
// usage (a struct that go-arg fills and prints help from), its constructor and
// its work. One table lists all verbs; help and dispatch come from it. To add
// a verb, write its file and add its line to the table.
//
//	code := commander.Main(ctx, []string{"check", "services.jsonc"}, env)
package commander
