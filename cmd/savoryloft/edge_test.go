package main

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"

	"savoryloft.example/savoryloft"
	"savoryloft.example/savoryloft/budgeter"
)

func TestReloaderReportsChangedSettings(t *testing.T) {
	current := savoryloft.Deployment{Instance: "entry-1", Seeds: []string{"10.0.0.1:1"}}
	for _, tt := range []struct {
		name                string
		change              func(d *savoryloft.Deployment)
		immediate, deferred []string
	}{
		{"nothing changed", func(*savoryloft.Deployment) {}, nil, nil},
		{"limits", func(d *savoryloft.Deployment) { d.Limits.Cores = 2 }, []string{"Limits"}, nil},
		{"seeds", func(d *savoryloft.Deployment) { d.Seeds = []string{"10.0.0.2:1"} }, []string{"Seeds"}, nil},
		{"listen address and retry bound", func(d *savoryloft.Deployment) {
			d.Listen.Callers, d.Bounds.RetrySlack = "10.0.0.1:80", 5
		}, nil, []string{"Listen", "Bounds"}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			d := current
			tt.change(&d)
			immediate, deferred := (&reloader{current: current}).changedSettings(d)
			require.Equal(t, tt.immediate, immediate)
			require.Equal(t, tt.deferred, deferred)
		})
	}
}

func TestReloaderKeepsTheLastValidSettings(t *testing.T) {
	file := filepath.Join(t.TempDir(), "boot.toml")
	require.NoError(t, os.WriteFile(file, []byte("no settings"), 0o600))
	current := savoryloft.Deployment{Instance: "entry-1"}
	r := &reloader{file: file, current: current, logger: logr.Discard(), memory: &budgeter.Budget{}, addSeeds: func([]string) {
		t.Error("seeds of an invalid settings file were added")
	}}
	r.reload("test")
	require.Equal(t, current, r.current)
}

// The settings file may change after it was read and before the first check.
func TestReloaderNoticesAnEarlyChange(t *testing.T) {
	file := filepath.Join(t.TempDir(), "boot.toml")
	require.NoError(t, os.WriteFile(file, []byte(`
node_name = "entry-1"
ip = "10.0.0.1"
seeds = ["10.0.0.2:1"]
[listen]
frontend = "10.0.0.1:1"
readiness = "10.0.0.1:2"
control = "10.0.0.1:3"
[platform]
address = "10.0.0.9:1"
`), 0o600))
	var seeds []string
	r := &reloader{
		file: file, modified: time.Unix(1, 0), logger: logr.Discard(), memory: &budgeter.Budget{}, addSeeds: func(list []string) { seeds = list },
	}
	r.reloadIfChanged()
	require.Equal(t, []string{"10.0.0.2:1"}, seeds)
	seeds = nil
	r.reloadIfChanged()
	require.Empty(t, seeds, "the file has not changed again")
}
