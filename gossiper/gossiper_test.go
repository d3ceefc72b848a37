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

func node(network *emulator.Network, name, address string) *Gossiper {
	p := &emulator.Platform{}
	f := &follower.Follower{Log: &emulator.Direct{Platform: p}, Logger: logr.Discard()}
	return &Gossiper{
		Instance: name, Incarnation: 1, FailureDomain: "d", Address: address,
		Interval: 200 * time.Millisecond, Silence: time.Second, StaleLimit: 3 * time.Second,
		Dial: network.Dialer(name), Admitter: &admitter.Admitter{Instance: name}, Follower: f, Logger: logr.Discard(),
	}
}

// serve runs a node's listener and links until the returned function is called.
func serve(t *testing.T, network *emulator.Network, g *Gossiper, peers ...string) func() {
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

func TestNonsenseIsDropped(t *testing.T) {
	hello, err := framer.Encode(&savoryloft.Frame{Hello: &savoryloft.Hello{Version: 99, Instance: "x"}})
	require.NoError(t, err)
	long := binary.BigEndian.AppendUint32(nil, 1<<31)
	tests := []struct {
		name  string
		bytes []byte
	}{
		{"text", []byte("GET / HTTP/1.1\r\n\r\n")},
		{"length beyond the bound", long},
		{"other version", hello},
		{"empty frame", []byte{0, 0, 0, 0}},
		{"nothing", nil},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				network := emulator.NewNetwork()
				stop := serve(t, network, node(network, "a", "127.0.0.1:1"))
				defer stop()
				c, err := network.Dialer("evil")(t.Context(), "127.0.0.1:1")
				require.NoError(t, err)
				_, err = c.Write(tt.bytes)
				require.NoError(t, err)
				began := time.Now()
				_, err = c.Read(make([]byte, 1))
				require.Error(t, err)
				require.LessOrEqual(t, time.Since(began), time.Second)
			})
		})
	}
}

func TestSilentLinkIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := emulator.NewNetwork()
		a, b := node(network, "a", "127.0.0.1:1"), node(network, "b", "127.0.0.1:2")
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

// A process that comes back after a pause, or an old digest that was held up,
// does not take the place of a later incarnation.
func TestOlderDigestsChangeNothing(t *testing.T) {
	g := node(emulator.NewNetwork(), "a", "127.0.0.1:1")
	g.init()
	hear := func(incarnation, sequence, offset int) {
		g.heardFrom(savoryloft.Hello{Instance: "b", Incarnation: incarnation},
			savoryloft.Digest{Sequence: sequence, Offset: offset, ConfirmedAgo: savoryloft.Duration(time.Hour)})
	}
	hear(2, 5, 50)
	hear(1, 9, 40)
	hear(2, 4, 45)
	require.Equal(t, 50, g.HighestOffset())
	require.True(t, g.Replaced("b", 1))
	require.False(t, g.Replaced("b", 2))
	hear(3, 1, 60)
	require.Equal(t, 60, g.HighestOffset())
}

// A digest on each link at each interval stays within the budget for control
// of 5 KB a second with the users' fleet of 8 instances.
func TestDigestsStayWithinBudget(t *testing.T) {
	const budget = 5000 // Bytes a second, from the target.
	synctest.Test(t, func(t *testing.T) {
		network := emulator.NewNetwork()
		var nodes []*Gossiper
		var addresses []string
		for i := range 8 {
			address := "127.0.0.1:" + string(rune('1'+i))
			g := node(network, "entry-"+string(rune('a'+i)), address)
			g.Admitter = busyAdmitter(t, g.Instance)
			nodes, addresses = append(nodes, g), append(addresses, address)
		}
		var stops []func()
		for _, g := range nodes {
			stops = append(stops, serve(t, network, g, addresses...))
		}
		time.Sleep(2 * time.Second)
		before, _ := nodes[0].Bytes()
		time.Sleep(60 * time.Second)
		after, _ := nodes[0].Bytes()
		t.Logf("%d bytes sent in a second", (after-before)/60)
		require.LessOrEqual(t, (after-before)/60, int64(budget))
		for _, stop := range stops {
			stop()
		}
	})
}

// busyAdmitter returns an admitter with requests of all tiers running in two
// pools and limits below their slots on 24 upstreams.
func busyAdmitter(t *testing.T, name string) *admitter.Admitter {
	a := &admitter.Admitter{Instance: name}
	var targets []admitter.UpstreamConfig
	for i := range 24 {
		targets = append(targets, admitter.UpstreamConfig{Name: "engine-" + string(rune('a'+i)), Pool: "chat", Slots: 16})
	}
	a.Update(map[string]savoryloft.Pool{"chat": {}, "booking": {}}, nil, targets)
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
