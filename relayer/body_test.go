package relayer

import (
	"io"
	"net"
	"strings"
	"syscall"
	"testing"
	"testing/iotest"

	"github.com/juju/errors"
	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"savoryloft.example/savoryloft/budgeter"
)

// Guards against bodies that are read beyond their limit or the budget, and against cut ones
// that look whole.
func TestReadBody(t *testing.T) {
	const limit = 256 << 10
	whole := strings.Repeat("x", limit)
	for _, tt := range []struct {
		name      string
		body      string
		announced int // Negative for chunks.
		budget    int64
		want      error
	}{
		{"announced", whole, limit, 8 * limit, nil},
		{"in chunks", whole, -1, 8 * limit, nil},
		{"none", "", 0, 8 * limit, nil},
		{"empty, in chunks", "", -1, 8 * limit, nil},
		{"announced over the limit", whole + "x", limit + 1, 8 * limit, fasthttp.ErrBodyTooLarge},
		{"over the limit, in chunks", whole + "x", -1, 8 * limit, fasthttp.ErrBodyTooLarge},
		{"cut", whole[1:], limit, 8 * limit, io.ErrUnexpectedEOF},
		{"over the budget", whole, limit, limit, errNoMemory},
		{"over the budget, in chunks", whole, -1, limit, errNoMemory},
	} {
		t.Run(tt.name, func(t *testing.T) {
			memory := &budgeter.Budget{}
			memory.SetLimit(tt.budget)
			holding := memory.Open(func() {})
			body, err := readBody(iotest.HalfReader(strings.NewReader(tt.body)), tt.announced, limit, holding)
			require.ErrorIs(t, err, tt.want)
			used, _, _ := memory.Totals()
			require.LessOrEqual(t, used, int64(limit+1))
			if tt.want == nil {
				require.Equal(t, tt.body, string(body))
				require.EqualValues(t, cap(body), used)
			}
			holding.Close()
			used, _, _ = memory.Totals()
			require.Zero(t, used)
		})
	}
}

// failingListener has no descriptors for a while.
type failingListener struct {
	net.Listener
	errs []error
}

func (l *failingListener) Accept() (net.Conn, error) {
	if len(l.errs) == 0 {
		return nil, nil
	}
	err := l.errs[0]
	l.errs = l.errs[1:]
	return nil, err
}

// Guards against an instance that ends since it has no descriptors for a moment.
func TestAcceptIsRepeated(t *testing.T) {
	noDescriptors := &net.OpError{Op: "accept", Err: syscall.EMFILE}
	closed := &net.OpError{Op: "accept", Err: net.ErrClosed}
	for _, tt := range []struct {
		name string
		errs []error
		want error
	}{
		{"no descriptors", []error{noDescriptors, noDescriptors}, nil},
		{"closed", []error{noDescriptors, closed}, net.ErrClosed},
		{"ended", []error{io.EOF}, io.EOF},
	} {
		t.Run(tt.name, func(t *testing.T) {
			_, err := AcceptConn(&failingListener{errs: tt.errs})
			require.True(t, errors.Is(err, tt.want), "%v", err)
		})
	}
}
