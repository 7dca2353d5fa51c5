package soak

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"oxbowloft/internal/neterror"
)

// client sends requests to one proxy after another, one at a time.
type client struct {
	run    *run
	rng    *rand.Rand
	number int // of the client in the run

	proxy        int
	conn         net.Conn
	in           *bufio.Reader
	used         bool // the connection has carried a response
	requestCount int
}

func (c *client) loop(ctx context.Context) {
	defer c.closeConn()
	for ctx.Err() == nil {
		switch {
		case c.run.clientFaultActive(ClientsLeave) && c.rng.IntN(3) == 0:
			c.sendAndLeave()
		case c.run.clientFaultActive(BadClients) && c.rng.IntN(3) == 0:
			c.sendMalformed()
		default:
			c.sendRequest()
		}
		pause := time.Duration(c.rng.ExpFloat64() * float64(30*time.Millisecond))
		if c.rng.IntN(40) == 0 {
			pause = time.Second // stays idle until the proxy may close the connection
		}
		time.Sleep(min(pause, 4*time.Second))
	}
}

func (c *client) closeConn() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}

// connect keeps the open connection, or opens one to a ready proxy. It reports whether there is one.
func (c *client) connect() bool {
	if c.conn != nil {
		return true
	}
	proxy, ok := c.run.pickReadyProxy(c.rng)
	if !ok {
		return false
	}
	nc, err := net.DialTimeout("tcp", c.run.proxies[proxy].addr, time.Second)
	if err != nil {
		return false // nothing was sent, so nothing is lost
	}
	c.proxy, c.conn, c.in, c.used = proxy, nc, bufio.NewReader(nc), false
	return true
}

func (c *client) nextRequest() (id string, class Class, budget time.Duration) {
	c.requestCount++
	class = c.run.classes[c.rng.IntN(len(c.run.classes))]
	budget = class.Deadline
	if c.rng.IntN(8) == 0 { // as if the client had used up part of its deadline
		budget = 5*time.Millisecond + time.Duration(c.rng.Int64N(int64(budget)))
	}
	return fmt.Sprintf("c%d-%d", c.number, c.requestCount), class, budget
}

func requestText(id string, class Class, budget time.Duration) string {
	method, tail := "GET", "\r\n"
	if !class.Idempotent {
		method, tail = "POST", "Content-Length: 4\r\n\r\nbody"
	}
	return fmt.Sprintf("%s /api HTTP/1.1\r\nHost: h\r\nX-Request-ID: %s\r\nX-Priority-Class: %s\r\nX-Timeout-Ms: %d\r\n%s",
		method, id, class.Name, budget.Milliseconds(), tail)
}

var errClosedUnread = errors.New("closed between requests")

// sendRequest sends one request and reads the response. A request that crosses the proxy's close of
// an idle connection is sent once more, on a new connection.
func (c *client) sendRequest() {
	id, class, budget := c.nextRequest()
	began := time.Now()
	for again := range 2 {
		if !c.connect() {
			return
		}
		proxy, generation := c.proxy, c.run.generation(c.proxy)
		err := c.exchange(id, class, budget, again == 0)
		if err == nil {
			return
		}
		c.closeConn()
		if !errors.Is(err, errClosedUnread) {
			return
		}
		if time.Since(began) > budget+answerSlack { // no proxy has answered in time
			c.run.recorder.RequestLost(id, "closed unread after the deadline", c.run.excuse(proxy, generation, false))
			return
		}
	}
}

func (c *client) exchange(id string, class Class, budget time.Duration, mayRetry bool) error {
	recorder, proxy := c.run.recorder, c.proxy
	generation := c.run.generation(proxy)
	recorder.RequestSent(id, class, proxy, budget)
	c.conn.SetDeadline(time.Now().Add(budget + answerSlack + time.Second))
	_, err := io.WriteString(c.conn, requestText(id, class, budget))
	var resp *http.Response
	if err == nil {
		resp, err = http.ReadResponse(c.in, nil)
	}
	var body []byte
	if err == nil {
		body, err = io.ReadAll(resp.Body)
	}
	if err == nil {
		recorder.ResponseReceived(id, resp.StatusCode, string(body))
		c.used = true
		if resp.Close {
			c.closeConn()
		}
		return nil
	}
	unread := c.used || c.run.isFlooded(proxy) // the proxy may have closed the connection without reading
	closedUnread := mayRetry && unread && resp == nil && !recorder.ReachedBackend(id) && !neterror.IsDeadline(err)
	if closedUnread {
		return errClosedUnread
	}
	recorder.RequestLost(id, "no complete response: "+err.Error(), c.run.excuse(proxy, generation, resp != nil))
	return err
}

// sendAndLeave sends a request and closes the connection some milliseconds later.
func (c *client) sendAndLeave() {
	id, class, budget := c.nextRequest()
	if !c.connect() {
		return
	}
	c.run.recorder.RequestSent(id, class, c.proxy, budget)
	io.WriteString(c.conn, requestText(id, class, budget))
	time.Sleep(time.Duration(c.rng.Int64N(int64(20 * time.Millisecond))))
	if c.rng.IntN(2) == 0 {
		resetConn(c.conn)
	}
	c.closeConn()
	c.run.recorder.ClientLeft(id)
}

// malformedTimeout is the time within which a client that sent a malformed request must get a
// response or a close.
const malformedTimeout = 3*time.Second + 300*time.Millisecond

// sendMalformed sends an incomplete or malformed request and keeps the connection open: the proxy
// must send an error or close it in time.
func (c *client) sendMalformed() {
	id, class, budget := c.nextRequest()
	c.closeConn()
	if !c.connect() {
		return
	}
	generation, text := c.run.generation(c.proxy), requestText(id, class, budget)
	switch c.rng.IntN(4) {
	case 0:
		io.WriteString(c.conn, text[:len(text)/2])
	case 1:
		io.WriteString(c.conn, "nonsense\r\n\r\n")
	case 2: // pipelined requests with one ID: neither is served
		c.run.recorder.RequestSent(id, class, c.proxy, budget)
		io.WriteString(c.conn, text+text)
	case 3:
		io.WriteString(c.conn, "POST /api HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n")
	}
	began := time.Now()
	c.conn.SetReadDeadline(began.Add(malformedTimeout + 2*time.Second))
	if _, err := io.Copy(io.Discard, c.conn); neterror.IsDeadline(err) && c.run.excuse(c.proxy, generation, false) == "" {
		c.run.recorder.AddViolation(RuleBadClient, fmt.Sprintf("proxy %d kept the connection with a malformed request open for %v", c.proxy, time.Since(began)))
	}
	c.closeConn()
}
