package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["smuggled"] = playSmuggled }

const (
	// partBytes is what arrives of a body before the machine is cut off.
	partBytes = 300_000
	// cutTime is how long the machine is cut off from its clients.
	cutTime = 11 * time.Second
	// uploadDeadline is how long a client waits for its answer.
	uploadDeadline = 8 * time.Second
	// segmentBytes and roundTrip are how bytes arrive that a partition held up.
	segmentBytes = 1460
	roundTrip    = 16 * time.Millisecond
)

// playSmuggled: clients upload files whose content looks like a request from some byte on. The
// machine is cut off from them as that byte is due. They give up at their deadline.
func playSmuggled(e *env) (verdict, error) {
	store, err := e.store()
	if err != nil {
		return verdict{}, err
	}
	store.put("op/config", configDocument(7, []routeSpec{
		{"upload", "documents.example", "/up/", "upload", "documents", 8000, 2500, 2},
	}, "documents"))
	m1, err := e.machine("side-a-1", "z-a", "documents", store)
	if err != nil {
		return verdict{}, err
	}
	docs := newInstance(m1, "i-1aaaaaaa", "documents", 10*time.Millisecond, e.record)
	instances := []*instance{docs}
	if err := m1.start(); err != nil {
		return verdict{}, err
	}
	if err := docs.start(); err != nil {
		return verdict{}, err
	}
	// Two more machines, so that the one that is cut off is at most 0.35 of all.
	for n, zone := range []string{"z-a", "z-b"} {
		m, err := e.machine(fmt.Sprintf("side-%d", n+2), zone, "documents", store)
		if err != nil {
			return verdict{}, err
		}
		i := newInstance(m, fmt.Sprintf("i-%dbbbbbbb", n+2), "documents", 10*time.Millisecond, e.record)
		if err := m.start(); err != nil {
			return verdict{}, err
		}
		if err := i.start(); err != nil {
			return verdict{}, err
		}
		instances = append(instances, i)
	}
	if err := awaitReady(15*time.Second, e.machines...); err != nil {
		return verdict{}, err
	}
	time.Sleep(4 * time.Second)
	const uploads = 3
	sent := map[string]bool{}
	var wg sync.WaitGroup
	for range uploads {
		id := newID()
		sent[id] = true
		wg.Add(1)
		go func() {
			defer wg.Done()
			upload(e, m1, id)
		}()
	}
	wg.Wait()
	time.Sleep(500 * time.Millisecond)
	whole, foreign, first := 0, 0, ""
	for _, i := range instances {
		for _, r := range i.allRuns() {
			if sent[r.id] {
				whole++
				continue
			}
			foreign++
			if first == "" {
				first = fmt.Sprintf("the first: %s %s with the id %s", r.method, r.uri, r.id)
			}
		}
	}
	if foreign > 0 {
		return verdict{true, fmt.Sprintf("UNASKED: instances ran %d requests that were bytes of the body of an upload; %s", foreign, first)}, nil
	}
	if !e.trouble && whole != uploads {
		return verdict{}, fmt.Errorf("%d of %d uploads ran", whole, uploads)
	}
	return verdict{false, fmt.Sprintf("%d uploads ran and nothing else", whole)}, nil
}

// upload sends one upload through a link that is cut after partBytes of its body, and returns
// when all of it has arrived.
func upload(e *env, m *machine, id string) {
	inner := "POST /up/inner HTTP/1.1\r\nHost: documents.example\r\nX-Zinniafall-Request-Id: inner-" + id + "\r\nX-Zinniafall-Deadline-Ms: 5000\r\nContent-Length: 5\r\n\r\ninner"
	body := append(bytes.Repeat([]byte("a line of a plan\n"), partBytes/17+1)[:partBytes], (inner + strings.Repeat("\r\nthe rest of the plan", 100))...)
	head := fmt.Sprintf("POST /up/plan HTTP/1.1\r\nHost: documents.example\r\nX-Zinniafall-Request-Id: %s\r\nX-Zinniafall-Deadline-Ms: %d\r\nContent-Length: %d\r\n\r\n", id, uploadDeadline.Milliseconds(), len(body))
	cutAt := -1
	if e.trouble {
		cutAt = len(head) + partBytes
	}
	link, arrived, err := startLink(e, m.outbound, cutAt)
	if err != nil {
		e.record.add("upload %s: %v", id, err)
		return
	}
	conn, err := net.Dial("tcp", link)
	if err != nil {
		e.record.add("upload %s: %v", id, err)
		return
	}
	_ = conn.SetDeadline(time.Now().Add(uploadDeadline))
	e.record.add("upload %s: client sends %d bytes of body", id, len(body))
	_, err = io.WriteString(conn, head+string(body))
	e.record.add("upload %s: client has sent all (error: %v)", id, err)
	r, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err == nil {
		text, err := io.ReadAll(r.Body)
		e.record.add("upload %s: answer %d: %q (%v)", id, r.StatusCode, text, err)
	} else {
		e.record.add("upload %s: client gives up at its deadline and closes its connection (%v)", id, err)
	}
	_ = conn.Close()
	<-arrived
	e.record.add("upload %s: all bytes and the close have arrived at %s", id, m.name)
}

// startLink carries one connection to an address and returns its own. After cutAt bytes nothing
// passes in either direction for cutTime; then what was held up arrives by and by. arrived is
// closed when the close of the connection has passed.
func startLink(e *env, to string, cutAt int) (addr string, arrived chan struct{}, err error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", nil, err
	}
	arrived = make(chan struct{})
	go func() {
		defer close(arrived)
		in, err := l.Accept()
		_ = l.Close()
		if err != nil {
			return
		}
		out, err := net.Dial("tcp", to)
		if err != nil {
			_ = in.Close()
			return
		}
		healed := make(chan struct{})
		if cutAt < 0 {
			close(healed)
		}
		go func() { // answers
			buffer := make([]byte, 32<<10)
			for {
				n, err := out.Read(buffer)
				<-healed
				if n > 0 {
					if _, werr := in.Write(buffer[:n]); werr != nil {
						return
					}
				}
				if err != nil {
					_ = in.Close()
					return
				}
			}
		}()
		if cutAt < 0 {
			_, _ = io.Copy(out, in)
		} else {
			_, _ = io.CopyN(out, in, int64(cutAt))
			e.record.add("link: the machine is cut off from the client for %v", cutTime)
			time.Sleep(cutTime)
			e.record.add("link: the cut has healed")
			close(healed)
			segment := make([]byte, segmentBytes)
			for {
				n, err := io.ReadFull(in, segment)
				if n > 0 {
					_, _ = out.Write(segment[:n])
				}
				if err != nil {
					break
				}
				time.Sleep(roundTrip)
			}
		}
		_ = out.Close()
	}()
	return l.Addr().String(), arrived, nil
}
