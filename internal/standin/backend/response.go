package backend

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
)

// maxSilentConns is the maximum number of connections that are held open without a response, so that a long run does
// not run out of file descriptors.
const maxSilentConns = 256

func (s *Server) echoRequestID(w http.ResponseWriter, r *http.Request) {
	if id := r.Header.Get("Ml-Request-Id"); id != "" {
		w.Header().Set("Ml-Request-Id", id)
	}
}

// respond sends the response, altered as the fault requires.
func (s *Server) respond(w http.ResponseWriter, r *http.Request, fault Fault, status int, body []byte) {
	id := r.Header.Get("Ml-Request-Id")
	switch fault {
	case FaultCutLength:
		s.writeRaw(w, fmt.Sprintf("HTTP/1.1 200 OK\r\nMl-Request-Id: %s\r\nContent-Length: %d\r\n\r\n%s",
			id, len(body)+1, body))
	case FaultCutChunk:
		s.writeRaw(w, fmt.Sprintf("HTTP/1.1 200 OK\r\nMl-Request-Id: %s\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n",
			id, len(body), body))
	case FaultUnframed:
		s.writeRaw(w, fmt.Sprintf("HTTP/1.1 200 OK\r\nMl-Request-Id: %s\r\n\r\n%s", id, body))
	case FaultClose:
		s.writeRaw(w, "")
	case FaultSilent:
		s.holdConn(w)
	case FaultCrossed:
		w.Header().Set("Ml-Request-Id", "other-"+id)
		fmt.Fprint(w, "the answer to another request")
	case FaultLate:
		<-s.lateReleases
		fallthrough
	default:
		s.echoRequestID(w, r)
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
		w.WriteHeader(status)
		_, _ = w.Write(body)
	}
}

// writeRaw writes text to the connection, bypassing net/http, and closes the connection.
func (s *Server) writeRaw(w http.ResponseWriter, text string) {
	if c := hijack(w); c != nil {
		_, _ = c.Write([]byte(text))
		c.Close()
	}
}

// holdConn holds the connection open without a response until Close.
func (s *Server) holdConn(w http.ResponseWriter) {
	c := hijack(w)
	if c == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || len(s.silentConns) >= maxSilentConns {
		c.Close()
		return
	}
	s.silentConns = append(s.silentConns, c)
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
