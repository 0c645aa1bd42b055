//go:build review3

package main

import (
	"bytes"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"time"
)

// arrival is a request that reached a server: when, and from which daemon; nil if that isn't known.
type arrival struct {
	request string
	at      time.Time
	from    *daemon
}

// watch puts a proxy before a server that notes which daemon sends each request: the owner of the
// connection. Call it before the daemons start.
func (s *server) watch() error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	s.front = l
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go s.pass(c)
		}
	}()
	s.write()
	return nil
}

func (s *server) pass(c net.Conn) {
	to, err := net.Dial("tcp", s.Address())
	if err != nil {
		_ = c.Close()
		return
	}
	from := s.rig.ownerOf(c.RemoteAddr())
	go func() {
		p := &proxy{conns: map[net.Conn]bool{}}
		p.pipe(c, to, nil)
	}()
	buffer := make([]byte, 16<<10)
	for {
		n, err := c.Read(buffer)
		s.noteArrivals(buffer[:n], from)
		if n > 0 {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				err = writeErr
			}
		}
		if err != nil {
			_ = c.Close()
			_ = to.Close()
			return
		}
	}
}

// noteArrivals notes the requests in what was read. A daemon sends a request in one piece.
func (s *server) noteArrivals(text []byte, from *daemon) {
	mark := []byte(s.rig.names.RequestID + ": ")
	for {
		_, rest, found := bytes.Cut(text, mark)
		if !found {
			return
		}
		id, _, _ := bytes.Cut(rest, []byte("\r\n"))
		s.mu.Lock()
		s.arrivals = append(s.arrivals, arrival{request: string(id), at: time.Now(), from: from})
		s.mu.Unlock()
		text = rest
	}
}

// ownerOf returns the daemon whose process has the connection with a local address.
func (r *rig) ownerOf(address net.Addr) *daemon {
	tcp, ok := address.(*net.TCPAddr)
	if !ok {
		return nil
	}
	table, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return nil
	}
	socket := ""
	port := fmt.Sprintf(":%04X", tcp.Port)
	for _, line := range strings.Split(string(table), "\n") {
		const local, inode = 1, 9
		if f := strings.Fields(line); len(f) > inode && strings.HasSuffix(f[local], port) && f[inode] != "0" {
			socket = "socket:[" + f[inode] + "]"
		}
	}
	for _, d := range r.daemons {
		if socket != "" && d.hasFile(socket) {
			return d
		}
	}
	return nil
}

// hasFile reports whether the daemon's process has a file open.
func (d *daemon) hasFile(name string) bool {
	pid := d.pid.Load()
	links, _ := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", pid))
	for _, link := range links {
		if to, err := os.Readlink(link); err == nil && to == name {
			return true
		}
	}
	return false
}
