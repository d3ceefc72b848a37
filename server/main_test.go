package server_test

import (
	"os"
	"testing"

	"github.com/valyala/fasthttp"
)

// TestMain starts fasthttp's date goroutine, which never ends, outside of any
// bubble: error answers start it even on servers without a Date header.
func TestMain(m *testing.M) {
	var h fasthttp.ResponseHeader
	_ = h.String()
	os.Exit(m.Run())
}
