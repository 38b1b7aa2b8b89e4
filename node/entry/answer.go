package entry

import (
	"encoding/json"
	"io"
	"math"
	"net"
	"net/http"
	"strconv"
	"sync"

	"zinniafall/node/execute"
	"zinniafall/node/peer"
	"zinniafall/policy/problem"
)

// copyBufferSize is the size in bytes of the buffers that copy answer bodies.
const copyBufferSize = 32 << 10

var copyBufferPool = sync.Pool{New: func() any { return new([copyBufferSize]byte) }}

// writeReply writes an answer to the caller. If the body ends early, it
// aborts the connection or stream, so that the caller cannot mistake a
// partial answer for a complete one. A body of unknown length is flushed after
// each read. It does not close the reply.
func writeReply(w http.ResponseWriter, r *http.Request, reply *execute.Reply) {
	if reply.Answer.Problem != nil {
		writeProblem(w, reply.Answer.Problem)
		return
	}
	header := w.Header()
	peer.AddFields(header, reply.Answer.Header)
	header.Set(HeaderRun, string(reply.Answer.Run))
	if reply.Answer.Length >= 0 {
		header.Set("Content-Length", strconv.FormatInt(reply.Answer.Length, 10))
	}
	w.WriteHeader(reply.Answer.Status)
	if reply.Body == nil {
		return
	}
	if err := copyBody(w, reply.Body, reply.Answer.Length < 0); err != nil {
		if !r.ProtoAtLeast(1, 1) && reply.Answer.Length < 0 {
			reset(w)
		}
		panic(http.ErrAbortHandler)
	}
}

// reset closes the connection with a reset. A caller with HTTP/1.0 takes a regular end for that
// of a body without a length.
func reset(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

// copyBody copies until io.EOF. If flush is set, it flushes after each read:
// an answer of unknown length may be a stream that the target sends piece by
// piece.
func copyBody(w http.ResponseWriter, body io.Reader, flush bool) error {
	buffer := copyBufferPool.Get().(*[copyBufferSize]byte)
	defer copyBufferPool.Put(buffer)
	for {
		n, err := body.Read(buffer[:])
		if n > 0 {
			if _, werr := w.Write(buffer[:n]); werr != nil {
				return werr
			}
			if flush {
				_ = http.NewResponseController(w).Flush()
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// problemBody is the JSON form of a problem (RFC 9457).
type problemBody struct {
	Type         string       `json:"type"`
	Title        string       `json:"title"`
	Status       int          `json:"status"`
	Detail       string       `json:"detail"`
	Kind         problem.Kind `json:"kind"`
	Run          string       `json:"run"`
	Remedy       string       `json:"remedy"`
	RetryAfterMs int64        `json:"retry_after_ms,omitempty"`
}

// writeProblem writes a problem as the answer to a call.
func writeProblem(w http.ResponseWriter, p *problem.Error) {
	countProblem(p)
	header := w.Header()
	header.Set("Content-Type", "application/problem+json")
	header.Set(HeaderRun, string(p.Run))
	if p.RetryAfter > 0 {
		header.Set("Retry-After", strconv.Itoa(int(math.Ceil(p.RetryAfter.Seconds()))))
	}
	w.WriteHeader(p.Status())
	_ = json.NewEncoder(w).Encode(problemBody{
		Type: "urn:zinniafall:problem:" + string(p.Kind), Title: string(p.Kind), Status: p.Status(),
		Detail: p.Detail, Kind: p.Kind, Run: string(p.Run), Remedy: p.Remedy(),
		RetryAfterMs: p.RetryAfter.Milliseconds(),
	})
}
