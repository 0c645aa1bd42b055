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
	"almondstep/rationer"
)

// errMalformed marks the errors of a response that isn't valid HTTP, has an incomplete
// head, or exceeds a limit of its length or of the memory.
var errMalformed = errors.New("malformed response")

// conn is a connection to an upstream. A goroutine of its own reads from it, and so
// detects that the connection was closed or received unsolicited bytes while idle.
type conn struct {
	net.Conn
	client  *Client
	reader  *bufio.Reader
	limited *limitedReader
	// reused is whether an earlier call was answered on the connection; began is when the
	// current or last call began.
	reused bool
	began  time.Time

	// readAt is when bytes were last received, or when the connection was opened, in
	// nanoseconds of Unix time.
	readAt atomic.Int64
	dead   atomic.Bool
	// idleTimeout is the maximum time since readAt at which the connection is reused, in
	// nanoseconds.
	idleTimeout atomic.Int64

	mu sync.Mutex
	// pending is nil if no response is expected or one is being read.
	pending *pending
}

// pending is the call whose response is read next.
type pending struct {
	method       string
	maxBodyBytes int64
	done         chan received
}

// received is a response, or the error that prevented it. reusable is whether the
// connection may carry another call.
type received struct {
	response *almondstep.ResponseMessage
	reusable bool
	err      error
}

func newConn(raw net.Conn, c *Client) *conn {
	limited := &limitedReader{reader: raw, head: rationer.Head{Budget: &c.memory}}
	limited.beginHead()
	cn := &conn{Conn: raw, client: c, reader: bufio.NewReader(limited), limited: limited}
	cn.readAt.Store(time.Now().UnixNano())
	cn.idleTimeout.Store(int64(c.IdleTimeout))
	go cn.read()
	return cn
}

func (cn *conn) lastRead() time.Time { return time.Unix(0, cn.readAt.Load()) }

// usable reports whether an idle connection is open and within its idle timeout.
func (cn *conn) usable(now time.Time) bool {
	return !cn.dead.Load() && now.Sub(cn.lastRead()) < time.Duration(cn.idleTimeout.Load())
}

func (cn *conn) close() {
	cn.dead.Store(true)
	_ = cn.Close()
}

// closeWrite closes the sending side, which the upstream sees as the end of the connection.
func (cn *conn) closeWrite() error {
	half, ok := cn.Conn.(interface{ CloseWrite() error })
	if !ok {
		return errors.New("the connection can't be closed on one side")
	}
	return half.CloseWrite()
}

// begin registers a call as the one whose response is read next. The response or an error
// is sent on the returned channel.
func (cn *conn) begin(method string, maxBodyBytes int64) <-chan received {
	cn.reused = !cn.began.IsZero()
	cn.began = time.Now()
	p := &pending{method: method, maxBodyBytes: maxBodyBytes, done: make(chan received, 1)}
	cn.mu.Lock()
	defer cn.mu.Unlock()
	cn.pending = p
	return p.done
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

// read reads responses until the connection fails or can't be reused. It closes the
// connection if anything, or its end, is received while no response is expected.
func (cn *conn) read() {
	defer cn.limited.head.Release()
	for {
		_, err := cn.reader.Peek(1)
		cn.mu.Lock()
		p := cn.pending
		cn.pending = nil
		cn.mu.Unlock()
		if p == nil {
			cn.close()
			return
		}
		if err != nil {
			p.done <- received{err: cn.mark(err)}
			return
		}
		cn.readAt.Store(time.Now().UnixNano())
		got := cn.readResponse(p)
		cn.readAt.Store(time.Now().UnixNano())
		p.done <- got
		if got.err != nil || !got.reusable {
			return
		}
	}
}

// readResponse reads one whole response. It stops reading one that exceeds a limit.
func (cn *conn) readResponse(p *pending) received {
	defer cn.limited.beginHead()
	resp, err := cn.readFinalHead(p.method)
	if err != nil {
		return received{err: errors.Mark(err, errMalformed)}
	}
	defer func() { _ = resp.Body.Close() }()
	cn.limited.beginBody()
	memory := &cn.client.memory
	whole, held, err := memory.ReadAll(body{Reader: resp.Body, limited: cn.limited}, resp.ContentLength, p.maxBodyBytes)
	defer memory.Release(held)
	if err != nil {
		return received{err: cn.mark(err)}
	}
	cn.keepAlive(resp.Header.Get("Keep-Alive"))
	return received{
		response: &almondstep.ResponseMessage{Status: resp.StatusCode, Header: headerOf(resp.Header), Body: whole},
		reusable: !resp.Close && cn.reader.Buffered() == 0,
	}
}

// mark marks an error as errMalformed unless the connection itself failed or ended.
func (cn *conn) mark(err error) error {
	if cn.limited.failed {
		return err
	}
	return errors.Mark(err, errMalformed)
}

// readFinalHead reads the head of the final response and skips interim responses. A response
// with a status that is neither ends the reading: what follows it on the connection can't be
// told from an answer.
func (cn *conn) readFinalHead(method string) (*http.Response, error) {
	for range maxInterimResponses + 1 {
		resp, err := http.ReadResponse(cn.reader, &http.Request{Method: method})
		switch {
		case err != nil:
			return nil, err
		case almondstep.IsFinalStatus(resp.StatusCode):
			return resp, nil
		case !isInterim(resp.StatusCode):
			return nil, errors.Newf("status %03d isn't one of a response", resp.StatusCode)
		}
	}
	return nil, errors.New("too many interim responses")
}

// isInterim reports whether another response follows one with this status. After 101 it would
// be in another protocol.
func isInterim(status int) bool {
	return status >= http.StatusContinue && status < http.StatusOK && status != http.StatusSwitchingProtocols
}

// idleMargin is how long before the upstream's keep-alive timeout an idle
// connection is no longer used.
const idleMargin = 500 * time.Millisecond

// maxKeepAlive bounds the keep-alive timeout that an upstream may announce, in seconds.
const maxKeepAlive = 3600

// keepAlive sets the idle timeout according to the value of a Keep-Alive field.
//
// Example: "timeout=5, max=100" sets it to 4.5 s.
func (cn *conn) keepAlive(value string) {
	for _, param := range strings.Split(value, ",") {
		name, n, ok := strings.Cut(strings.TrimSpace(param), "=")
		if !ok || !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(n); err == nil && seconds > 0 {
			cn.idleTimeout.Store(int64(time.Duration(min(seconds, maxKeepAlive))*time.Second - idleMargin))
		}
	}
}
