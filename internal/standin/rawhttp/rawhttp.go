// Package rawhttp is a stand-in for servers that send broken HTTP responses.
package rawhttp

import (
	"fmt"
	"io"
	"net/http"
)

// Handler answers each request with the given bytes and closes the connection.
func Handler(response string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body) // Closing a connection with unread bytes would reset it.
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			panic(err)
		}
		defer conn.Close()
		_, _ = io.WriteString(conn, response) // The client may have closed the connection.
	})
}

// InvalidNames returns variants of a response that each have one field with an invalid name. The head of the response is its
// status line and fields, each with its line end, without those for the length.
func InvalidNames(head, body string) map[string]string {
	length := fmt.Sprintf("Content-Length: %d\r\n\r\n", len(body))
	variants := make(map[string]string)
	for _, name := range []string{"X Odd", "X-Odd ", "Content-Length ", "X\tOdd", "X\x01Odd"} {
		field := name + ": 1\r\n"
		variants[fmt.Sprintf("%q in the head", name)] = head + field + length + body
		variants[fmt.Sprintf("%q in the head, no length", name)] = head + field + "\r\n" + body
		variants[fmt.Sprintf("%q in an interim head", name)] = "HTTP/1.1 103 Early Hints\r\n" + field + "\r\n" + head + length + body
		if body != "" {
			variants[fmt.Sprintf("%q in the trailer", name)] = fmt.Sprintf("%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n%s\r\n", head, len(body), body, field)
		}
	}
	return variants
}

// Cut returns variants of a response, given as for InvalidNames, that are cut after the bytes of the body.
func Cut(head, body string) map[string]string {
	chunk := fmt.Sprintf("%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", head, len(body), body)
	return map[string]string{
		"cut before the length is reached": fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(body)+1, body),
		"cut before the last chunk":        chunk,
		"cut in the trailer":               chunk + "0\r\nX-Sum: 1\r\n",
	}
}
