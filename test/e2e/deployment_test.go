package e2e

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/monsoonlatch/monsoonlatch/internal/forwarder"
)

// deployment is the part of an example deployment that runs requests with an idempotency key.
type deployment struct {
	// note is the path of the first release note, below the examples folder.
	note            string
	zones, services []string
	// keyedPaths lists the paths of requests that must run at most once.
	keyedPaths []string
	// firstService is the service that runs requests to the first of these paths.
	firstService string
}

var (
	nairobiSite = deployment{"nairobi/01-initial.yaml", []string{"westlands", "kasarani", "embakasi"},
		[]string{"deposit-office", "sealing-office"}, []string{"/deposits", "/sealing-fees"}, "deposit-office"}
	galwaySite = deployment{"galway/01-initial.yaml", []string{"ie-west-a", "ie-west-b", "ie-west-c"},
		[]string{"wake-ledger", "intake-desk"}, []string{"/wake-ups", "/accounts/charges", "/bookings"}, "wake-ledger"}
)

// start returns a running mesh that accepts requests with an idempotency key.
func (d deployment) start(t *testing.T) *mesh {
	t.Helper()
	m := newMesh(t, d.zones, d.services)
	m.submit(d.note, 1)
	m.waitSettled()
	return m
}

// ingress returns an instance of another service than d.firstService. It is therefore never the home of a key of the
// first path, that is, the instance whose backend server runs the requests with this key.
func (m *mesh) ingress(d deployment) *instance {
	for _, in := range m.instances {
		if in.service != d.firstService {
			return in
		}
	}
	m.t.Fatal("every instance belongs to the service of the first path")
	return nil
}

// home waits until a request with the key runs, and returns the instance whose backend server runs it.
func (m *mesh) home(key string) *instance {
	m.t.Helper()
	var home *instance
	m.eventually("a run of "+key, func() bool {
		for _, in := range m.instances {
			if in.counts().Keys[key] > 0 {
				home = in
			}
		}
		return home != nil
	})
	return home
}

// platformFaults replaces the fault switches of the platform stand-in; see its POST /_standin/faults.
func (m *mesh) platformFaults(switches string) {
	m.t.Helper()
	m.post("http://"+m.platformAddress+"/_standin/faults", switches)
}

// backendFault makes a backend server apply a fault to its next count requests.
func (m *mesh) backendFault(in *instance, kind string, count int) {
	m.t.Helper()
	m.post(fmt.Sprintf("http://%s/_standin/fault?kind=%s&count=%d", in.backendAddress, kind, count), "")
}

// post sends a JSON body and fails the test unless the response reports success.
func (m *mesh) post(url, body string) {
	m.t.Helper()
	resp, err := client.Post(url, "application/json", strings.NewReader(body))
	if err != nil {
		m.t.Fatal(err)
	}
	resp.Body.Close()
	if resp.StatusCode >= http.StatusMultipleChoices {
		m.t.Fatalf("POST %s: got status %s, want success", url, resp.Status)
	}
}

// setZoneLinks sets the mode of the links between a zone and the other zones and, if platform is true, the platform.
func (m *mesh) setZoneLinks(zone string, mode forwarder.Mode, platform bool) {
	for _, a := range m.instances {
		for _, b := range m.instances {
			if (a.zone == zone) != (b.zone == zone) {
				a.peerLink.SetSourceMode(b.ip, mode)
				a.controlLink.SetSourceMode(b.ip, mode)
			}
		}
	}
	if platform {
		m.platformLinks[zone].SetMode(mode)
	}
}

// setControlLinks sets the mode of the control links between one node and all others.
func (m *mesh) setControlLinks(in *instance, mode forwarder.Mode) {
	in.controlLink.SetMode(mode)
	for _, other := range m.instances {
		other.controlLink.SetSourceMode(in.ip, mode)
	}
}
