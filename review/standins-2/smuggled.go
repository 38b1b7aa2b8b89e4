package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

func init() { cases["smuggled"] = playSmuggled }

const (
	// partBytes is what the client sends of a body before it pauses.
	partBytes = 300_000
	// pause is how long it sends nothing. Its deadline is later.
	pause = 11 * time.Second
)

// playSmuggled: a client uploads a file whose content looks like a request from some byte on,
// and sends nothing for a while before that byte.
func playSmuggled(e *env) (verdict, error) {
	store, err := e.store()
	if err != nil {
		return verdict{}, err
	}
	store.put("op/config", configDocument(7, []routeSpec{
		{"upload", "documents.example", "/up/", "upload", "documents", 40_000, 2500, 1},
	}, "documents"))
	m1, err := e.machine("side-a-1", "z-a", "documents", store)
	if err != nil {
		return verdict{}, err
	}
	docs := newInstance(m1, "i-1aaaaaaa", "documents", 10*time.Millisecond, e.record)
	if err := m1.start(); err != nil {
		return verdict{}, err
	}
	if err := docs.start(); err != nil {
		return verdict{}, err
	}
	if err := awaitReady(15*time.Second, m1); err != nil {
		return verdict{}, err
	}
	time.Sleep(4 * time.Second)
	const uploads = 3
	answers := make(chan []string, uploads)
	sent := map[string]bool{}
	for n := range uploads {
		id := newID()
		sent[id] = true
		go func() {
			time.Sleep(time.Duration(n) * 300 * time.Millisecond)
			answers <- upload(e, m1, id)
		}()
	}
	for range uploads {
		for _, line := range <-answers {
			e.record.add("%s", line)
		}
	}
	time.Sleep(500 * time.Millisecond)
	whole, foreign, first := 0, 0, ""
	for _, r := range docs.allRuns() {
		switch {
		case sent[r.id]:
			whole++
		default:
			foreign++
			if first == "" {
				first = fmt.Sprintf("the first: %s %s with the id %s", r.method, r.uri, r.id)
			}
		}
	}
	if foreign > 0 {
		return verdict{true, fmt.Sprintf("UNASKED: the instance ran %d requests that were bytes of the body of an upload; %s", foreign, first)}, nil
	}
	if !e.trouble && whole != uploads {
		return verdict{}, fmt.Errorf("%d of %d uploads ran", whole, uploads)
	}
	return verdict{false, fmt.Sprintf("%d uploads ran and nothing else", whole)}, nil
}

// upload sends one upload and returns what the client saw.
func upload(e *env, m *machine, id string) []string {
	var seen []string
	say := func(format string, args ...any) { seen = append(seen, "upload "+id+": "+fmt.Sprintf(format, args...)) }
	conn, err := net.Dial("tcp", m.outbound)
	if err != nil {
		say("%v", err)
		return seen
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(30 * time.Second))
	inner := "POST /up/inner HTTP/1.1\r\nHost: documents.example\r\nX-Zinniafall-Request-Id: inner-" + id + "\r\nX-Zinniafall-Deadline-Ms: 5000\r\nContent-Length: 5\r\n\r\ninner"
	body := append(bytes.Repeat([]byte("a line of a plan\n"), partBytes/17+1)[:partBytes], (inner + strings.Repeat("\r\nthe rest of the plan", 100))...)
	_, _ = fmt.Fprintf(conn, "POST /up/plan HTTP/1.1\r\nHost: documents.example\r\nX-Zinniafall-Request-Id: %s\r\nX-Zinniafall-Deadline-Ms: 30000\r\nContent-Length: %d\r\n\r\n", id, len(body))
	if _, err = conn.Write(body[:partBytes]); err != nil {
		say("%v", err)
		return seen
	}
	e.record.add("upload %s: client has sent %d of %d bytes", id, partBytes, len(body))
	if e.trouble {
		time.Sleep(pause)
	}
	_, err = conn.Write(body[partBytes:])
	e.record.add("upload %s: client has sent the rest (error: %v)", id, err)
	reader := bufio.NewReader(conn)
	for {
		_ = conn.SetReadDeadline(time.Now().Add(3 * time.Second))
		r, err := http.ReadResponse(reader, nil)
		if err != nil {
			say("no further answer (%v)", err)
			return seen
		}
		text, err := io.ReadAll(r.Body)
		say("answer %d for request %q: %q (%v)", r.StatusCode, r.Header.Get("X-Zinniafall-Request-Id"), text, err)
	}
}
