package main

import (
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a process that a SIGHUP ends while it starts.
func TestHangupDuringStartUpDoesNotEndTheProcess(t *testing.T) {
	const variable = "SAVORYLOFT_HANGUP_TEST"
	if file := os.Getenv(variable); file != "" {
		require.Error(t, runEdge(file, 0, false), "the settings are not valid")
		return
	}
	file := filepath.Join(t.TempDir(), "settings")
	require.NoError(t, syscall.Mkfifo(file, 0o600))
	c := exec.Command(os.Args[0], "-test.run", "^"+t.Name()+"$")
	c.Env = append(os.Environ(), variable+"="+file)
	require.NoError(t, c.Start())
	settings, err := os.OpenFile(file, os.O_WRONLY, 0) // Blocks until the process reads its settings.
	require.NoError(t, err)
	require.NoError(t, c.Process.Signal(syscall.SIGHUP))
	_, err = settings.WriteString("not valid")
	require.NoError(t, err)
	require.NoError(t, settings.Close())
	require.NoError(t, c.Wait())
}
