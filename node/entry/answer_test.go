package entry

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/iotest"

	qt "github.com/frankban/quicktest"

	"zinniafall/node/execute"
	"zinniafall/node/peer"
	"zinniafall/policy/model"
)

// Guards against an answer that breaks off and looks whole to a caller with HTTP/1.0, which
// takes the end of the connection for that of a body without a length.
func TestBrokenAnswerIsNotWhole(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body := io.MultiReader(strings.NewReader("part"), iotest.ErrReader(errors.New("the target broke off its answer")))
		writeReply(w, r, &execute.Reply{Answer: &peer.Answer{Run: model.RunYes, Status: http.StatusOK, Length: -1}, Body: io.NopCloser(body)})
	}))
	defer server.Close()
	for _, version := range []string{"HTTP/1.0", "HTTP/1.1"} {
		conn, err := net.Dial("tcp", server.Listener.Addr().String())
		qt.Assert(t, err, qt.IsNil)
		_, err = io.WriteString(conn, "GET / "+version+"\r\nHost: h\r\n\r\n")
		qt.Assert(t, err, qt.IsNil)
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err == nil {
			_, err = io.ReadAll(response.Body)
		}
		qt.Check(t, err, qt.IsNotNil, qt.Commentf("%s", version))
		_ = conn.Close()
	}
}
