package main

import (
	"testing"

	"github.com/monsoonlatch/monsoonlatch/internal/settingsdoc"
)

// Guards against a settings page that lacks a flag or shows a wrong default.
func TestSettingsPage(t *testing.T) {
	if err := settingsdoc.Check("../../docs/settings.md", "mlsoak", &settings{}); err != nil {
		t.Error(err)
	}
}

// Guards against a run that starts with invalid settings.
func TestBadSettings(t *testing.T) {
	for _, args := range [][]string{{"--vms", "1"}, {"--vms", "101"}, {"--length", "0s"}, {"--seed", "x"}} {
		if code := run(args); code != exitBadSettings {
			t.Errorf("%v: exit code %d, want %d", args, code, exitBadSettings)
		}
	}
}
