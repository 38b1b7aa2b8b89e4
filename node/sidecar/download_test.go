package sidecar

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const (
	bufferedLength = 500_000 // is read whole by the owner
	streamedLength = 20 << 20
)

// largeBody returns a body whose every part differs from the others.
func largeBody(length int) []byte {
	var b bytes.Buffer
	for i := 0; b.Len() < length; i++ {
		_, _ = fmt.Fprintf(&b, "line %d\n", i)
	}
	return b.Bytes()[:length]
}

// serveLarge answers with a body, of which it leaves out the end.
func serveLarge(body []byte, missing int) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
		_, _ = w.Write(body[:len(body)-missing])
		if missing > 0 {
			panic(http.ErrAbortHandler)
		}
	}
}

// startDownload sends a request for a large answer and returns its connection.
func startDownload(t *testing.T, entry *testNode) (net.Conn, *bufio.Reader) {
	conn, err := net.Dial("tcp", entry.settings.Callers)
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = conn.Close() })
	_ = conn.(*net.TCPConn).SetReadBuffer(32 << 10)
	_, err = io.WriteString(conn, "GET /safe/large HTTP/1.1\r\nHost: back\r\nX-Id: large\r\nX-Deadline: 15000\r\n\r\n")
	qt.Assert(t, err, qt.IsNil)
	return conn, bufio.NewReader(conn)
}

func TestDownloadsAreWhole(t *testing.T) {
	entry, ownerA, _ := startEntryAndOwners(t)
	for _, length := range []int{maxInlineAnswer, maxInlineAnswer + 1, bufferedLength, streamedLength} {
		body := largeBody(length)
		ownerA.target.onRequest(serveLarge(body, 0))
		a := entry.call(http.MethodGet, "back", "/safe/large")
		qt.Assert(t, a.status, qt.Equals, http.StatusOK)
		qt.Assert(t, a.body == string(body), qt.IsTrue, qt.Commentf("%d bytes", length))
	}
}

// A download that breaks off before anything was passed on is sent to another
// target.
func TestBrokenDownloadIsRetriedWhileItIsBuffered(t *testing.T) {
	entry, ownerA, ownerB := startEntryAndOwners(t)
	body := largeBody(bufferedLength)
	ownerA.target.onRequest(serveLarge(body, 1))
	ownerB.target.onRequest(serveLarge(body, 0))
	a := entry.call(http.MethodGet, "back", "/safe/large")
	qt.Assert(t, a.status, qt.Equals, http.StatusOK)
	qt.Assert(t, a.body == string(body), qt.IsTrue)
	qt.Assert(t, ownerA.target.requests(), qt.HasLen, 1)
	qt.Assert(t, ownerB.target.requests(), qt.HasLen, 1)
}

func TestBrokenStreamedDownloadNeverLooksWhole(t *testing.T) {
	entry, ownerA, _ := startEntryAndOwners(t)
	for _, missing := range []int{1, streamedLength / 2, streamedLength - 100_000} {
		ownerA.target.onRequest(serveLarge(largeBody(streamedLength), missing))
		_, reader := startDownload(t, entry)
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			continue // broken off before the header was passed on
		}
		_, err = io.Copy(io.Discard, response.Body)
		qt.Assert(t, err, qt.IsNotNil, qt.Commentf("%d bytes missing", missing))
	}
}

// The target sends at the pace of the caller, whose slot it keeps. A caller that
// leaves ends the transfer.
func TestCallerThatLeavesEndsTheDownload(t *testing.T) {
	entry, ownerA, _ := startEntryAndOwners(t)
	ended := make(chan error, 1)
	ownerA.target.onRequest(func(w http.ResponseWriter, r *http.Request) {
		part := make([]byte, 64<<10)
		for {
			if _, err := w.Write(part); err != nil {
				ended <- err
				return
			}
		}
	})
	conn, reader := startDownload(t, entry)
	_, err := http.ReadResponse(reader, nil)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, ownerA.owner.report().InFlight, qt.Equals, uint16(1))
	_ = conn.Close()
	<-ended
	eventually(t, "the slot is free", func() bool { return ownerA.owner.report().InFlight == 0 })
}

// A target that has sent its whole answer is free for the next call, however slowly
// the caller reads.
func TestBufferedDownloadFreesTheSlotAtOnce(t *testing.T) {
	entry, ownerA, _ := startEntryAndOwners(t)
	body := largeBody(maxInlineAnswer * 7)
	ownerA.target.onRequest(serveLarge(body, 0))
	held := make([]*bufio.Reader, 6)
	for i := range held {
		_, held[i] = startDownload(t, entry)
	}
	eventually(t, "all have run", func() bool { return len(ownerA.target.requests()) == len(held) })
	eventually(t, "the slots are free", func() bool { return ownerA.owner.report().InFlight == 0 })
	for _, reader := range held {
		response, err := http.ReadResponse(reader, nil)
		qt.Assert(t, err, qt.IsNil)
		got, err := io.ReadAll(response.Body)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, bytes.Equal(got, body), qt.IsTrue)
	}
}

// A caller that stops reading for longer than a silent peer is given must still get
// the rest of its answer, also if the owner has sent all of it by then.
func TestDownloadOutlastsAPauseOfItsCaller(t *testing.T) {
	const pause = 4 * time.Second
	for _, length := range []int{bufferedLength, streamedLength / 4, streamedLength} {
		t.Run(strconv.Itoa(length), func(t *testing.T) {
			t.Parallel()
			entry, ownerA, _ := startEntryAndOwners(t)
			body := largeBody(length)
			ownerA.target.onRequest(serveLarge(body, 0))
			_, reader := startDownload(t, entry)
			response, err := http.ReadResponse(reader, nil)
			qt.Assert(t, err, qt.IsNil)
			time.Sleep(pause)
			got, err := io.ReadAll(response.Body)
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, bytes.Equal(got, body), qt.IsTrue)
		})
	}
}
