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

// errMalformed marks errors of reading a response that isn't valid HTTP or is too
// long.
var errMalformed = errors.New("malformed response")

// conn is a connection to an upstream. It has its own reading goroutine, which
// detects that an idle connection was closed or received unsolicited bytes.
type conn struct {
	net.Conn
	client *Client
	reader *bufio.Reader
	limit  *limitedReader
	// used is whether a call before this one was answered on the connection.
	used  bool
	began time.Time

	readAt      atomic.Int64
	dead        atomic.Bool
	idleTimeout atomic.Int64

	mu      sync.Mutex
	pending *pending
}

// pending is the call whose response is read next.
type pending struct {
	method string
	// limit bounds the body of the response, in bytes.
	limit int64
	done  chan received
}

// received is a response, or the reason why there is none.
type received struct {
	response *almondstep.ResponseMessage
	reusable bool
	err      error
}

func newConn(raw net.Conn, c *Client) *conn {
	limit := &limitedReader{reader: raw, left: maxHeadBytes}
	cn := &conn{Conn: raw, client: c, reader: bufio.NewReader(limit), limit: limit}
	cn.readAt.Store(time.Now().UnixNano())
	cn.idleTimeout.Store(int64(c.IdleTimeout))
	go cn.read()
	return cn
}

func (cn *conn) lastRead() time.Time { return time.Unix(0, cn.readAt.Load()) }

// usable reports whether an idle connection may carry a call.
func (cn *conn) usable(now time.Time) bool {
	return !cn.dead.Load() && now.Sub(cn.lastRead()) < time.Duration(cn.idleTimeout.Load())
}

func (cn *conn) close() {
	cn.dead.Store(true)
	_ = cn.Close()
}

// begin registers a call as the one whose response is read next.
func (cn *conn) begin(method string, limit int64) <-chan received {
	cn.used = !cn.began.IsZero()
	cn.began = time.Now()
	w := &pending{method: method, limit: limit, done: make(chan received, 1)}
	cn.mu.Lock()
	defer cn.mu.Unlock()
	cn.pending = w
	return w.done
}

// send writes a call and returns how many bytes of it may have reached the
// upstream.
func (cn *conn) send(ctx context.Context, call []byte) (int, error) {
	deadline, _ := ctx.Deadline()
	if err := cn.SetWriteDeadline(deadline); err != nil {
		return 0, err
	}
	return cn.Write(call)
}

// read reads responses until the connection can't be used any more.
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
		cn.readAt.Store(time.Now().UnixNano())
		got := cn.readResponse(w)
		cn.readAt.Store(time.Now().UnixNano())
		w.done <- got
		if got.err != nil || !got.reusable {
			return
		}
	}
}

// readResponse reads one whole response. Of an endless response no more is read than
// the limits allow.
func (cn *conn) readResponse(w *pending) received {
	resp, err := cn.readFinalHead(w.method)
	if err != nil {
		return received{err: errors.Mark(err, errMalformed)}
	}
	defer func() { _ = resp.Body.Close() }()
	cn.limit.left = maxHeadBytes
	whole, err := cn.client.memory.readBody(body{Reader: resp.Body, limit: cn.limit}, resp.ContentLength, w.limit)
	// The next response's head may arrive at any time.
	cn.limit.left = maxHeadBytes
	if err != nil {
		if !cn.limit.failed {
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

// readFinalHead reads the head of the final response and skips interim ones.
func (cn *conn) readFinalHead(method string) (*http.Response, error) {
	for range maxInterimResponses + 1 {
		resp, err := http.ReadResponse(cn.reader, &http.Request{Method: method})
		if err != nil {
			return nil, err
		}
		if resp.StatusCode >= http.StatusOK {
			return resp, nil
		}
	}
	return nil, errors.New("too many interim responses")
}

// idleMargin is how long before the upstream's keep-alive timeout an idle
// connection is no longer used.
const idleMargin = 500 * time.Millisecond

// keepAlive sets the idle timeout by the value of a Keep-Alive field.
//
// Example: "timeout=5, max=100" sets it to 4.5 s.
func (cn *conn) keepAlive(value string) {
	for _, p := range strings.Split(value, ",") {
		name, n, ok := strings.Cut(strings.TrimSpace(p), "=")
		if !ok || !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(n); err == nil && seconds > 0 {
			cn.idleTimeout.Store(int64(time.Duration(seconds)*time.Second - idleMargin))
		}
	}
}
