package commander_test

import (
	"context"
	"flag"
	"net"
	"os"
	"sync"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"almondstep"
	"almondstep/applier"
	"almondstep/commander"
	"almondstep/messenger"
	"almondstep/standin/platform"
)

var update = flag.Bool("update", false, "rewrite the golden files")

// TestMain lets a script run the command as a separate process.
func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"almondstep": func() {
			os.Exit(commander.Main(context.Background(), os.Args[1:], &commander.Env{
				Stdin: os.Stdin, Stdout: os.Stdout, Stderr: os.Stderr, User: "ana",
			}))
		},
	})
}

// TestGoldenSessions runs complete operator sessions. A script's "platform"
// controls a stand-in platform, and "daemons" starts two daemons: one that applies
// the platform's configuration, and one that stays at revision 1. A third daemon of
// the platform's list doesn't answer.
func TestGoldenSessions(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:                 "testdata",
		UpdateScripts:       *update,
		RequireExplicitExec: true,
		RequireUniqueNames:  true,
		Setup: func(env *testscript.Env) error {
			s := &session{}
			env.Values[sessionKey{}] = s
			env.Defer(s.stop)
			examples, err := os.Getwd()
			env.Setenv("EXAMPLES", examples+"/../examples")
			return err
		},
		Cmds: map[string]func(ts *testscript.TestScript, neg bool, args []string){
			"platform": platformCommand,
			"daemons":  daemonsCommand,
		},
	})
}

type sessionKey struct{}

// session is the platform and the daemons of one script.
type session struct {
	server *platform.Server
	cancel []func()
	group  sync.WaitGroup
}

func (s *session) stop() {
	for _, cancel := range s.cancel {
		cancel()
	}
	s.group.Wait()
}

func listen(ts *testscript.TestScript) net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	ts.Check(err)
	return l
}

// platformCommand starts the platform, switches its failures on and off, or
// restores its older data.
func platformCommand(ts *testscript.TestScript, _ bool, args []string) {
	s := ts.Value(sessionKey{}).(*session)
	switch args[0] {
	case "start":
		l := listen(ts)
		s.server = &platform.Server{Listener: l}
		ctx, cancel := context.WithCancel(context.Background())
		s.cancel = append(s.cancel, cancel)
		s.group.Go(func() { _ = s.server.Run(ctx) })
		ts.Setenv("PLATFORM", l.Addr().String())
	case "sound":
		s.server.SetSwitches(platform.Switches{})
	case "outage":
		s.server.SetSwitches(platform.Switches{Outage: true})
	case "lostanswers":
		s.server.SetSwitches(platform.Switches{LostAnswers: true})
	case "older":
		if !s.server.Rollback(applier.Key, 1) {
			ts.Fatalf("no older data")
		}
	default:
		ts.Fatalf("unknown: platform %s", args[0])
	}
}

// daemonsCommand starts the two daemons and writes the platform's list of daemons.
func daemonsCommand(ts *testscript.TestScript, _ bool, _ []string) {
	s := ts.Value(sessionKey{}).(*session)
	follower := &daemon{id: "follower", platform: s.server}
	laggard := &daemon{id: "laggard"}
	s.server.SetFleet(almondstep.Fleet{Daemons: []almondstep.DaemonVM{
		{ID: follower.id, Addr: s.serve(ts, follower)},
		{ID: laggard.id, Addr: s.serve(ts, laggard)},
		{ID: "lost", Addr: "127.0.0.1:1"},
	}})
}

// serve serves a daemon's peer protocol until the script ends.
func (s *session) serve(ts *testscript.TestScript, d *daemon) almondstep.Address {
	l := listen(ts)
	server := &messenger.Server{Peer: d}
	server.Init()
	s.cancel = append(s.cancel, func() { _ = l.Close() })
	s.group.Go(func() { _ = server.Serve(l) })
	return almondstep.Address(l.Addr().String())
}

// daemon implements only the Status call.
type daemon struct {
	almondstep.PeerServer
	id almondstep.DaemonID
	// platform is the source of the configuration; nil leaves the daemon at revision 1.
	platform *platform.Server
}

func (d *daemon) Status(context.Context) (*almondstep.DaemonStatus, error) {
	if d.platform == nil {
		return &almondstep.DaemonStatus{Daemon: d.id, Revision: 1}, nil
	}
	e, err := applier.DecodeEnvelope(d.platform.Entry(applier.Key).Value)
	if err != nil {
		return nil, err
	}
	return &almondstep.DaemonStatus{Daemon: d.id, Revision: e.Revision}, nil
}
