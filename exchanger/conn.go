package exchanger

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"almondstep"
)

// errMalformed says that bytes came that are no answer.
var errMalformed = errors.New("malformed answer")

// conn is a connection to an upstream. A goroutine of its own reads it, so that
// an idle one is found closed, or sending what nobody asked for.
type conn struct {
	net.Conn
	client *Client
	reader *bufio.Reader
	limit  *limiter
	// used says that a call before this one was answered on the connection.
	used  bool
	began time.Time

	heard   atomic.Int64
	dead    atomic.Bool
	idleFor atomic.Int64

	mu      sync.Mutex
	pending *pending
}

// pending is the call whose answer comes next.
type pending struct {
	method string
	// limit bounds the body of the answer, in bytes.
	limit int64
	done  chan received
}

// received is an answer, or why there is none.
type received struct {
	response *almondstep.ResponseMessage
	reusable bool
	err      error
}

func newConn(raw net.Conn, c *Client) *conn {
	limit := &limiter{from: raw, left: maxHeadBytes}
	cn := &conn{Conn: raw, client: c, reader: bufio.NewReader(limit), limit: limit}
	cn.heard.Store(time.Now().UnixNano())
	cn.idleFor.Store(int64(c.IdleTimeout))
	go cn.read()
	return cn
}

func (cn *conn) lastHeard() time.Time { return time.Unix(0, cn.heard.Load()) }

// usable says that an idle connection may carry a call.
func (cn *conn) usable(now time.Time) bool {
	return !cn.dead.Load() && now.Sub(cn.lastHeard()) < time.Duration(cn.idleFor.Load())
}

func (cn *conn) close() {
	cn.dead.Store(true)
	_ = cn.Close()
}

// begin expects the answer to a call.
func (cn *conn) begin(method string, limit int64) <-chan received {
	cn.used = !cn.began.IsZero()
	cn.began = time.Now()
	w := &pending{method: method, limit: limit, done: make(chan received, 1)}
	cn.mu.Lock()
	defer cn.mu.Unlock()
	cn.pending = w
	return w.done
}

// send writes a call and says how much of it may have reached the upstream.
func (cn *conn) send(ctx context.Context, call []byte) (int, error) {
	deadline, _ := ctx.Deadline()
	if err := cn.SetWriteDeadline(deadline); err != nil {
		return 0, err
	}
	return cn.Write(call)
}

// read takes one answer after the other until the connection can't be used.
func (cn *conn) read() {
	for {
		_, err := cn.reader.Peek(1)
		cn.mu.Lock()
		w := cn.pending
		cn.pending = nil
		cn.mu.Unlock()
		if w == nil {
			cn.close()
			return
		}
		if err != nil {
			w.done <- received{err: err}
			return
		}
		cn.heard.Store(time.Now().UnixNano())
		got := cn.answer(w)
		cn.heard.Store(time.Now().UnixNano())
		w.done <- got
		if got.err != nil || !got.reusable {
			return
		}
	}
}

// answer reads one whole answer. Of bytes without end no more is read than an
// answer may have.
func (cn *conn) answer(w *pending) received {
	resp, err := cn.finalHead(w.method)
	if err != nil {
		return received{err: errors.Mark(err, errMalformed)}
	}
	defer func() { _ = resp.Body.Close() }()
	cn.limit.left = maxHeadBytes
	whole, err := cn.client.held.readBody(body{Reader: resp.Body, limit: cn.limit}, resp.ContentLength, w.limit)
	// The next answer's head may come at any time.
	cn.limit.left = maxHeadBytes
	if err != nil {
		if !cn.limit.broken {
			err = errors.Mark(err, errMalformed)
		}
		return received{err: err}
	}
	cn.keepAlive(resp.Header.Get("Keep-Alive"))
	return received{
		response: &almondstep.ResponseMessage{Status: resp.StatusCode, Header: fields(resp.Header), Body: whole},
		reusable: !resp.Close && cn.reader.Buffered() == 0,
	}
}

// finalHead reads the head of the final answer; interim ones are skipped.
func (cn *conn) finalHead(method string) (*http.Response, error) {
	for range maxInterim + 1 {
		resp, err := http.ReadResponse(cn.reader, &http.Request{Method: method})
		if err != nil {
			return nil, err
		}
		if resp.StatusCode >= http.StatusOK {
			return resp, nil
		}
	}
	return nil, errors.New("too many interim answers")
}

// idleMargin is how much sooner than the upstream this side stops using an idle
// connection.
const idleMargin = 500 * time.Millisecond

// keepAlive takes in how long the upstream keeps the connection open.
//
// Example: "timeout=5, max=100" keeps it for 4.5 s.
func (cn *conn) keepAlive(value string) {
	for _, p := range strings.Split(value, ",") {
		name, n, ok := strings.Cut(strings.TrimSpace(p), "=")
		if !ok || !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(n); err == nil && seconds > 0 {
			cn.idleFor.Store(int64(time.Duration(seconds)*time.Second - idleMargin))
		}
	}
}
