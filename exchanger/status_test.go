package exchanger_test

import (
	"fmt"
	"testing"
)

// Guards against responses whose status is none: a status of 000 was read as 200, or the
// head was skipped as that of an informational response.
func TestMalformedStatusLines(t *testing.T) {
	for _, line := range []string{
		"HTTP/1.1 000", "HTTP/1.1 000 OK", "HTTP/1.0 000 OK", "HTTP/1.1 001 OK", "HTTP/1.1 020 OK", "HTTP/1.1 099 OK",
		"HTTP/1.1 600 OK", "HTTP/1.1 999 OK", "HTTP/1.1 101 Switching Protocols",
		"HTTP/1.1 +20 OK", "HTTP/1.1 -00 OK", "HTTP/1.1 -20 OK", "HTTP/1.1 20 OK", "HTTP/1.1 2000 OK", "HTTP/1.1 0 OK",
		"HTTP/1.1 2 0 OK", "HTTP/1.1 2x0 OK", "HTTP/1.1 OK", "HTTP/1.1 ", "HTTP/1.1", "HTTP/1.1\t200 OK", "HTTP/1.1 200\tOK", "HTTP/1.1 \xb2\xb0\xb0 OK",
		"HTTP/0.9 200 OK", "HTTP/2.0 200 OK", "HTTP/2 200 OK", "HTTP/1.10 200 OK", "HTTP/11 200 OK", "http/1.1 200 OK", "HTTPS/1.1 200 OK", " HTTP/1.1 200 OK", "200 OK", "",
	} {
		t.Run(fmt.Sprintf("%q", line), func(t *testing.T) {
			for _, fields := range []string{"", "Content-Length: 5\r\n", "Content-Length: 0\r\n", "Transfer-Encoding: chunked\r\n", "X-A: 1\r\n"} {
				requireMalformed(t, line+"\r\n"+fields)
				requireMalformed(t, "HTTP/1.1 103 Early Hints\r\n\r\n"+line+"\r\n"+fields)
			}
		})
	}
}
