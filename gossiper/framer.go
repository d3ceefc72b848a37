package gossiper

import (
	"bufio"
	"fmt"
	"net"
	"time"

	"savoryloft.example/savoryloft"
	"savoryloft.example/savoryloft/framer"
)

// frameConn reads and writes frames on a connection and counts the bytes for its
// Gossiper. A read or write that takes longer than LinkTimeout fails.
type frameConn struct {
	net.Conn
	reader   *bufio.Reader
	gossiper *Gossiper
}

func newFrameConn(conn net.Conn, g *Gossiper) *frameConn {
	return &frameConn{Conn: conn, reader: bufio.NewReader(conn), gossiper: g}
}

func (c *frameConn) write(frame savoryloft.Frame) error {
	data, err := framer.Encode(&frame)
	if err != nil {
		return err
	}
	_ = c.SetWriteDeadline(time.Now().Add(c.gossiper.LinkTimeout))
	n, err := c.Conn.Write(data)
	c.gossiper.sent.Add(int64(n))
	return err
}

func (c *frameConn) read() (savoryloft.Frame, error) {
	_ = c.SetReadDeadline(time.Now().Add(c.gossiper.LinkTimeout))
	body, err := framer.ReadBody(c.reader)
	if err != nil {
		return savoryloft.Frame{}, err
	}
	c.gossiper.received.Add(int64(len(body) + framer.HeaderBytes))
	return decodeFrame(body)
}

// decodeFrame decodes and checks the body of a frame. It returns an error that wraps
// framer.ErrInvalid if the body is not a valid frame.
func decodeFrame(data []byte) (savoryloft.Frame, error) {
	var frame savoryloft.Frame
	if err := framer.Decode(data, &frame); err != nil {
		return frame, err
	}
	if err := frame.Check(); err != nil {
		return frame, fmt.Errorf("%w: %w", framer.ErrInvalid, err)
	}
	return frame, nil
}
