package strict

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
)

// ReadBody reads a response of at most limit bytes to its end. Neither its status nor its body says anything before that, since
// the response may turn out to be broken.
func ReadBody(resp *http.Response, limit int64) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(resp.Body, limit+1))
	if err != nil {
		return nil, err
	}
	if int64(len(data)) > limit {
		return nil, fmt.Errorf("response exceeds %d bytes", limit)
	}
	return data, nil
}

// DecodeJSON reads a response with ReadBody and decodes it into v. A json.Decoder stops after the value and doesn't notice that
// the response breaks later.
func DecodeJSON(resp *http.Response, limit int64, v any) error {
	data, err := ReadBody(resp, limit)
	if err != nil {
		return err
	}
	return json.Unmarshal(data, v)
}
