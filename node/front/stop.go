package front

import "time"

// DisableKeepAlives makes the server ask callers to close their connection
// after the next response.
func (s *Server) DisableKeepAlives() { s.keepAlivesDisabled.Store(true) }

// Busy reports whether a request is in flight or being read, other than those that are
// refused since CloseIdle.
func (s *Server) Busy() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		if c.serves() {
			return true
		}
	}
	return false
}

// CloseIdle closes the connections on which no request is in flight or being read, except for
// those that were opened since DisableKeepAlives: their first request is under way. From then
// on each request that begins, on a new connection or an open one, is refused.
func (s *Server) CloseIdle() {
	s.refusing.Store(true)
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.closeIdle()
	}
}

// EndReading refuses the requests that are being read, after CloseIdle, and those that begin
// later without waiting for all of them.
func (s *Server) EndReading() {
	s.ended.Store(true)
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.endReading()
	}
}

// closeIdle closes the connection unless a request is in flight or being
// read.
func (c *conn) closeIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pending > 0 || c.reading || c.refused || c.closed || c.single {
		return
	}
	c.closed = true
	_ = c.net.Close()
}

// endReading ends the reading of a request, if one is being read.
func (c *conn) endReading() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.reading || c.refused {
		_ = c.net.SetReadDeadline(time.Now())
	}
}

// closeAfterResponse reports whether the connection is closed after the
// current response because keep-alives are disabled. Pipelined requests that
// were already sent are answered first, and no request starts afterwards.
func (c *conn) closeAfterResponse() bool {
	if !c.server.keepAlivesDisabled.Load() {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pending > 1 || c.reading || c.refused {
		return false
	}
	c.closed = true
	return true
}

// isRefused reports whether the request that was begun last is refused.
func (c *conn) isRefused() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.refused
}

// serves reports whether a request is in flight or being read that is not refused.
func (c *conn) serves() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.reading || c.pending > c.refusals
}
