//go:build review3

package main

import (
	"bytes"
	"embed"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"text/template"
	"time"

	"almondstep/platform/standin"
)

//go:embed names.json settings.tmpl config.tmpl service.tmpl
var files embed.FS

// names are the words of the users' protocol; only platform/ has them in its source.
type names struct {
	SettingsVariable string
	ConfigKey        string
	ServerPrefix     string
	RequestID        string
	Deadline         string
	ColdLeft         string
}

// rig is a small installation: a store, servers and daemons.
type rig struct {
	names   names
	entry   string
	dir     string
	record  *os.File
	started time.Time
	store   *standin.Store
	daemons []*daemon
	servers []*server
	port    int

	mu sync.Mutex
}

func newRig(entry, record string) (*rig, error) {
	r := &rig{entry: entry, started: time.Now(), store: &standin.Store{}}
	text, err := files.ReadFile("names.json")
	if err != nil {
		return nil, err
	}
	if err := json.Unmarshal(text, &r.names); err != nil {
		return nil, err
	}
	if r.record, err = os.Create(record); err != nil {
		return nil, err
	}
	if r.dir, err = os.MkdirTemp("", "rig3-"); err != nil {
		return nil, err
	}
	if r.port, err = freePort(); err != nil {
		return nil, err
	}
	return r, r.store.Start("127.0.0.1:0")
}

// close ends all processes and removes the temporary folder.
func (r *rig) close() {
	for _, d := range r.daemons {
		d.kill()
		d.proxy.close()
	}
	for _, s := range r.servers {
		s.stop()
	}
	r.store.Close()
	_ = os.RemoveAll(r.dir)
	_ = r.record.Close()
}

// note writes a line to the record.
func (r *rig) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.record, "%8.3f s  %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...))
}

// ledgerColdRate is the rate that a cold server of the service without shards tolerates, in requests a second.
const ledgerColdRate = 5

// fill returns a template of this folder, filled in.
func fill(name string, data any) ([]byte, error) {
	t, err := template.ParseFS(files, name)
	if err != nil {
		return nil, err
	}
	var b bytes.Buffer
	err = t.Execute(&b, data)
	return b.Bytes(), err
}

// configure writes a version of the configuration.
func (r *rig) configure(version int, shards []string) error {
	var services bytes.Buffer
	for _, s := range shards {
		text, err := fill("service.tmpl", s)
		if err != nil {
			return err
		}
		services.Write(text)
	}
	list := `"` + strings.Join(shards, `","`) + `"`
	text, err := fill("config.tmpl", map[string]any{
		"Version": version, "ColdPerSecond": ledgerColdRate, "Shards": list, "Services": services.String(),
	})
	if err != nil {
		return err
	}
	r.store.Put(r.names.ConfigKey, text)
	r.note("configuration %d is confirmed", version)
	return nil
}

// The ports of one daemon, from the rig's first port on.
const (
	frontPort = iota
	readyPort
	controlPort
	rangePort
	portsPerDaemon = 8
)

// freePort returns the first of some ports that are free on the addresses of the daemons.
func freePort() (int, error) {
	for port := 21000 + os.Getpid()%500*16; port < 32000; port += portsPerDaemon {
		if portsFree(port) {
			return port, nil
		}
	}
	return 0, fmt.Errorf("no free ports")
}

func portsFree(port int) bool {
	for i := range 16 {
		for n := range portsPerDaemon {
			l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", daemonIP(i), port+n))
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}
	return true
}

// daemonIP is the loopback address of the nth machine.
func daemonIP(n int) string { return fmt.Sprintf("127.0.0.%d", 11+n) }

// daemon is one machine with its process.
type daemon struct {
	rig      *rig
	name     string
	zone     string
	ip       string
	settings string
	log      *os.File
	proxy    *proxy

	pid atomic.Int64

	mu  sync.Mutex
	cmd *exec.Cmd
}

var regions = map[string]string{"jhb-north": "gauteng", "cpt-central": "western-cape", "dbn-coast": "kwazulu-natal"}

// addDaemons starts daemons, all at the same time, in the given zones.
func (r *rig) addDaemons(zones ...string) error {
	for _, zone := range zones {
		n := len(r.daemons)
		p, err := newProxy(r.store.Address())
		if err != nil {
			return err
		}
		d := &daemon{rig: r, name: fmt.Sprintf("front-%s-%d", zone, n), zone: zone, ip: daemonIP(n), proxy: p}
		d.settings = filepath.Join(r.dir, d.name+".toml")
		if d.log, err = os.Create(filepath.Join(r.dir, d.name+".log")); err != nil {
			return err
		}
		r.daemons = append(r.daemons, d)
	}
	for _, d := range r.daemons {
		if err := d.start(true); err != nil {
			return err
		}
	}
	return r.awaitReady()
}

func (r *rig) awaitReady() error {
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, d := range r.daemons {
			if d.isReady() {
				ready++
			}
		}
		if ready == len(r.daemons) {
			r.note("all %d daemons are ready", ready)
			return nil
		}
	}
	return errNotReady
}

func (d *daemon) address(port int) string { return fmt.Sprintf("%s:%d", d.ip, d.rig.port+port) }

func (d *daemon) isReady() bool {
	c := http.Client{Timeout: 500 * time.Millisecond}
	resp, err := c.Get("http://" + d.address(readyPort) + "/-/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// start starts the process; first is whether the whole system starts for the first time.
func (d *daemon) start(first bool) error {
	var seeds []string
	for i, s := range d.rig.daemons {
		if i < 3 {
			seeds = append(seeds, `"`+s.address(controlPort)+`"`)
		}
	}
	text, err := fill("settings.tmpl", map[string]any{
		"Name": d.name, "IP": d.ip, "Zone": d.zone, "Region": regions[d.zone], "First": first,
		"Port": d.rig.port + rangePort, "LastPort": d.rig.port + portsPerDaemon - 1, "Seeds": strings.Join(seeds, ","),
		"Front": d.address(frontPort), "Ready": d.address(readyPort), "Control": d.address(controlPort),
		"Store": d.proxy.address(),
	})
	if err != nil {
		return err
	}
	if err := os.WriteFile(d.settings, text, 0o600); err != nil {
		return err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.cmd = exec.Command(d.rig.entry)
	d.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), d.rig.names.SettingsVariable + "=" + d.settings}
	d.cmd.Stdout, d.cmd.Stderr = d.log, d.log
	if err := d.cmd.Start(); err != nil {
		return err
	}
	d.pid.Store(int64(d.cmd.Process.Pid))
	return nil
}

func (d *daemon) signal(s syscall.Signal) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.cmd != nil && d.cmd.Process != nil {
		_ = d.cmd.Process.Signal(s)
	}
}

// kill ends the process and waits for its end.
func (d *daemon) kill() {
	d.signal(syscall.SIGKILL)
	d.wait()
}

func (d *daemon) wait() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.cmd != nil {
		_ = d.cmd.Wait()
		d.cmd = nil
	}
}
