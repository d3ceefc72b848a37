package main

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"

	"savoryloft.example/savoryloft/exchanger"
)

// Guards against requests that are given up because a sound upstream falls silent for a
// moment: it may leave a body unread for a second or so.
func TestUpstreamThatIsSilentForAMomentKeepsItsRequest(t *testing.T) {
	const (
		silence   = 1600 * time.Millisecond
		bodyBytes = 16 << 20 // The sockets cannot buffer it.
	)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	var group errgroup.Group
	group.Go(func() error {
		conn, err := listener.Accept()
		if err != nil {
			return err
		}
		defer conn.Close()
		time.Sleep(silence)
		_, err = io.Copy(io.Discard, io.LimitReader(conn, bodyBytes))
		return err
	})
	dialer := exchanger.Dialer{UserTimeout: userTimeout, ConnectTimeout: connectTimeout}
	conn, err := dialer.Dial(context.Background(), listener.Addr().String())
	require.NoError(t, err)
	defer conn.Close()
	n, err := conn.Write(make([]byte, bodyBytes))
	require.NoError(t, err)
	require.Equal(t, bodyBytes, n)
	require.NoError(t, group.Wait())
}
