package main

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestExplain(t *testing.T) {
	lines := []string{
		`time=10:00:05 msg="upstream changed" instance=e1 upstream=i-1 state=gone`,
		`time=10:00:01 msg="configuration in force" instance=e1 version=7`,
		`time=10:00:02 msg="configuration in force" instance=e1 version=8`,
		`time=10:00:03 msg="attempt failed" instance=e1 id=abc upstream=i-2 error="dial 10.0.0.1: refused"`,
		`time=10:00:04 msg=request instance=e1 id=abd outcome=Answered upstream=i-1 version=8`,
		`time=10:00:04 msg=request instance=e1 id=abc outcome=StreamBroken upstream=i-1 version=8`,
		`time=10:00:03 msg="upstream changed" instance=e2 upstream=i-1 state=gone`,
		`time=10:00:03 msg="log is not reachable" instance=e1 topic=Registry`,
	}
	require.Equal(t, []string{lines[2], lines[3], lines[7], lines[5], lines[0]}, explain("abc", lines))
	require.Empty(t, explain("nobody", lines))
}
