package main

import (
	"testing"

	"github.com/monsoonlatch/monsoonlatch/internal/settingsdoc"
)

// Guards against settings in the documentation that differ from the flags.
func TestSettingsPage(t *testing.T) {
	if err := settingsdoc.Check("../../docs/settings.md", "mlsoak", &settings{}); err != nil {
		t.Error(err)
	}
}

// Guards against a run that starts with settings it cannot be played with.
func TestBadSettings(t *testing.T) {
	for _, args := range [][]string{{"--vms", "1"}, {"--vms", "101"}, {"--length", "0s"}, {"--seed", "x"}} {
		if code := play(args); code != exitBadSettings {
			t.Errorf("%v: exit code %d, want %d", args, code, exitBadSettings)
		}
	}
}
