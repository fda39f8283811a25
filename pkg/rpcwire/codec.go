package rpcwire

import (
	"net/rpc"
	"sync"
)

// clientCodec implements rpc.ClientCodec on frames.
type clientCodec struct{ *frames }

func (c clientCodec) WriteRequest(r *rpc.Request, body any) error { return c.write(r, body) }

func (c clientCodec) ReadResponseHeader(r *rpc.Response) error {
	if err := c.next(); err != nil {
		return err
	}
	return c.decode(r)
}

func (c clientCodec) ReadResponseBody(body any) error { return c.decode(body) }
func (c clientCodec) Close() error                    { return c.close() }

// methodSuffix is the method that net/rpc finds on the receiver of each registered name; see Handle.
const methodSuffix = ".Call"

// serverCodec implements rpc.ServerCodec on frames. A slot is taken for each request until its answer is written, so
// that one connection cannot start any number of goroutines: net/rpc starts one for each request that it reads.
type serverCodec struct {
	*frames
	slots chan struct{}
	once  sync.Once
	done  chan struct{}
}

func newServerCodec(f *frames, maxCalls int) *serverCodec {
	return &serverCodec{frames: f, slots: make(chan struct{}, maxCalls), done: make(chan struct{})}
}

func (c *serverCodec) ReadRequestHeader(r *rpc.Request) error {
	select {
	case c.slots <- struct{}{}:
	case <-c.done:
		return errBroken
	}
	if err := c.next(); err != nil {
		return err
	}
	if err := c.decode(r); err != nil {
		return err
	}
	r.ServiceMethod += methodSuffix
	return nil
}

func (c *serverCodec) ReadRequestBody(body any) error { return c.decode(body) }

func (c *serverCodec) WriteResponse(r *rpc.Response, body any) error {
	<-c.slots
	r.ServiceMethod = ""
	return c.write(r, body)
}

func (c *serverCodec) Close() error {
	c.once.Do(func() { close(c.done) })
	return c.close()
}
