package config

import (
	"errors"
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"
)

// shareTolerance allows for floating-point rounding in sums of shares such as 0.7, 0.2 and 0.1.
const shareTolerance = 1e-9

// Check returns all errors of the configuration, joined and sorted by name within each kind of item. Each is a
// fault.Error of kind Invalid whose Op names the item, such as "route lookup".
func (c Configuration) Check() error {
	var errs []error
	errs = append(errs, c.checkItemCounts()...)
	errs = append(errs, c.checkServices()...)
	errs = append(errs, c.checkPolicies()...)
	errs = append(errs, c.checkRoutes()...)
	errs = append(errs, c.checkOverlaps()...)
	return errors.Join(errs...)
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
	return errs
}

func checkItemName(kind, key, name string) []error {
	if key != name {
		return []error{invalid(kind+" "+key, fmt.Sprintf("its name field is %q", name), "make the key and the name field equal")}
	}
	if problem := checkName(name); problem != "" {
		return []error{invalid(kind+" "+name, problem,
			"use letters, digits, '.', '-' and '_', and start and end with a letter or digit")}
	}
	return nil
}

func (c Configuration) checkServices() []error {
	var errs []error
	for _, key := range slices.Sorted(maps.Keys(c.Services)) {
		s := c.Services[key]
		errs = append(errs, checkItemName("service", key, s.Name)...)
		for i, caller := range s.CallableFrom {
			if _, ok := c.Services[caller]; !ok {
				errs = append(errs, invalid("service "+key, fmt.Sprintf("callableFrom names service %q, which does not exist", caller),
					"add the service in the same release note or remove it from callableFrom"))
			}
			if slices.Contains(s.CallableFrom[:i], caller) {
				errs = append(errs, invalid("service "+key, "callableFrom lists "+caller+" twice", "remove the duplicate"))
			}
		}
	}
	return errs
}

func (c Configuration) checkPolicies() []error {
	var errs []error
	var shares [MaxRank + 1]float64
	for _, key := range slices.Sorted(maps.Keys(c.Policies)) {
		p := c.Policies[key]
		errs = append(errs, checkItemName("policy", key, p.Name)...)
		errs = append(errs, p.check()...)
		if p.Rank >= 0 && p.Rank <= MaxRank {
			shares[p.Rank] = max(shares[p.Rank], p.GuaranteedShare)
		}
	}
	var sum float64
	for _, s := range shares {
		sum += s
	}
	if sum > 1+shareTolerance {
		errs = append(errs, invalid("configuration", fmt.Sprintf("the guaranteed shares of the ranks add up to %.3g, more than 1", sum),
			"lower guaranteedShare in some policies; of the policies of one rank only the largest share counts"))
	}
	return errs
}

func (p Policy) check() []error {
	var errs []error
	require := func(ok bool, remedy, format string, args ...any) {
		if !ok {
			errs = append(errs, invalid("policy "+p.Name, fmt.Sprintf(format, args...), remedy))
		}
	}
	require(p.Rank >= 0 && p.Rank <= MaxRank, "use a rank from 0 (most urgent) to 7 (least urgent)", "rank %d is not between 0 and %d", p.Rank, MaxRank)
	require(p.Deadline > 0 && p.Deadline <= MaxDeadline, "set a deadline such as 2s", "deadline %s is not greater than 0 and at most %s", p.Deadline.Std(), MaxDeadline.Std())
	require(p.Target > 0 && p.Target <= p.Deadline, "set a target such as 250ms that does not exceed the deadline", "target %s is not greater than 0 and at most the deadline %s", p.Target.Std(), p.Deadline.Std())
	require(p.Worth >= 0 && p.Worth <= MaxWorth, "set a worth such as 10", "worth %d is not between 0 and %d", p.Worth, MaxWorth)
	require(!math.IsNaN(p.GuaranteedShare) && p.GuaranteedShare >= 0 && p.GuaranteedShare <= 1, "set a share such as 0.2", "guaranteedShare %v is not between 0 and 1", p.GuaranteedShare)
	require(p.MaxRetries >= 0 && p.MaxRetries <= MaxPolicyRetries, "set a number such as 1", "maxRetries %d is not between 0 and %d", p.MaxRetries, MaxPolicyRetries)
	// If the record of a request expired before the deadline of that request, a resend could execute the request again.
	require(p.IdempotencyWindow == 0 || p.IdempotencyWindow >= p.Deadline && p.IdempotencyWindow <= MaxIdempotencyWindow,
		"set a window such as 10m, or omit it to use the default",
		"idempotencyWindow %s is not between the deadline and %s", p.IdempotencyWindow.Std(), MaxIdempotencyWindow.Std())
	return errs
}

func (c Configuration) checkRoutes() []error {
	var errs []error
	for _, key := range slices.Sorted(maps.Keys(c.Routes)) {
		r := c.Routes[key]
		errs = append(errs, checkItemName("route", key, r.Name)...)
		errs = append(errs, c.checkRouteServices(r)...)
		if problem := checkHost(r.Host); problem != "" {
			errs = append(errs, invalid("route "+key, problem, "use a lower-case host name without a port, or omit the host"))
		}
		if _, ok := c.Policies[r.Policy]; !ok {
			errs = append(errs, invalid("route "+key, fmt.Sprintf("policy %q does not exist", r.Policy),
				"add the policy in the same release note or use an existing one"))
		}
		if problem := checkPrefix(r.PathPrefix); problem != "" {
			errs = append(errs, invalid("route "+key, problem, "use an absolute path such as /deposits"))
		}
		errs = append(errs, r.checkMethods()...)
	}
	return errs
}

// checkRouteServices reports services of the route that do not exist, invalid weights, and a split whose weights sum
// to 0.
func (c Configuration) checkRouteServices(r Route) []error {
	var errs []error
	requireService := func(service string) {
		if _, ok := c.Services[service]; !ok {
			errs = append(errs, invalid("route "+r.Name, fmt.Sprintf("service %q does not exist", service),
				"add the service in the same release note or use an existing one"))
		}
	}
	if len(r.Split) == 0 {
		requireService(r.Service)
		return errs
	}
	if r.Service != "" {
		errs = append(errs, invalid("route "+r.Name, "sets both service and split", "set only one of them"))
	}
	sum := 0
	for _, part := range r.Split {
		requireService(part.Service)
		if part.Weight < 0 || part.Weight > MaxWeight {
			errs = append(errs, invalid("route "+r.Name, fmt.Sprintf("weight %d is not between 0 and %d", part.Weight, MaxWeight), "set a weight such as 10"))
			continue
		}
		sum += part.Weight
	}
	if sum == 0 {
		errs = append(errs, invalid("route "+r.Name, "the split has no valid weight greater than 0", "give at least one service a weight greater than 0"))
	}
	return errs
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
