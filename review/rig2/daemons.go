//go:build review2

package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// machine is one daemon process on a loopback address of its own.
type machine struct {
	name, zone, ip string
	ports          ports
	settings       string
	log            *os.File

	mu  sync.Mutex
	cmd *exec.Cmd
}

// ports are the same on all machines.
type ports struct{ Front, Ready, Control, First, Last int }

const (
	// portCount is the number of consecutive ports of a machine.
	portCount = 6
	firstPort = 12_000
	lastPort  = 30_000
)

var errNoPorts = errors.New("no free ports")

// freePorts finds consecutive ports that are free on all addresses.
func freePorts(ips []string) (ports, error) {
	const tries = 200
	for range tries {
		from := firstPort + rand.IntN((lastPort-firstPort)/portCount)*portCount
		if areFree(ips, from) {
			return ports{Front: from, Ready: from + 1, Control: from + 2, First: from + 3, Last: from + portCount - 1}, nil
		}
	}
	return ports{}, errNoPorts
}

func areFree(ips []string, from int) bool {
	for _, ip := range ips {
		for port := from; port < from+portCount; port++ {
			l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, port))
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}
	return true
}

// startMachines starts the machines of a small deployment, perZone in each zone.
func startMachines(names *wireNames, directory, executable, store string, perZone int) ([]*machine, error) {
	regions := map[string]string{"jhb-north": "gauteng", "cpt-central": "western-cape", "dbn-coast": "kwazulu-natal"}
	var all []*machine
	var ips []string
	for z, zone := range zones() {
		for i := range perZone {
			m := &machine{name: fmt.Sprintf("front-%s-%d", zone, i+1), zone: zone, ip: fmt.Sprintf("127.0.%d.%d", z+11, i+1)}
			all = append(all, m)
			ips = append(ips, m.ip)
		}
	}
	p, err := freePorts(ips)
	if err != nil {
		return nil, err
	}
	for _, m := range all {
		m.ports = p
		m.settings = filepath.Join(directory, m.name+".toml")
		text := render("settings.toml", map[string]any{
			"Node": m.name, "IP": m.ip, "Zone": m.zone, "Region": regions[m.zone], "Ports": p, "Store": store,
		})
		if err := os.WriteFile(m.settings, text, 0o600); err != nil {
			return nil, err
		}
		if m.log, err = os.Create(filepath.Join(directory, m.name+".log")); err != nil {
			return nil, err
		}
		if err := m.start(names, executable); err != nil {
			return all, err
		}
	}
	return all, nil
}

func zones() []string { return []string{"jhb-north", "cpt-central", "dbn-coast"} }

func (m *machine) front() string { return fmt.Sprintf("%s:%d", m.ip, m.ports.Front) }

// start starts the process as the deploy file does.
func (m *machine) start(names *wireNames, executable string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.cmd = exec.Command(executable)
	m.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), names.SettingsVariable + "=" + m.settings}
	m.cmd.Stdout, m.cmd.Stderr = m.log, m.log
	return m.cmd.Start()
}

// stop kills the process and waits for its end.
func (m *machine) stop() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.cmd != nil && m.cmd.Process != nil {
		_ = m.cmd.Process.Signal(syscall.SIGKILL)
		_ = m.cmd.Wait()
	}
	_ = m.log.Close()
}

var errNotReady = errors.New("a machine isn't ready in time")

// waitReady waits until all machines answer the readiness check with 200.
func waitReady(names *wireNames, all []*machine, timeout time.Duration) error {
	client := &http.Client{Timeout: time.Second}
	end := time.Now().Add(timeout)
	for _, m := range all {
		for !m.isReady(names, client) {
			if time.Now().After(end) {
				return errors.Wrap(errNotReady, m.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

func (m *machine) isReady(names *wireNames, client *http.Client) bool {
	resp, err := client.Get(fmt.Sprintf("http://%s:%d%s", m.ip, m.ports.Ready, names.ReadyPath))
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
