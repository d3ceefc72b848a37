package soaker

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against streams that lack events in the middle, since the proxy forwards bytes
// after others that it has dropped.
func TestProxySkipsNoBytes(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	p := &Proxy{Target: l.Addr().String(), IP: "127.0.0.1"}
	address, err := p.Start()
	require.NoError(t, err)
	defer p.Stop()
	caller, err := net.Dial("tcp", address)
	require.NoError(t, err)
	defer caller.Close()
	target, err := l.Accept()
	require.NoError(t, err)
	for _, tt := range []struct {
		mode Mode
		text string
	}{{Forward, "first"}, {DropResponses, "dropped"}, {Forward, "last"}} {
		p.SetMode(tt.mode)
		_, err = target.Write([]byte(tt.text))
		require.NoError(t, err)
		time.Sleep(50 * time.Millisecond) // Until the proxy has read it.
	}
	require.NoError(t, target.Close())
	data, err := io.ReadAll(caller)
	require.Error(t, err, "reset, as the response may look whole otherwise")
	require.Equal(t, "first", string(data))
}
