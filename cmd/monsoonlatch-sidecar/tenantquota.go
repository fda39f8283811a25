package main

import (
	"context"
	"time"

	"github.com/monsoonlatch/monsoonlatch/pkg/config"
	"github.com/monsoonlatch/monsoonlatch/pkg/proxy"
	"github.com/monsoonlatch/monsoonlatch/pkg/quota"
)

// tenantQuota adapts a quota.Service to the interface proxy.Quota, so that the packages do not import each other.
type tenantQuota struct{ service *quota.Service }

var (
	_ proxy.Quota          = tenantQuota{}
	_ proxy.QuotaPreviewer = tenantQuota{}
)

// Admit implements proxy.Quota.
func (q tenantQuota) Admit(ctx context.Context, t *config.Tenant, now time.Time) (ok bool, retryAfter time.Duration) {
	return q.service.Admit(ctx, quota.Limit{Tenant: t.Name, Rate: t.Rate, Burst: t.Burst}, now)
}

// Preview implements proxy.QuotaPreviewer.
func (q tenantQuota) Preview(t *config.Tenant, now time.Time) (known, ok bool, retryAfter time.Duration) {
	return q.service.Preview(quota.Limit{Tenant: t.Name, Rate: t.Rate, Burst: t.Burst}, now)
}
