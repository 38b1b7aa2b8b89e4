package main

import (
	"bufio"
	"fmt"
	"net"
	"regexp"
	"time"
)

func init() { cases["status"] = playStatus }

// statusLine is the status line of an answer in HTTP/1.1.
var statusLine = regexp.MustCompile(`^HTTP/1\.1 [1-5][0-9][0-9] [^\r\n]*\r\n$`)

// playStatus: one of two instances spoils the status of each 50th answer.
func playStatus(e *env) (verdict, error) {
	store, err := e.store()
	if err != nil {
		return verdict{}, err
	}
	store.put("op/config", configDocument(7, []routeSpec{
		{"pay", "permits.example", "/pay/", "unsafe", "permits", 1000, 400, 2},
	}, "permits"))
	m1, err := e.machine("side-a-1", "z-a", "permits", store)
	if err != nil {
		return verdict{}, err
	}
	m2, err := e.machine("side-a-2", "z-a", "permits", store)
	if err != nil {
		return verdict{}, err
	}
	p1 := newInstance(m1, "i-1aaaaaaa", "permits", 5*time.Millisecond, e.record)
	p2 := newInstance(m2, "i-2bbbbbbb", "permits", 5*time.Millisecond, e.record)
	if e.trouble {
		p1.spoilEach = 50
	}
	for _, start := range []func() error{m1.start, m2.start, p1.start, p2.start} {
		if err := start(); err != nil {
			return verdict{}, err
		}
	}
	if err := awaitReady(15*time.Second, m1, m2); err != nil {
		return verdict{}, err
	}
	time.Sleep(4 * time.Second)
	const requests = 400
	lines, bad, first := map[string]int{}, 0, ""
	for range requests {
		id := newID()
		line, err := payOnce(m1.outbound, id)
		if err != nil {
			e.record.add("request %s: %v", id, err)
			continue
		}
		e.record.add("request %s: the client gets %q", id, line)
		lines[line]++
		if !statusLine.MatchString(line) {
			bad++
			if first == "" {
				first = fmt.Sprintf("the first: %q for request %s", line, id)
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
	e.record.add("status lines: %v", lines)
	if bad > 0 {
		return verdict{true, fmt.Sprintf("MIXED: %d of %d clients got bytes that are no answer in the protocol; %s", bad, requests, first)}, nil
	}
	return verdict{false, fmt.Sprintf("%d requests had answers in the protocol, or none", requests)}, nil
}

// payOnce sends one request on a connection of its own and returns the first line of the answer.
func payOnce(addr, id string) (string, error) {
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		return "", err
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(2 * time.Second))
	_, _ = fmt.Fprintf(conn, "POST /pay/1 HTTP/1.1\r\nHost: permits.example\r\nX-Zinniafall-Request-Id: %s\r\nX-Zinniafall-Deadline-Ms: 1000\r\nContent-Length: 3\r\n\r\npay", id)
	return bufio.NewReader(conn).ReadString('\n')
}
