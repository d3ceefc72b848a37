package parser_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"savoryloft.example/savoryloft/parser"
)

const minimalSettings = `{
	// Comments are allowed.
	"Instance": "entry-1", "FailureDomain": "a",
	"Listen": {"Callers": "127.0.0.1:1", "Operators": "127.0.0.1:2", "Peers": "127.0.0.1:3"},
	"Platform": {"Address": "127.0.0.1:4"},
}`

func TestSettingsDefaults(t *testing.T) {
	s, err := parser.Settings("entry.json", []byte(minimalSettings))
	require.NoError(t, err)
	require.Equal(t, 2*time.Second, s.Platform.Timeout.Std())
	require.Equal(t, 5*time.Second, s.Lease.TTL.Std())
	require.Equal(t, 3*time.Second, s.Peers.StaleLimit.Std())
	require.Equal(t, 2048, s.Admission.MaxQueued)
	require.Equal(t, time.Minute, s.Usage.Window.Std())
}

func TestSettingsErrorsContainPath(t *testing.T) {
	tests := []struct{ name, settings, want string }{
		{"misspelled property", `{"Instance": "e", "Lease": {"TLT": "5s"}}`, "Lease: additional properties 'TLT' not allowed"},
		{"missing property", `{"Instance": "e"}`, "missing properties"},
		{"not a duration", `{"Peers": {"StaleLimit": "3 seconds"}}`, "Peers.StaleLimit"},
		{"out of range", `{"Log": {"Verbosity": 9}}`, "Log.Verbosity"},
		{"host name", `{"Platform": {"Address": "localhost:80"}}`, "Platform.Address"},
		{"wrong type", `{"Instance": 5}`, "Instance"},
		{"not JSON", `{"Instance": `, "entry.json is not JSON"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := parser.Settings("entry.json", []byte(tt.settings))
			require.ErrorContains(t, err, tt.want)
			require.ErrorContains(t, err, "entry.json")
			require.NotContains(t, err.Error(), "\n")
		})
	}
}

func TestNoteDefaults(t *testing.T) {
	n, err := parser.Note("note.json", []byte(`{"ID": "n", "Base": -1, "Added": {"Pools": [{"Name": "p", "Kind": "Engine"}]}}`))
	require.NoError(t, err)
	require.Equal(t, 16, n.Added.Pools[0].Slots)
}

func FuzzSettings(f *testing.F) {
	f.Add([]byte(minimalSettings))
	f.Add([]byte(`[]`))
	f.Add([]byte(`{"Listen": null}`))
	f.Fuzz(func(_ *testing.T, data []byte) {
		_, _ = parser.Settings("fuzz", data)
		_, _ = parser.Note("fuzz", data)
		_, _ = parser.LoadPlan("fuzz", data)
	})
}
