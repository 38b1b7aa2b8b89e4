package strictconn

import (
	"bytes"
	"net/http"
	"strconv"

	"golang.org/x/net/http/httpguts"
)

// body is how the end of a body is found.
type body uint8

const (
	bodyNone body = iota
	bodyOfLength
	bodyChunked
	bodyUntilClose
)

// head is what the head of a response says about its framing.
type head struct {
	method   string // of the request
	status   int
	http10   bool
	length   int64
	lengths  int // Content-Length lines
	codings  int // Transfer-Encoding lines
	chunked  bool
	mismatch bool // the Content-Length lines differ, or one is not a number
}

func (h *head) isInterim() bool { return h.status < http.StatusOK }

// versionLength is the length in bytes of "HTTP/1.1".
const versionLength = 8

// parseStatusLine parses a version, a status code and a reason phrase. It tolerates a missing
// space after the code, as RFC 9112 allows: the line means the same without it.
func (h *head) parseStatusLine(line []byte) Reason {
	const codeEnd = versionLength + 4
	if len(line) < codeEnd || line[versionLength] != ' ' || len(line) > codeEnd && line[codeEnd] != ' ' || !isText(line) {
		return StatusLine
	}
	version, code := string(line[:versionLength]), line[versionLength+1:codeEnd]
	if version[:versionLength-1] != "HTTP/1." || !isDigit(version[versionLength-1]) {
		return StatusLine
	}
	h.http10 = version == "HTTP/1.0"
	for _, b := range code {
		if !isDigit(b) {
			return StatusCode
		}
		h.status = 10*h.status + int(b-'0')
	}
	switch {
	case h.status < 100 || h.status > 599:
		return StatusCode
	case h.status == http.StatusSwitchingProtocols:
		return Upgrade
	}
	return ""
}

// parseField parses a field line.
func (h *head) parseField(line []byte) Reason {
	name, value, reason := splitField(line)
	if reason != "" {
		return reason
	}
	switch http.CanonicalHeaderKey(name) {
	case "Content-Length":
		length, ok := parseLength(value)
		h.mismatch = h.mismatch || !ok || h.lengths > 0 && length != h.length
		h.length = length
		h.lengths++
	case "Transfer-Encoding":
		h.chunked = bytes.EqualFold(value, []byte("chunked"))
		h.codings++
	}
	return ""
}

// framing returns how the end of the body is found, and its length if it states one.
func (h *head) framing() (body, int64, Reason) {
	switch {
	case h.mismatch:
		return 0, 0, ContentLength
	case h.codings > 0 && (h.codings > 1 || !h.chunked || h.lengths > 0 || h.http10):
		return 0, 0, TransferEncoding
	case (h.isInterim() || h.status == http.StatusNoContent) && (h.codings > 0 || h.length > 0):
		return 0, 0, UnexpectedBody
	case h.isInterim(), h.status == http.StatusNoContent, h.status == http.StatusNotModified, h.method == http.MethodHead:
		return bodyNone, 0, ""
	case h.codings > 0:
		return bodyChunked, 0, ""
	case h.lengths > 0:
		return bodyOfLength, h.length, ""
	}
	return bodyUntilClose, 0, ""
}

// splitField splits a field line into its name and its value without the space around it.
func splitField(line []byte) (name string, value []byte, reason Reason) {
	if line[0] == ' ' || line[0] == '\t' {
		return "", nil, FoldedLine
	}
	before, after, found := bytes.Cut(line, []byte(":"))
	name = string(before)
	if !found || !httpguts.ValidHeaderFieldName(name) {
		return "", nil, FieldName
	}
	value = bytes.Trim(after, " \t")
	if !isText(value) {
		return "", nil, FieldValue
	}
	return name, value, ""
}

// isText reports whether the bytes are text as in field values and reason phrases: visible
// characters, spaces, tabs and bytes beyond ASCII.
func isText(text []byte) bool { return httpguts.ValidHeaderFieldValue(string(text)) }

func isDigit(b byte) bool { return '0' <= b && b <= '9' }

// parseLength parses a length in decimal digits.
func parseLength(text []byte) (int64, bool) {
	for _, b := range text {
		if !isDigit(b) {
			return 0, false // ParseInt takes a sign
		}
	}
	length, err := strconv.ParseInt(string(text), 10, 64)
	return length, err == nil
}

// parseChunkSize parses the size line of a chunk, hexadecimal digits that an extension may
// follow. It returns the number of digits and the size.
func parseChunkSize(line []byte) (digits int, size int64, ok bool) {
	text, extension, extended := bytes.Cut(line, []byte(";"))
	if extended {
		text = bytes.TrimRight(text, " \t")
		if len(bytes.Trim(extension, " \t")) == 0 || !isText(extension) {
			return 0, 0, false
		}
	}
	for _, b := range text {
		if !isDigit(b) && !('a' <= b|0x20 && b|0x20 <= 'f') {
			return 0, 0, false
		}
	}
	size, err := strconv.ParseInt(string(text), 16, 64)
	return len(text), size, err == nil
}
