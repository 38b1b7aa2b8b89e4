package world

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Sent is one request of a client with what came back.
type Sent struct {
	ID, Machine, Method, Path string
	At, AnsweredAt            time.Time
	Status                    int
	Signature                 string
	Err                       error
}

// Clients sends requests on one machine at a steady rate.
type Clients struct {
	Node     *Node
	Method   string
	Host     string
	Path     string
	Body     string
	Deadline time.Duration
	Every    time.Duration
	Key      string // of the tenant, if any

	client http.Client
	wait   sync.WaitGroup
	mu     sync.Mutex
	sent   []Sent
}

var lastRequest atomic.Int64

// Run sends requests until the context ends, and waits for their answers.
func (c *Clients) Run(ctx context.Context) {
	// A connection for each request: over a used one the library might send a request again.
	c.client.Transport = &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	ticker := time.NewTicker(c.Every)
	defer ticker.Stop()
	defer c.wait.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		c.wait.Go(c.send)
	}
}

func (c *Clients) send() {
	c.mu.Lock()
	node := c.Node
	c.mu.Unlock()
	s := Sent{ID: fmt.Sprintf("%016x", lastRequest.Add(1)+0x1c41d07b00000000), Machine: node.Name, Method: c.Method, Path: c.Path, At: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), c.Deadline)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, c.Method, "http://"+node.Outbound()+c.Path, strings.NewReader(c.Body))
	if err != nil {
		s.Err = err
		c.add(s)
		return
	}
	r.Host = c.Host
	r.Header.Set("X-Zinniafall-Request-Id", s.ID)
	r.Header.Set("X-Zinniafall-Deadline-Ms", fmt.Sprint(c.Deadline.Milliseconds()))
	if c.Key != "" {
		r.Header.Set("Authorization", "Bearer "+c.Key)
	}
	response, err := c.client.Do(r)
	if err == nil {
		s.Status, s.Signature = response.StatusCode, response.Header.Get("X-Zinniafall-Upstream-Signature")
		_, err = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
	}
	s.Err, s.AnsweredAt = err, time.Now()
	c.add(s)
}

// Move moves the clients to another machine.
func (c *Clients) Move(n *Node) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.Node = n
}

func (c *Clients) add(s Sent) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sent = append(c.sent, s)
}

// Sent returns the requests that are over.
func (c *Clients) Sent() []Sent {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]Sent(nil), c.sent...)
}
