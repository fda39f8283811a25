package proxy

import (
	"bytes"
	"io"
	"net/http/httptest"
	"testing"
)

// Guards against request bodies that together take more memory than the budget allows, and against reserved bytes that
// are not released, which would make the node refuse all bodies in the end.
func TestBodyBudget(t *testing.T) {
	const limit = 1 << 20
	budget := NewBodyBudget(limit)
	read := func(size int, chunked bool) ([]byte, error) {
		r := httptest.NewRequest("PUT", "/", io.MultiReader(bytes.NewReader(make([]byte, size))))
		r.ContentLength = int64(size)
		if chunked {
			r.ContentLength = -1
		}
		return readBody(r, 2*limit, budget)
	}
	for _, chunked := range []bool{false, true} {
		first, err := read(limit/2, chunked)
		if err != nil || len(first) != limit/2 {
			t.Fatalf("chunked %v: got %d bytes, error %v, want the whole body within the budget", chunked, len(first), err)
		}
		if _, err := read(limit/2+1, chunked); err != errBodyMemory {
			t.Errorf("chunked %v: got error %v for a body beyond the budget, want errBodyMemory", chunked, err)
		}
		if _, err := read(3*limit, chunked); err == nil {
			t.Errorf("chunked %v: a body beyond the size limit was accepted", chunked)
		}
		budget.release(int64(len(first)))
		if used := budget.used.Load(); used != 0 {
			t.Errorf("chunked %v: %d bytes are still reserved after the release", chunked, used)
		}
	}
}
