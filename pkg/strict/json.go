package strict

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
)

// DecodeJSON reads a response of at most limit bytes to its end and decodes it into v. A json.Decoder stops after the value and
// doesn't notice that the response breaks later.
func DecodeJSON(resp *http.Response, limit int64, v any) error {
	data, err := io.ReadAll(io.LimitReader(resp.Body, limit+1))
	if err != nil {
		return err
	}
	if int64(len(data)) > limit {
		return fmt.Errorf("response exceeds %d bytes", limit)
	}
	return json.Unmarshal(data, v)
}
