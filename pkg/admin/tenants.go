package admin

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"

	"github.com/monsoonlatch/monsoonlatch/pkg/admission"
	"github.com/monsoonlatch/monsoonlatch/pkg/metric"
)

const (
	// DefaultTopTenants is the number of tenants that are listed unless the query names another one, and MaxTopTenants the
	// largest number that it may name.
	DefaultTopTenants = 20
	MaxTopTenants     = 200
)

// TenantReport shows the tenants with the most use of the backend server beside a node. It holds names of tenants, never keys.
type TenantReport struct {
	Node   string `json:"node"`
	InUse  int    `json:"inUse"`
	Limit  int    `json:"limit"`
	Queued int    `json:"queued"`
	// Tenants is the number of tenants with requests in progress or recent use.
	Tenants int         `json:"tenants"`
	Top     []TenantUse `json:"top"`
	// Refusals counts the refused requests by reason since the start of the node, for all tenants together; reasons without one
	// are left out.
	Refusals map[string]int64 `json:"refusals"`
	// DisplacedByShare and Moved are counted by the admission since its start.
	DisplacedByShare uint64 `json:"displacedByShare"`
	Moved            uint64 `json:"moved"`
}

// TenantUse is the use of one tenant. An empty name stands for requests without a tenant.
type TenantUse struct {
	Name string `json:"name"`
	// SlotMs is the slot time of about the last two seconds.
	SlotMs float64 `json:"slotMs"`
	InUse  int     `json:"inUse"`
	Queued int     `json:"queued"`
	// Asked and Started count requests of about the last 20 seconds.
	Asked   int `json:"asked"`
	Started int `json:"started"`
}

// Tenants serves the TenantReport of a node; the query parameter top limits the list.
type Tenants struct {
	Node    string
	Gate    *admission.Gate
	Metrics *metric.Set
}

// ServeHTTP implements http.Handler.
func (t *Tenants) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	top := DefaultTopTenants
	if v := r.URL.Query().Get("top"); v != "" {
		n, err := strconv.Atoi(v)
		if err != nil || n < 1 || n > MaxTopTenants {
			http.Error(w, "top is not a number from 1 to "+strconv.Itoa(MaxTopTenants), http.StatusBadRequest)
			return
		}
		top = n
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(t.report(top)) // An error means that the client has closed the connection.
}

func (t *Tenants) report(top int) TenantReport {
	usage, _ := t.Gate.Usage(top) // Without a discipline that tells tenants apart, the list is empty.
	out := TenantReport{Node: t.Node, InUse: usage.Load.InUse, Limit: usage.Load.Limit, Queued: usage.Load.Queued, Tenants: usage.Tenants,
		Top: []TenantUse{}, Refusals: make(map[string]int64), DisplacedByShare: usage.DisplacedByShare, Moved: usage.Moved}
	for _, u := range usage.Top {
		out.Top = append(out.Top, TenantUse{Name: u.Name, SlotMs: float64(u.SlotTime.Microseconds()) / 1000, InUse: u.InUse, Queued: u.Queued,
			Asked: u.Asked, Started: u.Started})
	}
	for name, n := range t.Metrics.Snapshot() {
		if reason, ok := strings.CutPrefix(name, "refused."); ok && n > 0 {
			out.Refusals[reason] = n
		}
	}
	return out
}
