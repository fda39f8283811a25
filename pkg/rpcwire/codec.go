package rpcwire

import (
	"net/rpc"
	"sync"
)

// clientCodec implements rpc.ClientCodec on top of frames.
type clientCodec struct {
	*frames
	// methods maps the sequence number of each outstanding call to its method, because responses do not name it.
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

// methodSuffix is the Go method that net/rpc calls on the receiver registered for each method name; see Handle.
const methodSuffix = ".Call"

// serverCodec implements rpc.ServerCodec on top of frames. Each request holds a slot until its response is written. That
// limits the goroutines of one connection, since net/rpc starts one for each request that it reads.
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
