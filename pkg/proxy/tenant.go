package proxy

import (
	"context"
	"math"
	"net/http"
	"strings"
	"time"

	"github.com/monsoonlatch/monsoonlatch/pkg/config"
	"github.com/monsoonlatch/monsoonlatch/pkg/metric"
)

// Quota limits the requests of tenants over all nodes. Admit is called once for each request of a tenant whose rate is
// above 0, on the path of the request and by many goroutines at a time. It may wait for another node of the zone, until ctx
// ends at the latest. If ok is false, the request is refused and may be sent again after retryAfter. The tenant must not be
// modified.
type Quota interface {
	Admit(ctx context.Context, tenant *config.Tenant, now time.Time) (ok bool, retryAfter time.Duration)
}

// QuotaPreviewer is a Quota that can tell what it would decide.
type QuotaPreviewer interface {
	// Preview tells what Admit would decide now, without using a token or asking another node. If known is false, another node
	// would have to be asked.
	Preview(tenant *config.Tenant, now time.Time) (known, ok bool, retryAfter time.Duration)
}

// KeyRules tells for how long a configuration of a certain age is relied on for API keys. Zero durations set no limit.
type KeyRules struct {
	// MaxLag is the age beyond which an unknown key is not refused for good, since a newer configuration may have it.
	MaxLag time.Duration
	// MaxRevocationLag is the age beyond which known keys are not accepted, since a newer configuration may have revoked
	// them.
	MaxRevocationLag time.Duration
}

// Credential returns the API key in an Authorization header of the Bearer scheme. It returns an empty string unless there
// is exactly one such header with a key of 1 to MaxCredentialBytes printable ASCII characters without spaces.
func Credential(h http.Header) string {
	values := h[headerAuthorization]
	if len(values) != 1 {
		return ""
	}
	scheme, key, _ := strings.Cut(values[0], " ")
	key = strings.Trim(key, " ")
	if !strings.EqualFold(scheme, "Bearer") || len(key) > MaxCredentialBytes {
		return ""
	}
	for i := range len(key) {
		if key[i] <= ' ' || key[i] >= 0x7f {
			return ""
		}
	}
	return key
}

// SetChallenge adds the WWW-Authenticate header that RFC 9110 requires on status 401.
func SetChallenge(h http.Header, reason metric.Refusal) {
	if reason == metric.RefusedUnknownKey {
		set(h, headerAuthenticate, "Bearer")
	}
}

// identify finds the tenant of a call by its API key. The reply is nil unless the call is refused. The key is removed from
// the call, so that it leaves this node in no form. A nested call that names its parent belongs to the parent's tenant:
// backend servers never learn the key.
func (in *Ingress) identify(r *http.Request, c *call, snap *config.Snapshot, public bool, credential string) (*config.Tenant, *reply) {
	if !snap.HasTenants() {
		return nil, nil
	}
	c.hasTenants = true
	delete(c.header, headerAuthorization)
	if c.parent != nil {
		c.tenant = c.parent.tenant
		return nil, nil
	}
	rules, age := in.keyRules()
	t, ok := snap.TenantByKey(credential)
	switch {
	case ok && beyond(age, rules.MaxRevocationLag):
		return nil, refuseBeforeBody(r, metric.RefusedConfigUnconfirmed)
	case ok:
		c.tenant = t.Name
		return t, nil
	case public:
		return nil, nil
	case credential != "" && beyond(age, rules.MaxLag):
		return nil, refuseBeforeBody(r, metric.RefusedConfigUnconfirmed)
	}
	return nil, refuseBeforeBody(r, metric.RefusedUnknownKey)
}

func beyond(age, limit time.Duration) bool { return limit > 0 && age > limit }

// keyRules returns the rules in force and the time since the configuration was last known to be the newest one.
func (in *Ingress) keyRules() (KeyRules, time.Duration) {
	if in.KeyRules == nil || in.ConfigurationAge == nil {
		return KeyRules{}, 0
	}
	return in.KeyRules(), in.ConfigurationAge()
}

// minQuotaRetryAfter is the shortest time after which a refused request of a tenant may be sent again; a shorter one would
// be written as 0, which asks for a retry at once.
const minQuotaRetryAfter = time.Millisecond

// hasQuota reports whether the rate of the tenant, which may be nil, is limited.
func hasQuota(t *config.Tenant) bool { return t != nil && t.Rate > 0 && !math.IsInf(t.Rate, 0) }

// admitQuota asks the quota for a request of the tenant, which may be nil. The reply is nil unless the call is refused.
func (in *Ingress) admitQuota(r *http.Request, t *config.Tenant, now time.Time) *reply {
	if in.Quota == nil || !hasQuota(t) {
		return nil
	}
	ok, retryAfter := in.Quota.Admit(r.Context(), t, now)
	if ok {
		return nil
	}
	rep := refuseBeforeBody(r, metric.RefusedQuotaExceeded)
	rep.retryAfter = max(retryAfter, minQuotaRetryAfter)
	return rep
}
