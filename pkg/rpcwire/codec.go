package rpcwire

import (
	"net/rpc"
	"sync"
)

// clientCodec implements rpc.ClientCodec on a frameConn.
type clientCodec struct {
	*frameConn
	// methods maps the sequence number of each outstanding call to its method, because responses do not name it.
	methods sync.Map
}

func (c *clientCodec) WriteRequest(r *rpc.Request, body any) error {
	c.methods.Store(r.Seq, r.ServiceMethod)
	return c.write(r.ServiceMethod, r, body)
}

func (c *clientCodec) ReadResponseHeader(r *rpc.Response) error {
	if err := c.readFrame(); err != nil {
		return err
	}
	err := c.decode(r)
	method, _ := c.methods.LoadAndDelete(r.Seq)
	name, _ := method.(string)
	c.counters.forMethod(name).in.Inc(int64(c.lastFrameSize))
	return err
}

func (c *clientCodec) ReadResponseBody(body any) error { return c.decode(body) }
func (c *clientCodec) Close() error                    { return c.close() }

// methodSuffix is the Go method that net/rpc calls on the receiver registered for each method name; see Handle.
const methodSuffix = ".Call"

// serverCodec implements rpc.ServerCodec on a frameConn. It limits the calls in progress on one connection, and with
// them its goroutines, since net/rpc starts one for each request that it reads.
type serverCodec struct {
	*frameConn
	// inProgress holds one element for each call in progress, until its response is written.
	inProgress chan struct{}
	closeOnce  sync.Once
	closed     chan struct{}
}

func newServerCodec(f *frameConn, maxCalls int) *serverCodec {
	return &serverCodec{frameConn: f, inProgress: make(chan struct{}, maxCalls), closed: make(chan struct{})}
}

func (c *serverCodec) ReadRequestHeader(r *rpc.Request) error {
	select {
	case c.inProgress <- struct{}{}:
	case <-c.closed:
		return errBroken
	}
	if err := c.readFrame(); err != nil {
		return err
	}
	err := c.decode(r)
	c.counters.forMethod(r.ServiceMethod).in.Inc(int64(c.lastFrameSize))
	r.ServiceMethod += methodSuffix
	return err
}

func (c *serverCodec) ReadRequestBody(body any) error {
	err := c.decode(body)
	c.beginCall()
	return err
}

func (c *serverCodec) WriteResponse(r *rpc.Response, body any) error {
	<-c.inProgress
	c.endCall()
	method := r.ServiceMethod
	r.ServiceMethod = ""
	return c.write(method, r, body)
}

func (c *serverCodec) Close() error {
	c.closeOnce.Do(func() { close(c.closed) })
	return c.close()
}
