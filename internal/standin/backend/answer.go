package backend

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
)

// silentLimit is the maximum number of connections that are held open without a response, so that a long run does not
// run out of file descriptors.
const silentLimit = 256

func (s *Server) echo(w http.ResponseWriter, r *http.Request) {
	if id := r.Header.Get("Ml-Request-Id"); id != "" {
		w.Header().Set("Ml-Request-Id", id)
	}
}

// answer sends the response, altered as the fault requires.
func (s *Server) answer(w http.ResponseWriter, r *http.Request, fault Fault, status int, body []byte) {
	id := r.Header.Get("Ml-Request-Id")
	switch fault {
	case FaultCutLength:
		s.raw(w, fmt.Sprintf("HTTP/1.1 200 OK\r\nMl-Request-Id: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body)+1, body))
	case FaultCutChunk:
		s.raw(w, fmt.Sprintf("HTTP/1.1 200 OK\r\nMl-Request-Id: %s\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", id, len(body), body))
	case FaultNoEnd:
		s.raw(w, fmt.Sprintf("HTTP/1.1 200 OK\r\nMl-Request-Id: %s\r\n\r\n%s", id, body))
	case FaultClose:
		s.raw(w, "")
	case FaultSilent:
		s.keepSilent(w)
	case FaultCrossed:
		w.Header().Set("Ml-Request-Id", "other-"+id)
		fmt.Fprint(w, "the answer to another request")
	case FaultLate:
		<-s.late
		fallthrough
	default:
		s.echo(w, r)
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
		w.WriteHeader(status)
		_, _ = w.Write(body)
	}
}

// raw writes text to the connection, bypassing net/http, and closes the connection.
func (s *Server) raw(w http.ResponseWriter, text string) {
	if c := hijack(w); c != nil {
		_, _ = c.Write([]byte(text))
		c.Close()
	}
}

// keepSilent holds the connection open without a response until Close.
func (s *Server) keepSilent(w http.ResponseWriter) {
	c := hijack(w)
	if c == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopped || len(s.silent) >= silentLimit {
		c.Close()
		return
	}
	s.silent = append(s.silent, c)
}

func hijack(w http.ResponseWriter) net.Conn {
	h, ok := w.(http.Hijacker)
	if !ok {
		return nil
	}
	c, _, err := h.Hijack()
	if err != nil {
		return nil
	}
	return c
}
