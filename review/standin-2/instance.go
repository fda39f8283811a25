package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// instance is one start of a backend server. It follows the users' pages: it runs a request only if X-Target-Instance names
// it or is missing, repeats X-Attempt-Id, and rejects what exceeds its slots and its queue.
type instance struct {
	w       *world
	vm      *vm
	id      string
	service string
	born    int64
	slots   int
	// work is the mean time of a request; the times are spread over a half to one and a half of it.
	work time.Duration
	// onRun is called when the instance begins to work on a request.
	onRun func(in *instance, r *http.Request)

	sequence atomic.Uint64
	leaving  atomic.Bool
	silent   atomic.Bool
	stopped  atomic.Bool
	inUse    chan struct{}
	queued   atomic.Int64
}

func newInstance(v *vm, id, service string, slots int, work time.Duration, onRun func(*instance, *http.Request)) *instance {
	return &instance{w: v.w, vm: v, id: id, service: service, born: time.Now().UnixMilli(), slots: slots, work: work, onRun: onRun,
		inUse: make(chan struct{}, slots)}
}

// address is the address of a VM at which its instances follow each other. A connection belongs to the instance that had
// the address when the connection was opened.
type address struct {
	current atomic.Pointer[instance]
}

type connKey struct{}

// listen serves the address. If the instance there is silent, new connections are accepted and never answered.
func listen(v *vm, first *instance) (*address, error) {
	ln, err := net.Listen("tcp", v.address(portBackend))
	if err != nil {
		return nil, err
	}
	a := &address{}
	a.current.Store(first)
	server := &http.Server{ReadHeaderTimeout: 5 * time.Second, IdleTimeout: 10 * time.Second,
		ConnContext: func(ctx context.Context, _ net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, a.current.Load())
		},
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			r.Context().Value(connKey{}).(*instance).serve(w, r)
		})}
	go func() { _ = server.Serve(ln) }() // Runs until this process ends.
	return a, nil
}

// maxQueue is the number of requests per slot that wait for a slot of an instance.
const maxQueue = 4

func (in *instance) serve(w http.ResponseWriter, r *http.Request) {
	if in.silent.Load() {
		select {} // The machine is gone: nothing is ever answered on this connection.
	}
	id := r.Header.Get("X-Attempt-Id")
	h := w.Header()
	h.Set("X-Instance-Id", in.id)
	if r.URL.Path == "/healthz" {
		if in.leaving.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	h.Set("X-Attempt-Id", id)
	if target := r.Header.Get("X-Target-Instance"); target != "" && target != in.id {
		h.Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if !in.takeSlot(r.Context()) {
		h.Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() { <-in.inUse }()
	_, _ = io.Copy(io.Discard, r.Body) // A body that breaks off shows when the response is written.
	in.w.note("instance %s of %s runs %s %s %s from %s", in.id, in.service, id, r.Method, r.URL.Path, r.Header.Get("X-Caller-Service"))
	in.onRun(in, r)
	select {
	case <-time.After(in.work/2 + rand.N(in.work)):
	case <-r.Context().Done():
		return
	}
	if in.silent.Load() {
		select {}
	}
	h.Set("X-Server-Seal", "seal-"+in.id+"-"+id)
	h.Set("Content-Type", "text/plain")
	_, _ = fmt.Fprintf(w, "answer of %s to %s\n", in.service, id) // Fails only if the node has gone.
}

func (in *instance) takeSlot(ctx context.Context) bool {
	if in.queued.Add(1) > int64(in.slots*(1+maxQueue)) {
		in.queued.Add(-1)
		return false
	}
	defer in.queued.Add(-1)
	select {
	case in.inUse <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

// heartbeatBody returns the body of the next heartbeat.
func (in *instance) heartbeatBody(state string) []byte {
	body, _ := json.Marshal(map[string]any{"service": in.service, "address": in.vm.address(portBackend), "zone": in.vm.zone, "version": "v1",
		"slots": in.slots, "state": state, "coldLeftMs": 0, "sequence": in.sequence.Add(1), "born": in.born}) // Cannot fail.
	return body
}

// send sends a call to the node on the own VM and reports whether it was acknowledged.
func (in *instance) send(call string, body []byte) bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+in.vm.address(portControl)+"/rpc?call="+call+"&of="+in.id, bytes.NewReader(body))
	if err != nil {
		return false
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := controlClient.Do(req)
	if err != nil {
		in.w.note("instance %s: %s gets no answer", in.id, call)
		return false
	}
	_ = resp.Body.Close()
	in.w.note("instance %s: %s %s gets %d", in.id, call, body, resp.StatusCode)
	return resp.StatusCode/100 == 2
}

var controlClient = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

// beat sends heartbeats until the instance stops.
func (in *instance) beat() {
	for !in.stopped.Load() && !in.silent.Load() {
		in.send("instances.heartbeat", in.heartbeatBody("ready"))
		time.Sleep(heartbeat)
	}
}

// runs counts the runs of each request, by the service that ran it.
type runs struct {
	mu sync.Mutex
	by map[string][]run
}

type run struct {
	service, instance, path string
	at                      time.Time
}

func newRuns() *runs { return &runs{by: make(map[string][]run)} }

func (r *runs) add(in *instance, req *http.Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	id := req.Header.Get("X-Attempt-Id")
	r.by[id] = append(r.by[id], run{in.service, in.id, req.URL.Path, time.Now()})
}

func (r *runs) of(id string) []run {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.by[id]
}
