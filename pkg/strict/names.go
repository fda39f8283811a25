package strict

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
)

// ErrMalformed is the error for a response that does not conform to HTTP.
var ErrMalformed = errors.New("malformed response")

// CheckResponse returns ErrMalformed if the head of a response has an invalid field name. net/http admits names with blanks,
// and then ignores what the field means, such as a length. Reading the body returns ErrMalformed instead of io.EOF if the
// trailer has such a name.
func CheckResponse(resp *http.Response) error {
	if err := CheckNames(resp.Header); err != nil {
		return err
	}
	if len(resp.TransferEncoding) > 0 && resp.Body != http.NoBody {
		resp.Body = &trailerChecker{ReadCloser: resp.Body, resp: resp}
	}
	return nil
}

// CheckNames returns ErrMalformed if the name of a field is not a token (RFC 9110, section 5.1). Fields without a value, such
// as announced ones in a trailer that has not been read, are ignored.
func CheckNames(h http.Header) error {
	for name, values := range h {
		if len(values) > 0 && !isToken(name) {
			return fmt.Errorf("%w: field name %q", ErrMalformed, name)
		}
	}
	return nil
}

// isToken reports whether s is a token (RFC 9110, section 5.6.2).
func isToken(s string) bool {
	for i := range len(s) {
		c := s[i]
		letterOrDigit := 'a' <= c && c <= 'z' || 'A' <= c && c <= 'Z' || '0' <= c && c <= '9'
		if !letterOrDigit && strings.IndexByte("!#$%&'*+-.^_`|~", c) < 0 {
			return false
		}
	}
	return s != ""
}

// trailerChecker is a response body that checks the trailer, which is complete when the body ends.
type trailerChecker struct {
	io.ReadCloser
	resp *http.Response
}

func (b *trailerChecker) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		if malformed := CheckNames(b.resp.Trailer); malformed != nil {
			return n, malformed
		}
	}
	return n, err
}
