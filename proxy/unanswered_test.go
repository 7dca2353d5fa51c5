package proxy

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"oxbowloft/internal/standin"
)

// answerSlack is how late a response may be in these tests: for the way over loopback and
// for a busy machine. The proxy itself reserves a fiftieth of the time for the way back.
const answerSlack = time.Second

// Size of a burst.
const (
	burstClients  = 150
	burstRequests = 4 // per client, one after the other

	// burstSockets is ample for a connection of each client and of each attempt. If
	// descriptors were short, idle connections would be closed, and a request could cross
	// such a close.
	burstSockets = 1024
)

// setDescriptorLimit changes the descriptor limit of a proxy that does not run yet.
func (p *Proxy) setDescriptorLimit(sockets int) {
	p.limitsMu.Lock()
	defer p.limitsMu.Unlock()
	p.limits.Sockets = sockets
	p.applyLimits()
}

// burstClient sends its requests on one connection, which it keeps as long as it can. It
// waits for each response, or for the end of the request's time.
type burstClient struct {
	addr   string
	rng    *rand.Rand
	conn   net.Conn
	reader *bufio.Reader
}

// connect opens a connection unless there is one.
func (c *burstClient) connect() error {
	if c.conn != nil {
		return nil
	}
	conn, err := net.Dial("tcp", c.addr)
	if err != nil {
		return err
	}
	c.conn, c.reader = conn, bufio.NewReader(conn)
	return nil
}

func (c *burstClient) close() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}

// request makes one request of a class, with a budget, and returns the status of its
// response. An error means that there was no response within the budget and the slack.
func (c *burstClient) request(id, class string, budget time.Duration) (status int, err error) {
	if err := c.connect(); err != nil {
		return 0, err
	}
	request := strings.Replace(requestText(class, int(budget.Milliseconds())), "X-Request-ID: 1", "X-Request-ID: "+id, 1)
	c.conn.SetDeadline(time.Now().Add(budget + answerSlack))
	if _, err := io.WriteString(c.conn, request); err != nil {
		return 0, err
	}
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return 0, fmt.Errorf("head: %w", err)
	}
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0, fmt.Errorf("body: %w", err)
	}
	if resp.Close {
		c.close()
	}
	return resp.StatusCode, nil
}

// badBackend is a kind of backend failure that costs a request time, or its response.
type badBackend struct {
	name   string
	handle func(*standin.Call)
}

// badBackends hang, fail and respond late, at different points of the exchange.
var badBackends = []badBackend{
	{"hangs", (*standin.Call).Hang},
	{"hangs in the head", func(c *standin.Call) {
		c.WriteRaw("HTTP/1.1 200 OK\r\nContent-Le")
		c.Hang()
	}},
	{"hangs in the body", func(c *standin.Call) {
		c.WriteRaw(lengthHead(9) + "half")
		c.Hang()
	}},
	{"trickles the body", (*standin.Call).TrickleBody},
	{"resets", (*standin.Call).Reset},
	{"resets in the body", func(c *standin.Call) {
		c.WriteRaw(lengthHead(9) + "half")
		c.Reset()
	}},
	{"closes", (*standin.Call).Close},
	{"answers late", func(c *standin.Call) {
		time.Sleep(time.Duration(c.Number%5) * 300 * time.Millisecond)
		standin.Echo(c)
	}},
	{"answers an error late", func(c *standin.Call) {
		time.Sleep(time.Duration(c.Number%5) * 300 * time.Millisecond)
		c.Reply(500, "late")
	}},
}

// burstResult counts how the requests of a burst ended.
type burstResult struct {
	mu         sync.Mutex
	answered   map[int]int // by status
	unanswered []string
}

func (t *burstResult) add(id, class string, budget time.Duration, status int, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if err != nil {
		t.unanswered = append(t.unanswered, fmt.Sprintf("%s of class %s with %v: %v", id, class, budget, err))
		return
	}
	t.answered[status]++
}

// runBurst lets all clients send requests concurrently, each with its own budgets, and
// waits for the last.
func runBurst(addr string) *burstResult {
	out := &burstResult{answered: map[int]int{}}
	var clients sync.WaitGroup
	for number := range burstClients {
		clients.Go(func() {
			c := &burstClient{addr: addr, rng: rand.New(rand.NewPCG(1, uint64(number)))}
			defer c.close()
			for turn := range burstRequests {
				id := fmt.Sprintf("%d-%d", number, turn)
				class := []string{"get", "put", "pay"}[c.rng.IntN(3)]
				budget := time.Duration(300+c.rng.IntN(1700)) * time.Millisecond
				status, err := c.request(id, class, budget)
				out.add(id, class, budget, status, err)
				if err != nil {
					c.close()
				}
			}
		})
	}
	clients.Wait()
	return out
}

// Whatever backends do, each request whose client stays has a final response within its
// time: during a burst, with all backends failing in the same way, and with one failing
// in each way. Prevents attempts without a timeout, and requests that are lost between
// queues.
func TestNoRequestIsLeftUnanswered(t *testing.T) {
	threeOf := func(handle func(*standin.Call)) []func(*standin.Call) {
		return []func(*standin.Call){handle, handle, handle}
	}
	var all []func(*standin.Call)
	cases := map[string][]func(*standin.Call){}
	for _, bad := range badBackends {
		cases["each "+bad.name] = threeOf(bad.handle)
		all = append(all, bad.handle)
	}
	cases["one of each kind, and two healthy"] = append(all, standin.Echo, standin.Echo)
	for name, handles := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var targets []string
			for number, handle := range handles {
				b := standin.NewBackend(t, handle)
				targets = append(targets, standin.TargetJSON(fmt.Sprintf("s-%d", number), b.Addr()))
			}
			p := listenProxy(t, standin.ListJSON(1, true, targets...), "127.0.0.1:1")
			p.cfg.Grace = time.Millisecond
			p.setDescriptorLimit(burstSockets)
			defer startProxy(t, p)()
			result := runBurst(p.Addr().String())
			t.Logf("responses by status: %v", result.answered)
			if n := len(result.unanswered); n > 0 {
				t.Errorf("%d of %d requests have no response: %s", n, burstClients*burstRequests, result.unanswered[0])
			}
		})
	}
}
