package gossiper

import (
	"context"
	"encoding/binary"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"

	"savoryloft.example/savoryloft"
	"savoryloft.example/savoryloft/admitter"
	"savoryloft.example/savoryloft/emulator"
	"savoryloft.example/savoryloft/follower"
	"savoryloft.example/savoryloft/framer"
)

func newTestGossiper(network *emulator.Network, name, address string) *Gossiper {
	p := &emulator.Platform{}
	f := &follower.Follower{Log: &emulator.Direct{Platform: p}, Logger: logr.Discard()}
	return &Gossiper{
		Instance: name, Incarnation: 1, FailureDomain: "d", Address: address,
		Interval: 200 * time.Millisecond, LinkTimeout: time.Second, StaleLimit: 3 * time.Second,
		Dial: network.Dialer(name), Admitter: &admitter.Admitter{Instance: name}, Follower: f, Logger: logr.Discard(),
	}
}

// serve starts g with a listener and links to peers. The returned function stops it
// and waits until it has stopped.
func serve(t *testing.T, network *emulator.Network, g *Gossiper, peers ...string) (stop func()) {
	l, err := network.Listen(g.Instance, g.Address)
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{}, 2)
	go func() { _ = g.Serve(ctx, l); done <- struct{}{} }()
	go func() { _ = g.Run(ctx); done <- struct{}{} }()
	g.SetPeers(ctx, peers)
	return func() {
		cancel()
		<-done
		<-done
		g.group.Wait()
	}
}

// A connection is closed within the link timeout if its first bytes are not a valid
// Hello, or if it sends nothing at all.
func TestInvalidFirstFrameClosesConnection(t *testing.T) {
	otherVersion, err := framer.Encode(&savoryloft.Frame{Hello: &savoryloft.Hello{Version: 99, Instance: "x"}})
	require.NoError(t, err)
	oversized := binary.BigEndian.AppendUint32(nil, 1<<31)
	tests := []struct {
		name  string
		bytes []byte
	}{
		{"text", []byte("GET / HTTP/1.1\r\n\r\n")},
		{"length above the limit", oversized},
		{"unsupported version", otherVersion},
		{"empty frame", []byte{0, 0, 0, 0}},
		{"no data", nil},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				network := emulator.NewNetwork()
				stop := serve(t, network, newTestGossiper(network, "a", "127.0.0.1:1"))
				defer stop()
				c, err := network.Dialer("evil")(t.Context(), "127.0.0.1:1")
				require.NoError(t, err)
				_, err = c.Write(tt.bytes)
				require.NoError(t, err)
				sentAt := time.Now()
				_, err = c.Read(make([]byte, 1))
				require.Error(t, err)
				require.LessOrEqual(t, time.Since(sentAt), time.Second)
			})
		})
	}
}

// A connection on which all data is lost without an error is closed after the link
// timeout and redialed.
func TestSilentLinkIsRedialed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := emulator.NewNetwork()
		a, b := newTestGossiper(network, "a", "127.0.0.1:1"), newTestGossiper(network, "b", "127.0.0.1:2")
		stopA, stopB := serve(t, network, a, b.Address), serve(t, network, b, a.Address)
		defer stopB()
		defer stopA()
		time.Sleep(time.Second)
		require.Len(t, a.Members(), 1)
		network.DropTraffic("a", "b")
		time.Sleep(5 * time.Second)
		require.Less(t, a.Members()[0].HeardAgo.Std(), time.Second)
		require.Less(t, b.Members()[0].HeardAgo.Std(), time.Second)
	})
}

// Digests of a process that resumes after its replacement has started, and digests
// that arrive late, must not overwrite the state from a later digest.
func TestOlderDigestsAreIgnored(t *testing.T) {
	g := newTestGossiper(emulator.NewNetwork(), "a", "127.0.0.1:1")
	g.init()
	receive := func(incarnation, sequence, offset int) {
		g.mergeDigest(savoryloft.Hello{Instance: "b", Incarnation: incarnation},
			savoryloft.Digest{Sequence: sequence, Offset: offset, ConfirmedAgo: savoryloft.Duration(time.Hour)})
	}
	receive(2, 5, 50)
	receive(1, 9, 40)
	receive(2, 4, 45)
	require.Equal(t, 50, g.HighestOffset())
	require.True(t, g.HasLaterIncarnation("b", 1))
	require.False(t, g.HasLaterIncarnation("b", 2))
	receive(3, 1, 60)
	require.Equal(t, 60, g.HighestOffset())
}

// The target for control traffic is at most 5 KB/s sent by an instance in the users'
// deployment of 8 instances. Sending a digest on each link at each interval must stay
// within it.
func TestDigestsStayWithinBudget(t *testing.T) {
	const maxBytesPerSecond = 5000
	synctest.Test(t, func(t *testing.T) {
		network := emulator.NewNetwork()
		var gossipers []*Gossiper
		var addresses []string
		for i := range 8 {
			address := "127.0.0.1:" + string(rune('1'+i))
			g := newTestGossiper(network, "entry-"+string(rune('a'+i)), address)
			g.Admitter = busyAdmitter(t, g.Instance)
			gossipers, addresses = append(gossipers, g), append(addresses, address)
		}
		var stops []func()
		for _, g := range gossipers {
			stops = append(stops, serve(t, network, g, addresses...))
		}
		time.Sleep(2 * time.Second)
		before, _ := gossipers[0].Bytes()
		time.Sleep(60 * time.Second)
		after, _ := gossipers[0].Bytes()
		t.Logf("%d bytes sent per second", (after-before)/60)
		require.LessOrEqual(t, (after-before)/60, int64(maxBytesPerSecond))
		for _, stop := range stops {
			stop()
		}
	})
}

// busyAdmitter returns an admitter with 24 upstreams in one pool, a second pool
// without upstreams, and 40 running requests of four tiers in the first.
func busyAdmitter(t *testing.T, name string) *admitter.Admitter {
	a := &admitter.Admitter{Instance: name}
	var configs []admitter.UpstreamConfig
	for i := range 24 {
		configs = append(configs, admitter.UpstreamConfig{Name: "engine-" + string(rune('a'+i)), Pool: "chat", Slots: 16})
	}
	a.Update(map[string]savoryloft.Pool{"chat": {}, "booking": {}}, nil, configs)
	for i := range 40 {
		_, err := a.Admit(context.Background(), &admitter.Request{
			Pool: "chat", Class: &savoryloft.Class{Name: string(rune('a' + i%4)), Tier: i % 4, FirstToken: 1e9},
		})
		require.NoError(t, err)
	}
	return a
}

func FuzzDecodeFrame(f *testing.F) {
	for _, frame := range []savoryloft.Frame{
		{Hello: &savoryloft.Hello{Version: 1, Instance: "a"}},
		{Digest: &savoryloft.Digest{Sequence: 1, Demands: []savoryloft.PoolDemand{{Pool: "p", Waiting: []int{1, 2}}}}},
		{Fetch: &savoryloft.Fetch{From: 3}},
		{Tail: &savoryloft.Tail{State: "{}"}},
	} {
		data, err := framer.Encode(&frame)
		require.NoError(f, err)
		f.Add(data[framer.HeaderBytes:])
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		frame, err := decodeFrame(data)
		if err == nil {
			require.NoError(t, frame.Check())
		}
	})
}
