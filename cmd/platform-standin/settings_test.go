package main

import (
	"testing"

	"github.com/monsoonlatch/monsoonlatch/internal/settingsdoc"
)

// Guards against a page of settings that lacks a flag or states another default.
func TestSettingsPage(t *testing.T) {
	if err := settingsdoc.Check("../../docs/settings.md", "platform-standin", &settings{}); err != nil {
		t.Error(err)
	}
}
