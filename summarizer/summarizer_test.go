package summarizer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestField(t *testing.T) {
	const line = `time=2026-03-24T08:31:40Z msg="attempt failed" id=1 error="a \"b\" c=d" route="" last=x`
	for _, tt := range []struct{ key, want string }{
		{"time", "2026-03-24T08:31:40Z"},
		{"msg", "attempt failed"},
		{"error", `a "b" c=d`},
		{"route", ""},
		{"last", "x"},
		{"none", ""},
		{"ime", ""},
	} {
		require.Equal(t, tt.want, Field(line, tt.key), tt.key)
	}
}

func TestSummary(t *testing.T) {
	s := Summary{Interval: time.Second}
	added := 0
	for _, line := range []string{
		`time=2026-03-24T08:31:40.1Z msg=request id=1 outcome=Answered status=200 route=chat first=100`,
		`time=2026-03-24T08:31:40.9Z msg=request id=2 outcome=Answered status=200 route=chat first=300`,
		`time=2026-03-24T08:31:41.1Z msg=request id=3 outcome=TimeUp status=504 route=chat first=0`,
		`time=2026-03-24T08:31:41.2Z msg=request id=4 outcome=Answered status=500 route=plain first=0`,
		`time=2026-03-24T08:31:41.2Z msg="attempt failed" id=4 upstream=u1 error="status 500"`,
		`time=2026-03-24T08:31:41.3Z msg="attempt failed" id=4 upstream=u1 error="connection refused"`,
		`time=2026-03-24T08:31:41.4Z msg="link up" peer=b`,
		`time=yesterday msg=request outcome=Answered status=200 route=chat first=1`,
		``,
	} {
		if s.Add(line) {
			added++
		}
	}
	require.Equal(t, 6, added)
	routes := s.Routes()
	require.Len(t, routes, 2)
	chat := routes[0]
	require.Equal(t, "chat", chat.Name)
	require.Equal(t, 3, chat.Requests)
	require.Equal(t, map[string]int{"Answered 200": 2, "TimeUp 504": 1}, chat.Outcomes)
	require.Equal(t, 100*time.Millisecond, chat.FirstByteQuantile(0))
	require.Equal(t, 300*time.Millisecond, chat.FirstByteQuantile(0.95))
	require.Len(t, chat.Buckets, 2)
	second := chat.Buckets[time.Date(2026, 3, 24, 8, 31, 41, 0, time.UTC)]
	require.Equal(t, 1, second.Failed)
	require.Zero(t, second.FirstByteQuantile(0.5))
	require.Equal(t, 1, routes[1].Buckets[time.Date(2026, 3, 24, 8, 31, 41, 0, time.UTC)].Failed)
	upstreams := s.Upstreams()
	require.Len(t, upstreams, 1)
	require.Equal(t, 2, upstreams[0].Failed)
	require.Len(t, upstreams[0].Errors, 2)
}
