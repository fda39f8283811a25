package config

import (
	"errors"

	"github.com/monsoonlatch/monsoonlatch/pkg/fault"
)

// Check returns all errors of the configuration, joined.
func (c Configuration) Check() error {
	var errs []error
	for _, r := range c.Routes {
		if _, ok := c.Services[r.Service]; !ok {
			errs = append(errs, fault.New(fault.Invalid, "route "+r.Name, "service "+r.Service+" does not exist",
				"add the service in the same note or name an existing one"))
		}
		if _, ok := c.Policies[r.Policy]; !ok {
			errs = append(errs, fault.New(fault.Invalid, "route "+r.Name, "policy "+r.Policy+" does not exist",
				"add the policy in the same note or name an existing one"))
		}
	}
	return errors.Join(errs...)
}
