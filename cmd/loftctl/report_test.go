package main

import (
	"bytes"
	"encoding/xml"
	"errors"
	"io"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

func runReport(args ...string) (string, error) {
	var out bytes.Buffer
	c := reportCommand()
	c.SetOut(&out)
	c.SetErr(io.Discard)
	c.SilenceUsage, c.SilenceErrors = true, true
	c.SetArgs(args)
	err := c.Execute()
	return out.String(), err
}

func TestReport(t *testing.T) {
	log := filepath.Join(t.TempDir(), "entry-1.log")
	require.NoError(t, os.WriteFile(log, []byte(
		`time=2026-03-24T08:31:40.1Z msg=started incarnation=1
time=2026-03-24T08:31:40.1Z msg=request id=1 outcome=Answered status=200 route=chat first=100
time=2026-03-24T08:31:42.1Z msg=request id=2 outcome=TimeUp status=504 route="<b>odd</b>" first=0
time=2026-03-24T08:31:42.1Z msg="attempt failed" id=2 upstream=u1 error="connection <refused>"
`), 0o600))
	page, err := runReport(log)
	require.NoError(t, err)
	require.Contains(t, page, `<td>chat</td><td class="n">1</td><td class="n">100ms</td>`)
	require.Contains(t, page, "Answered 200: 1")
	require.Contains(t, page, "connection &lt;refused&gt;: 1")
	require.NotContains(t, page, "<b>")
	require.Equal(t, 3, bytes.Count([]byte(page), []byte("<svg")))
	requireWellFormed(t, page)

	empty := filepath.Join(t.TempDir(), "empty.log")
	require.NoError(t, os.WriteFile(empty, nil, 0o600))
	for _, tt := range []struct {
		name string
		args []string
		want string
	}{
		{"no requests", []string{empty}, "no line tells of a request"},
		{"no such file", []string{filepath.Join(t.TempDir(), "none")}, "read log"},
		{"no interval", []string{"--interval", "0s", log}, "is not positive"},
		{"no file", nil, "requires at least 1 arg"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			_, err := runReport(tt.args...)
			require.ErrorContains(t, err, tt.want)
		})
	}
}

func requireWellFormed(t *testing.T, page string) {
	d := xml.NewDecoder(bytes.NewReader([]byte(page)))
	d.Strict, d.AutoClose, d.Entity = false, xml.HTMLAutoClose, xml.HTMLEntity
	for {
		_, err := d.Token()
		if errors.Is(err, io.EOF) {
			return
		}
		require.NoError(t, err)
	}
}
