package faker

import (
	"bufio"
	"net"
	"net/http"
)

// Server is an HTTP server whose responses a test writes byte by byte.
type Server struct {
	// Respond responds to a request, whose body it may read, and reports whether the
	// connection stays open. It may close the connection in its own way.
	Respond func(r Request) (keep bool)
}

// Request is a request that a Server has received.
type Request struct {
	*http.Request
	Conn   net.Conn
	Number int // Of the request on its connection, from 0.
}

// Serve handles the connections of a listener until it is closed.
func (s *Server) Serve(l net.Listener) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		go s.serveConn(conn)
	}
}

func (s *Server) serveConn(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for n := 0; ; n++ {
		r, err := http.ReadRequest(reader)
		if err != nil || !s.Respond(Request{r, conn, n}) {
			return
		}
	}
}
