package rpcwire

import (
	"net/rpc"
	"sync"
)

// clientCodec implements rpc.ClientCodec on frames.
type clientCodec struct {
	*frames
	// methods holds the method of each call without an answer by its sequence number: answers do not name it.
	methods sync.Map
}

func (c *clientCodec) WriteRequest(r *rpc.Request, body any) error {
	c.methods.Store(r.Seq, r.ServiceMethod)
	return c.write(r.ServiceMethod, r, body)
}

func (c *clientCodec) ReadResponseHeader(r *rpc.Response) error {
	if err := c.next(); err != nil {
		return err
	}
	err := c.decode(r)
	method, _ := c.methods.LoadAndDelete(r.Seq)
	name, _ := method.(string)
	c.counters.of(name).in.Inc(int64(c.size))
	return err
}

func (c *clientCodec) ReadResponseBody(body any) error { return c.decode(body) }
func (c *clientCodec) Close() error                    { return c.close() }

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
	err := c.decode(r)
	c.counters.of(r.ServiceMethod).in.Inc(int64(c.size))
	r.ServiceMethod += methodSuffix
	return err
}

func (c *serverCodec) ReadRequestBody(body any) error { return c.decode(body) }

func (c *serverCodec) WriteResponse(r *rpc.Response, body any) error {
	<-c.slots
	method := r.ServiceMethod
	r.ServiceMethod = ""
	return c.write(method, r, body)
}

func (c *serverCodec) Close() error {
	c.once.Do(func() { close(c.done) })
	return c.close()
}
