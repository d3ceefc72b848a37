package savoryloft_test

import (
	"reflect"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"savoryloft.example/savoryloft"
	"savoryloft.example/savoryloft/framer"
)

// earlierFrame is a LinkFrame of the builds that sent it as an array.
type earlierFrame struct {
	Duties     *savoryloft.DutyFacts
	Greeting   *savoryloft.LinkGreeting
	Members    []savoryloft.LinkGreeting
	Records    []savoryloft.ControlRecord
	Status     *savoryloft.LinkStatus
	Suspicions *savoryloft.Suspicions
	Update     *savoryloft.LoadUpdate
}

func sampleFrame() earlierFrame {
	greeting := savoryloft.LinkGreeting{Instance: "entry-1", Incarnation: 5, FailureDomain: "a", Address: "10.0.0.1:1", Power: 400, Protocol: 2}
	return earlierFrame{
		Duties:   &savoryloft.DutyFacts{Sizes: []savoryloft.SizeFact{{Service: "s", Upstreams: 3, Position: 7}}},
		Greeting: &greeting, Members: []savoryloft.LinkGreeting{greeting},
		Records:    []savoryloft.ControlRecord{{Topic: 1, Key: "k", Value: "v", Position: 3}},
		Status:     &savoryloft.LinkStatus{Sequence: 4, Wall: 1796398483443, Version: 9, VersionAge: -1, LeavingUpstreams: []savoryloft.LeavingUpstream{{Upstream: "i-1", StartedAt: 8}}},
		Suspicions: &savoryloft.Suspicions{Crashes: []savoryloft.UpstreamCrash{{Upstream: "i-1", StartedAt: 8, Parts: []savoryloft.SuspectPart{{Part: "p", Depth: 1}}}}},
		Update:     &savoryloft.LoadUpdate{Parts: []savoryloft.HeldPart{{Upstream: "i-1", Part: "p", Tokens: 50}}},
	}
}

// transcode encodes a value as a frame and decodes it into another one.
func transcode(t *testing.T, from, to any) {
	data, err := framer.Encode(from)
	require.NoError(t, err)
	require.NoError(t, framer.Decode(data[framer.HeaderBytes:], to))
}

// Guards against links that end during an upgrade because a build does not decode the
// frames of the other one.
func TestFramesPassBetweenBuilds(t *testing.T) {
	earlier := sampleFrame()
	var frame savoryloft.LinkFrame
	transcode(t, &earlier, &frame)
	want := reflect.ValueOf(earlier)
	for i := range want.NumField() {
		require.Equal(t, want.Field(i).Interface(), reflect.ValueOf(frame).FieldByName(want.Type().Field(i).Name).Interface())
	}

	frame.Features = []string{"a", "b"}
	frame.Detours = []savoryloft.Detour{{Instance: "entry-2", Incarnation: 5, Address: "10.0.0.2:1", Token: "dA", Age: 3}}
	frame.Registry = &savoryloft.RegistryState{Digest: 7}
	frame.Limits = &savoryloft.LimitExchange{
		Limits:   []savoryloft.UpstreamLimit{{Upstream: "i-1", Version: 2, PerSecond: 0.5}},
		Requests: []savoryloft.TokenRequest{{ID: 3, Service: "s", Upstreams: []string{"i-1"}, Wait: 100}},
		Replies:  []savoryloft.TokenReply{{ID: 3, Upstream: "i-1"}},
	}
	require.NoError(t, frame.Check())
	var same savoryloft.LinkFrame
	transcode(t, &frame, &same)
	require.Equal(t, frame, same)

	var received earlierFrame
	transcode(t, &frame, &received)
	require.Equal(t, earlier, received, "the other build skips fields that it does not know")

	later := map[string]any{"Status": earlier.Status, "Unknown": []any{1, "x", map[string]any{"y": nil}}}
	var known savoryloft.LinkFrame
	transcode(t, later, &known)
	require.Equal(t, savoryloft.LinkFrame{Status: earlier.Status}, known)
}

// Guards against a field that is declared and never sent.
func TestAllFieldsOfAFrameAreSent(t *testing.T) {
	for i := range reflect.TypeFor[savoryloft.LinkFrame]().NumField() {
		var frame, received savoryloft.LinkFrame
		field := reflect.ValueOf(&frame).Elem().Field(i)
		if field.Kind() == reflect.Pointer {
			field.Set(reflect.New(field.Type().Elem()))
		} else {
			field.Set(reflect.MakeSlice(field.Type(), 1, 1))
		}
		transcode(t, &frame, &received)
		require.False(t, reflect.ValueOf(received).Field(i).IsZero(), reflect.TypeOf(frame).Field(i).Name)
	}
}

// Guards against announcements that make an instance send requests to nowhere, or that take
// its memory.
func TestCheckOfDetours(t *testing.T) {
	sound := savoryloft.Detour{Instance: "entry-2", Incarnation: 5, Address: "10.0.0.2:1", Token: "dA", Age: 3}
	for _, tt := range []struct {
		name   string
		change func(d *savoryloft.Detour)
		count  int
		ok     bool
	}{
		{"sound", func(*savoryloft.Detour) {}, 1, true},
		{"no instance", func(d *savoryloft.Detour) { d.Instance = "" }, 1, false},
		{"no port", func(d *savoryloft.Detour) { d.Address = "10.0.0.2" }, 1, false},
		{"negative age", func(d *savoryloft.Detour) { d.Age = -1 }, 1, false},
		{"no token", func(d *savoryloft.Detour) { d.Token = "" }, 1, false},
		{"a token that splits the header", func(d *savoryloft.Detour) { d.Token = "a\r\nb" }, 1, false},
		{"too many", func(*savoryloft.Detour) {}, 100, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			d := sound
			tt.change(&d)
			frame := savoryloft.LinkFrame{Detours: slices.Repeat([]savoryloft.Detour{d}, tt.count)}
			if tt.ok {
				require.NoError(t, frame.Check())
			} else {
				require.Error(t, frame.Check())
			}
		})
	}
}
