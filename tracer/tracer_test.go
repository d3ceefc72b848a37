package tracer_test

import (
	"context"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"savoryloft.example/savoryloft/tracer"
)

func TestCloseWritesSpans(t *testing.T) {
	file := filepath.Join(t.TempDir(), "spans.json")
	tr, closeTracer, err := tracer.Open(file, "entry-1")
	require.NoError(t, err)
	_, span := tr.Start(context.Background(), "receive")
	span.End()
	require.NoError(t, closeTracer(context.Background()))
	data, err := os.ReadFile(file)
	require.NoError(t, err)
	require.Contains(t, string(data), `"Name":"receive"`)
	require.Contains(t, string(data), "entry-1")
}

func TestOpenFailsInMissingDirectory(t *testing.T) {
	_, _, err := tracer.Open(filepath.Join(t.TempDir(), "missing", "spans.json"), "entry-1")
	require.ErrorContains(t, err, "open trace file")
}
