package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// place is a zone and its region.
type place struct{ zone, region string }

// places are those of a small deployment.
func places() []place {
	return []place{{"curico-plant", "maule"}, {"rengo-depot", "ohiggins"}, {"chillan-yard", "nuble"}}
}

// daemon is one process of the deploy file's role.
type daemon struct {
	name         string
	front, ready string
	settings     string
	log          *os.File
	cmd          *exec.Cmd
	exited       chan struct{}
}

// newDaemon writes the settings of the nth daemon. Each daemon has a loopback address of
// its own, and all have the same ports, as on the users' machines. bounds is the table of
// that name.
func newDaemon(n *names, folder string, index int, storeAddress string) (*daemon, error) {
	const ports = 5
	ip := fmt.Sprintf("127.%d.%d.%d", 20+os.Getpid()/250%200, os.Getpid()%250, index+1)
	first, err := freePorts(ip, ports)
	if err != nil {
		return nil, err
	}
	p := places()[index%len(places())]
	address := func(port int) string { return fmt.Sprintf("%s:%d", ip, port) }
	d := &daemon{
		name:  fmt.Sprintf("front-%s-%d", p.zone, index+1),
		front: address(first), ready: address(first + 1),
	}
	d.settings = filepath.Join(folder, d.name+".toml")
	text := fill("settings.toml", map[string]any{
		"Node": d.name, "IP": ip, "Zone": p.zone, "Region": p.region, "FirstPort": first + 3, "LastPort": first + 4,
		"Front": d.front, "Ready": d.ready, "Control": address(first + 2), "Store": storeAddress,
	})
	if err := os.WriteFile(d.settings, text, 0o600); err != nil {
		return nil, err
	}
	d.log, err = os.Create(filepath.Join(folder, d.name+".log"))
	return d, err
}

func freePorts(ip string, n int) (int, error) {
	for from := 7300; from < 30_000; from += n {
		free := true
		for port := from; port < from+n && free; port++ {
			l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, port))
			if free = err == nil; free {
				_ = l.Close()
			}
		}
		if free {
			return from, nil
		}
	}
	return 0, fmt.Errorf("no free ports at %s", ip)
}

// start starts the process with the command of the deploy file.
func (d *daemon) start(n *names) error {
	d.cmd = exec.Command("target/almondstep-entry")
	d.cmd.Env = []string{n.SettingsVariable + "=" + d.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	d.cmd.Stdout, d.cmd.Stderr = d.log, d.log
	if err := d.cmd.Start(); err != nil {
		return err
	}
	d.exited = make(chan struct{})
	go func() {
		_ = d.cmd.Wait()
		close(d.exited)
	}()
	return nil
}

// isReady makes the platform's readiness check.
func (d *daemon) isReady() bool {
	c := &http.Client{Timeout: time.Second}
	resp, err := c.Get("http://" + d.ready + "/-/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	c.CloseIdleConnections()
	return resp.StatusCode == http.StatusOK
}

// awaitReady waits until the daemon is ready.
func (d *daemon) awaitReady() error {
	for began := time.Now(); time.Since(began) < 15*time.Second; time.Sleep(50 * time.Millisecond) {
		if d.isReady() {
			return nil
		}
	}
	return fmt.Errorf("%s isn't ready", d.name)
}

// kill ends the process, if it runs.
func (d *daemon) kill() {
	if d.cmd == nil {
		return
	}
	_ = d.cmd.Process.Signal(syscall.SIGKILL)
	<-d.exited
}
