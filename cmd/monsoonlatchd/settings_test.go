package main

import (
	"testing"

	"github.com/monsoonlatch/monsoonlatch/internal/settingsdoc"
)

// Guards against documentation that lacks a flag or states another default.
func TestSettingsPage(t *testing.T) {
	if err := settingsdoc.Check("../../docs/settings.md", "monsoonlatchd", &Settings{}); err != nil {
		t.Error(err)
	}
}
