package server_test

import (
	"os"
	"testing"

	"github.com/valyala/fasthttp"
)

// TestMain starts fasthttp's date goroutine, which never ends, outside of any
// synctest bubble. Otherwise the first error response would start it inside one,
// even with NoDefaultDate, and the bubble could not end.
func TestMain(m *testing.M) {
	var h fasthttp.ResponseHeader
	_ = h.String()
	os.Exit(m.Run())
}
