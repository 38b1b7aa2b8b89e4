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

// call is one call of a client account, sent as an HTTP request.
type call struct {
	generator *generator
	account   *account
	due       time.Time
	sent      time.Time
	id        string
	kind      kind
	service   string
	entryURLs []string
}

// randomize draws the service, the kind and the entry nodes of the call.
func (c *call) randomize(random *rand.Rand) {
	g := c.generator.fleet.spec.groups[random.IntN(len(c.generator.fleet.spec.groups))]
	c.service = g.service
	if random.Float64() < writeFraction {
		c.kind = plainWrite
		if random.Float64() < keyedFraction {
			c.kind = keyedWrite
		}
	}
	for range maxResends + 1 {
		c.entryURLs = append(c.entryURLs, c.generator.fleet.members[random.IntN(len(c.generator.fleet.members))].url)
	}
}

// callResult is the response to a call, or the error that replaced it.
type callResult struct {
	status   int
	runState string
	kind     string
	body     string
	elapsed  time.Duration
	err      error
}

// run sends the call. A keyed call whose run state is unknown is sent again
// through other entry nodes.
func (c *call) run() {
	c.sent = time.Now()
	key := ""
	if c.kind == keyedWrite {
		key = c.requestKey()
	}
	result := c.send(c.entryURLs[0], key)
	for i := 1; key != "" && result.runState == "unknown" && i <= maxResends; i++ {
		result = c.send(c.entryURLs[i], key)
	}
	c.record(result)
}

// requestKey asks the first entry node for a request key. It returns "" on
// failure; the call is then sent without a key.
func (c *call) requestKey() string {
	request, _ := http.NewRequest(http.MethodPost, c.entryURLs[0]+entry.KeysPath, nil)
	request.Header.Set(entry.HeaderAccountKey, c.account.key)
	response, err := c.generator.client.Do(request)
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

// send sends the call through one entry node, with the request key if it is not
// empty.
func (c *call) send(entryURL, key string) callResult {
	method, body := http.MethodGet, ""
	if c.kind != lookup {
		method, body = http.MethodPost, "body of "+c.id
	}
	request, _ := http.NewRequest(method, entryURL+"/things/"+c.id, nonReplayableBody{strings.NewReader(body)})
	request.ContentLength = int64(len(body))
	request.Header.Set(entry.HeaderAccountKey, c.account.key)
	request.Header.Set(entry.HeaderService, c.service)
	request.Header.Set(execute.HeaderTimeout, strconv.FormatInt(callTimeout.Milliseconds(), 10))
	request.Header.Set(target.CallHeader, c.id)
	if key != "" {
		request.Header.Set(entry.HeaderRequestKey, key)
	}
	response, err := c.generator.client.Do(request)
	if err != nil {
		return callResult{err: err, runState: "unknown", kind: "connection"}
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return callResult{err: err, runState: "unknown", kind: "cut off"}
	}
	elapsed, _ := strconv.ParseInt(response.Header.Get(target.ElapsedHeader), 10, 64)
	result := callResult{status: response.StatusCode, runState: response.Header.Get(entry.HeaderRun), body: string(text), elapsed: time.Duration(elapsed) * time.Microsecond}
	if result.status != http.StatusOK {
		var problem struct {
			Kind string `json:"kind"`
		}
		_ = json.Unmarshal(text, &problem)
		result.kind = problem.Kind
	}
	return result
}

// record stores what the caller was told and updates the metrics.
func (c *call) record(result callResult) {
	g := c.generator
	total := time.Since(c.due)
	failed := result.status != http.StatusOK
	if !failed && !strings.HasPrefix(result.body, fmt.Sprintf("%s /things/%s %s", c.service, c.id, c.id)) {
		g.wrongAnswers.Add(1)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.records = append(g.records, callRecord{
		id: c.id, kind: c.kind, runState: result.runState, problem: result.kind, due: c.due, latency: total, failed: failed,
	})
	if c.due.Before(g.measureFrom) {
		return
	}
	g.total.Add(1)
	c.account.observe(total, failed)
	recordLatency(g.sendDelay, c.sent.Sub(c.due))
	if !failed {
		recordLatency(g.addedLatency, total-result.elapsed)
		return
	}
	g.failed.Add(1)
	g.failures[result.kind+"/"+result.runState]++
	switch result.runState {
	case "no":
		g.notRun.Add(1)
	case "unknown":
		g.unknown.Add(1)
	}
}

// nonReplayableBody hides the concrete type of a body, so that net/http cannot
// replay it. Otherwise net/http resends a GET by itself when an idle connection
// closes, and the run state in the second response says nothing about the first
// attempt.
type nonReplayableBody struct{ io.Reader }

// Close does nothing.
func (nonReplayableBody) Close() error { return nil }
