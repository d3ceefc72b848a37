package gossiper

import (
	"bufio"
	"fmt"
	"net"
	"time"

	"savoryloft.example/savoryloft"
	"savoryloft.example/savoryloft/framer"
)

// frames reads and writes frames on one connection. A connection without a
// frame for the silence limit fails.
type frames struct {
	net.Conn
	reader   *bufio.Reader
	gossiper *Gossiper
}

func newFrames(c net.Conn, g *Gossiper) *frames {
	return &frames{Conn: c, reader: bufio.NewReader(c), gossiper: g}
}

func (f *frames) write(frame savoryloft.Frame) error {
	data, err := framer.Encode(&frame)
	if err != nil {
		return err
	}
	_ = f.SetWriteDeadline(time.Now().Add(f.gossiper.Silence))
	n, err := f.Conn.Write(data)
	f.gossiper.sent.Add(int64(n))
	return err
}

func (f *frames) read() (savoryloft.Frame, error) {
	_ = f.SetReadDeadline(time.Now().Add(f.gossiper.Silence))
	body, err := framer.ReadBody(f.reader)
	if err != nil {
		return savoryloft.Frame{}, err
	}
	f.gossiper.received.Add(int64(len(body) + framer.HeaderBytes))
	return decodeFrame(body)
}

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
