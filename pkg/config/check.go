package config

import (
	"errors"
	"fmt"
	"maps"
	"math"
	"slices"
)

// shareTolerance allows for floating-point rounding in sums of shares such as 0.7, 0.2 and 0.1.
const shareTolerance = 1e-9

// Check returns all errors of a configuration that is changed by release notes, joined: those of CheckConsistency, and
// values beyond the limits of release notes. Each is a fault.Error of kind Invalid whose Op names the item, such as
// "route lookup".
func (c Configuration) Check() error {
	return errors.Join(append(c.checkConsistency(), c.checkLimits()...)...)
}

// CheckConsistency returns the errors that keep requests from being routed, such as a reference to a service that does
// not exist, joined and sorted by name within each kind of item. It applies no limit on numbers, names or values: what
// another system has accepted for all nodes must be put in force.
func (c Configuration) CheckConsistency() error { return errors.Join(c.checkConsistency()...) }

func (c Configuration) checkConsistency() []error {
	return slices.Concat(c.checkServices(), c.checkPolicies(), c.checkRoutes(), c.checkTenants())
}

func checkItemKey(kind, key, name string) []error {
	if key == name {
		return nil
	}
	return []error{invalid(kind+" "+key, fmt.Sprintf("its name field is %q", name), "make the key and the name field equal")}
}

func (c Configuration) checkServices() []error {
	var errs []error
	for _, key := range slices.Sorted(maps.Keys(c.Services)) {
		s := c.Services[key]
		errs = append(errs, checkItemKey("service", key, s.Name)...)
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
		errs = append(errs, checkItemKey("policy", key, p.Name)...)
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
	for _, class := range slices.Sorted(maps.Keys(p.ClassRanks)) {
		rank := p.ClassRanks[class]
		require(rank >= 0 && rank <= MaxRank, "use a rank from 0 (most urgent) to 7 (least urgent)", "classRanks: rank %d of %q is not between 0 and %d", rank, class, MaxRank)
	}
	require(p.Deadline > 0, "set a deadline such as 2s", "deadline %s is not greater than 0", p.Deadline.Std())
	require(p.Target > 0 && p.Target <= p.Deadline, "set a target such as 250ms that does not exceed the deadline", "target %s is not greater than 0 and at most the deadline %s", p.Target.Std(), p.Deadline.Std())
	require(p.Worth >= 0, "set a worth such as 10", "worth %d is negative", p.Worth)
	require(!math.IsNaN(p.GuaranteedShare) && p.GuaranteedShare >= 0 && p.GuaranteedShare <= 1, "set a share such as 0.2", "guaranteedShare %v is not between 0 and 1", p.GuaranteedShare)
	require(p.MaxRetries >= 0, "set a number such as 1", "maxRetries %d is negative", p.MaxRetries)
	// If the record of a request expired before the deadline of that request, a resend could execute the request again.
	require(p.IdempotencyWindow == 0 || p.IdempotencyWindow >= p.Deadline, "set a window such as 10m, or omit it to use the default",
		"idempotencyWindow %s is shorter than the deadline", p.IdempotencyWindow.Std())
	return errs
}

func (c Configuration) checkRoutes() []error {
	var errs []error
	for _, key := range slices.Sorted(maps.Keys(c.Routes)) {
		r := c.Routes[key]
		errs = append(errs, checkItemKey("route", key, r.Name)...)
		errs = append(errs, c.checkRouteServices(r)...)
		if _, ok := c.Policies[r.Policy]; !ok {
			errs = append(errs, invalid("route "+key, fmt.Sprintf("policy %q does not exist", r.Policy),
				"add the policy in the same release note or use an existing one"))
		}
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
		if part.Weight < 0 {
			errs = append(errs, invalid("route "+r.Name, fmt.Sprintf("weight %d is negative", part.Weight), "set a weight such as 10"))
			continue
		}
		sum += part.Weight
	}
	if sum == 0 {
		errs = append(errs, invalid("route "+r.Name, "the split has no valid weight greater than 0", "give at least one service a weight greater than 0"))
	}
	return errs
}
