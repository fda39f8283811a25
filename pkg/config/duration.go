package config

import (
	"fmt"
	"time"

	"go.yaml.in/yaml/v3"
)

// Std returns d as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// MarshalText formats d like time.Duration.String.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// UnmarshalText parses a string such as "250ms".
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("duration %q: expected a number with a unit, such as 250ms or 2s", text)
	}
	*d = Duration(v)
	return nil
}

// UnmarshalYAML parses a string such as "250ms". Its errors include the line number, which the YAML library omits from
// errors of UnmarshalText.
func (d *Duration) UnmarshalYAML(node *yaml.Node) error {
	if err := d.UnmarshalText([]byte(node.Value)); err != nil {
		return &yaml.TypeError{Errors: []string{fmt.Sprintf("line %d: %v", node.Line, err)}}
	}
	return nil
}
