package launcher

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
)

// serveStray answers each request on a connection after repeating the answer
// to the one before it.
func serveStray(l net.Listener) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			defer conn.Close()
			reader, last := bufio.NewReader(conn), ""
			for {
				r, err := http.ReadRequest(reader)
				if err != nil {
					return
				}
				body := make([]byte, r.ContentLength)
				_, _ = reader.Read(body)
				id := r.Header.Get("X-Attempt-Id")
				answer := "for " + id
				text := fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Server-Signature: s\r\nContent-Length: %d\r\n\r\n%s", id, len(answer), answer)
				if _, err := conn.Write([]byte(last + text)); err != nil {
					return
				}
				last = text
			}
		}()
	}
}

// parseCount reads the figure of the account from a printed report.
func parseCount(report string, n *int) (string, error) {
	_, after, ok := strings.Cut(report, "account:")
	if !ok {
		return "", strconv.ErrSyntax
	}
	v, err := strconv.Atoi(strings.TrimSuffix(after, "]"))
	*n = v
	return after, err
}
