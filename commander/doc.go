// Package commander implements the command line of operators and callers.
//
// Each verb has its own file with the same layout: its name, its arguments (a
// struct that go-arg fills and generates help from), its constructor and its run
// method. Help and dispatch use one table of all verbs. To add a verb, write its
// file and add its line to the table.
//
//	code := commander.Main(ctx, []string{"check", "services.jsonc"}, env)
package commander
