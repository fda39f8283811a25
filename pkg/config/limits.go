package config

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// checkLimits returns the values beyond the limits of release notes, sorted by name within each kind of item.
func (c Configuration) checkLimits() []error {
	errs := c.checkItemCounts()
	for _, key := range slices.Sorted(maps.Keys(c.Services)) {
		errs = append(errs, checkItemName("service", key)...)
	}
	for _, key := range slices.Sorted(maps.Keys(c.Policies)) {
		errs = append(errs, checkItemName("policy", key)...)
		errs = append(errs, c.Policies[key].checkLimits()...)
	}
	for _, key := range slices.Sorted(maps.Keys(c.Routes)) {
		errs = append(errs, checkItemName("route", key)...)
		errs = append(errs, c.Routes[key].checkLimits()...)
	}
	for _, key := range slices.Sorted(maps.Keys(c.Tenants)) {
		errs = append(errs, checkItemName("tenant", key)...)
	}
	errs = append(errs, c.checkTenantKeys()...)
	return append(errs, c.checkOverlaps()...)
}

func (c Configuration) checkItemCounts() []error {
	var errs []error
	checkCount := func(kind string, count, limit int) {
		if count > limit {
			errs = append(errs, invalid("configuration", fmt.Sprintf("has %d %s, more than the maximum of %d", count, kind, limit),
				"withdraw unused "+kind+", or merge some"))
		}
	}
	checkCount("services", len(c.Services), MaxServices)
	checkCount("policies", len(c.Policies), MaxPolicies)
	checkCount("routes", len(c.Routes), MaxRoutes)
	checkCount("tenants", len(c.Tenants), MaxTenants)
	keys := 0
	for _, t := range c.Tenants {
		keys += len(t.Keys)
	}
	checkCount("keys", keys, MaxTenantKeys)
	return errs
}

func checkItemName(kind, name string) []error {
	if problem := checkName(name); problem != "" {
		return []error{invalid(kind+" "+name, problem,
			"use letters, digits, '.', '-' and '_', and start and end with a letter or digit")}
	}
	return nil
}

func (p Policy) checkLimits() []error {
	var errs []error
	require := func(ok bool, remedy, format string, args ...any) {
		if !ok {
			errs = append(errs, invalid("policy "+p.Name, fmt.Sprintf(format, args...), remedy))
		}
	}
	require(p.Deadline <= MaxDeadline, "set a deadline such as 2s", "deadline %s is more than %s", p.Deadline.Std(), MaxDeadline.Std())
	require(p.Worth <= MaxWorth, "set a worth such as 10", "worth %d is more than %d", p.Worth, MaxWorth)
	require(p.MaxRetries <= MaxPolicyRetries, "set a number such as 1", "maxRetries %d is more than %d", p.MaxRetries, MaxPolicyRetries)
	require(p.IdempotencyWindow <= MaxIdempotencyWindow, "set a window such as 10m, or omit it to use the default",
		"idempotencyWindow %s is more than %s", p.IdempotencyWindow.Std(), MaxIdempotencyWindow.Std())
	return errs
}

func (r Route) checkLimits() []error {
	var errs []error
	if problem := checkHost(r.Host); problem != "" {
		errs = append(errs, invalid("route "+r.Name, problem, "use a lower-case host name without a port, or omit the host"))
	}
	if problem := checkPrefix(r.PathPrefix); problem != "" {
		errs = append(errs, invalid("route "+r.Name, problem, "use an absolute path such as /deposits"))
	}
	for _, part := range r.Split {
		if part.Weight > MaxWeight {
			errs = append(errs, invalid("route "+r.Name, fmt.Sprintf("weight %d is more than %d", part.Weight, MaxWeight), "set a weight such as 10"))
		}
	}
	return append(errs, r.checkMethods()...)
}

// knownMethods lists the HTTP methods of RFC 9110 and RFC 5789 that nodes forward. CONNECT and TRACE are excluded.
var knownMethods = []string{"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"}

func (r Route) checkMethods() []error {
	var errs []error
	for i, m := range r.Methods {
		if !slices.Contains(knownMethods, m) {
			errs = append(errs, invalid("route "+r.Name, fmt.Sprintf("method %q is not supported", m), "use one of "+strings.Join(knownMethods, ", ")))
		}
		if slices.Contains(r.Methods[:i], m) {
			errs = append(errs, invalid("route "+r.Name, "method "+m+" is listed twice", "remove the duplicate"))
		}
	}
	return errs
}

// checkOverlaps reports routes that match the same host, path prefix and method. A route without methods matches all
// methods.
func (c Configuration) checkOverlaps() []error {
	type routeKey struct{ host, prefix, method string }
	var errs []error
	routeByKey := make(map[routeKey]string, len(c.Routes))
	for _, key := range slices.Sorted(maps.Keys(c.Routes)) {
		r := c.Routes[key]
		methods := r.Methods
		if len(methods) == 0 {
			methods = knownMethods
		}
		for _, m := range methods {
			k := routeKey{r.Host, r.PathPrefix, m}
			if other, ok := routeByKey[k]; ok && other != key {
				errs = append(errs, invalid("route "+key, fmt.Sprintf("matches %s %s, which route %s already matches", m, r.PathPrefix, other),
					"change the prefix or the methods of one of them, or withdraw one"))
				break
			}
			routeByKey[k] = key
		}
	}
	return errs
}
