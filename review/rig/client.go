package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// client sends requests over a connection that it keeps.
type client struct {
	names *names
	conn  net.Conn
	in    *bufio.Reader
	// to is the address to which conn is connected.
	to string
}

// answer is what a client got for a request; err is why it got no complete answer.
type answer struct {
	status int
	header http.Header
	body   []byte
	err    error
	// cut is whether the daemon ended the connection.
	cut bool
}

const clientGrace = time.Second

// send sends one request and waits for its answer.
func (c *client) send(to, method, host, target, id string, deadline time.Duration, body string) answer {
	if c.conn == nil || c.to != to {
		c.close()
		conn, err := net.DialTimeout("tcp", to, time.Second)
		if err != nil {
			return answer{err: err}
		}
		c.conn, c.in, c.to = conn, bufio.NewReader(conn), to
	}
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n", method, target, host, c.names.RequestID, id, c.names.Deadline, deadline.Milliseconds())
	if body != "" {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(body))
	}
	b.WriteString("\r\n" + body)
	_ = c.conn.SetDeadline(time.Now().Add(deadline + clientGrace))
	if _, err := c.conn.Write(b.Bytes()); err != nil {
		c.close()
		return answer{err: err}
	}
	resp, err := http.ReadResponse(c.in, &http.Request{Method: method})
	if err != nil {
		c.close()
		return answer{err: err, cut: true}
	}
	got := answer{status: resp.StatusCode, header: resp.Header}
	if got.body, got.err = io.ReadAll(resp.Body); got.err != nil || resp.Close {
		c.close()
	}
	return got
}

func (c *client) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}
