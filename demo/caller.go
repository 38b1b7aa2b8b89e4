package demo

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"zinniafall/node/entry"
	"zinniafall/node/execute"
	"zinniafall/standin/target"
)

// caller makes one call.
type caller struct {
	load    *load
	account *account
	due     time.Time
	sent    time.Time
	id      string
	kind    kind
	service string
	entries []string
}

func (c *caller) draw(random *rand.Rand) {
	g := c.load.fleet.plan.groups[random.IntN(len(c.load.fleet.plan.groups))]
	c.service = g.service
	if random.Float64() < shareOfWrites {
		c.kind = plainWrite
		if random.Float64() < shareOfKeyed {
			c.kind = keyedWrite
		}
	}
	for range resendLimit + 1 {
		c.entries = append(c.entries, c.load.fleet.nodes[random.IntN(len(c.load.fleet.nodes))].url)
	}
}

// answer is what came back.
type answer struct {
	status  int
	run     string
	kind    string
	body    string
	elapsed time.Duration
	err     error
}

func (c *caller) run() {
	c.sent = time.Now()
	key := ""
	if c.kind == keyedWrite {
		key = c.requestKey()
	}
	a := c.send(c.entries[0], key)
	for i := 1; key != "" && a.run == "unknown" && i <= resendLimit; i++ {
		a = c.send(c.entries[i], key)
	}
	c.finish(a)
}

// requestKey asks an entry for a key; without one the call goes without.
func (c *caller) requestKey() string {
	request, _ := http.NewRequest(http.MethodPost, c.entries[0]+entry.KeysPath, nil)
	request.Header.Set(entry.HeaderAccountKey, c.account.key)
	response, err := c.load.client.Do(request)
	if err != nil {
		return ""
	}
	defer func() { _ = response.Body.Close() }()
	var issued struct {
		Keys []string `json:"keys"`
	}
	if json.NewDecoder(response.Body).Decode(&issued) != nil || len(issued.Keys) == 0 {
		return ""
	}
	return issued.Keys[0]
}

func (c *caller) send(base, key string) answer {
	method, body := http.MethodGet, ""
	if c.kind != lookup {
		method, body = http.MethodPost, "body of "+c.id
	}
	request, _ := http.NewRequest(method, base+"/things/"+c.id, onceBody{strings.NewReader(body)})
	request.ContentLength = int64(len(body))
	request.Header.Set(entry.HeaderAccountKey, c.account.key)
	request.Header.Set(entry.HeaderService, c.service)
	request.Header.Set(execute.HeaderTimeout, strconv.FormatInt(callTimeout.Milliseconds(), 10))
	request.Header.Set(target.CallHeader, c.id)
	if key != "" {
		request.Header.Set(entry.HeaderRequestKey, key)
	}
	response, err := c.load.client.Do(request)
	if err != nil {
		return answer{err: err, run: "unknown", kind: "connection"}
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return answer{err: err, run: "unknown", kind: "cut off"}
	}
	elapsed, _ := strconv.ParseInt(response.Header.Get(target.ElapsedHeader), 10, 64)
	a := answer{status: response.StatusCode, run: response.Header.Get(entry.HeaderRun), body: string(text), elapsed: time.Duration(elapsed) * time.Microsecond}
	if a.status != http.StatusOK {
		var p struct {
			Kind string `json:"kind"`
		}
		_ = json.Unmarshal(text, &p)
		a.kind = p.Kind
	}
	return a
}

// finish records what the caller was told.
func (c *caller) finish(a answer) {
	l := c.load
	total := time.Since(c.due)
	failed := a.status != http.StatusOK
	if !failed && !strings.HasPrefix(a.body, fmt.Sprintf("%s /things/%s %s", c.service, c.id, c.id)) {
		l.wrong.Add(1)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.records = append(l.records, record{
		id: c.id, kind: c.kind, run: a.run, problem: a.kind, due: c.due, latency: total, failed: failed,
	})
	if c.due.Before(l.measuredFrom) {
		return
	}
	l.total.Add(1)
	c.account.note(total, failed)
	recordLatency(l.late, c.sent.Sub(c.due))
	if !failed {
		recordLatency(l.added, total-a.elapsed)
		return
	}
	l.failed.Add(1)
	l.failures[a.kind+"/"+a.run]++
	switch a.run {
	case "no":
		l.notRun.Add(1)
	case "unknown":
		l.unknown.Add(1)
	}
}

// onceBody hides the kind of a body from net/http, which would send a GET again
// by itself when a kept connection closes; the run state of the second answer
// says nothing of the first sending.
type onceBody struct{ io.Reader }

// Close does nothing.
func (onceBody) Close() error { return nil }
