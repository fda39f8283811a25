package main

import (
	"testing"

	"github.com/monsoonlatch/monsoonlatch/internal/settingsdoc"
)

// Guards against a settings page that lacks a flag or shows a wrong default.
func TestSettingsPage(t *testing.T) {
	if err := settingsdoc.Check("../../docs/settings.md", "platform-standin", &settings{}); err != nil {
		t.Error(err)
	}
}
