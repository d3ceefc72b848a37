package gossiper

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"time"

	"github.com/vmihailenco/msgpack/v5"
	"github.com/vmihailenco/msgpack/v5/msgpcode"

	"savoryloft.example/savoryloft"
)

const (
	headerBytes   = 4
	maxFrameBytes = 16 << 20
	maxElements   = 1 << 16 // Most elements of one array or map.
)

// errNonsense says that a peer has sent what is not a valid frame.
var errNonsense = errors.New("peer sent an invalid frame")

// framer reads and writes frames on one connection. A connection without a
// frame for the silence limit fails.
type framer struct {
	net.Conn
	reader   *bufio.Reader
	gossiper *Gossiper
}

func newFramer(c net.Conn, g *Gossiper) *framer {
	return &framer{Conn: c, reader: bufio.NewReader(c), gossiper: g}
}

func (f *framer) write(frame savoryloft.Frame) error {
	data, err := encodeFrame(frame)
	if err != nil {
		return err
	}
	_ = f.SetWriteDeadline(time.Now().Add(f.gossiper.Silence))
	n, err := f.Conn.Write(data)
	f.gossiper.sent.Add(int64(n))
	return err
}

func (f *framer) read() (savoryloft.Frame, error) {
	_ = f.SetReadDeadline(time.Now().Add(f.gossiper.Silence))
	var header [headerBytes]byte
	if _, err := io.ReadFull(f.reader, header[:]); err != nil {
		return savoryloft.Frame{}, err
	}
	length := binary.BigEndian.Uint32(header[:])
	if length > maxFrameBytes {
		return savoryloft.Frame{}, fmt.Errorf("%w: %d bytes long, at most %d are allowed", errNonsense, length, maxFrameBytes)
	}
	// Grows with what arrives, so that a false length alone takes no memory.
	var body bytes.Buffer
	n, err := io.CopyN(&body, f.reader, int64(length))
	f.gossiper.received.Add(n + headerBytes)
	if err != nil {
		return savoryloft.Frame{}, err
	}
	return decodeFrame(body.Bytes())
}

func encodeFrame(frame savoryloft.Frame) ([]byte, error) {
	var buf bytes.Buffer
	buf.Write(make([]byte, headerBytes))
	enc := msgpack.NewEncoder(&buf)
	enc.UseArrayEncodedStructs(true)
	enc.UseCompactInts(true)
	if err := enc.Encode(&frame); err != nil {
		return nil, err
	}
	data := buf.Bytes()
	binary.BigEndian.PutUint32(data, uint32(len(data)-headerBytes))
	return data, nil
}

func decodeFrame(data []byte) (savoryloft.Frame, error) {
	var frame savoryloft.Frame
	if err := checkLengths(data); err != nil {
		return frame, fmt.Errorf("%w: %w", errNonsense, err)
	}
	if err := msgpack.Unmarshal(data, &frame); err != nil {
		return frame, fmt.Errorf("%w: %w", errNonsense, err)
	}
	if err := frame.Check(); err != nil {
		return frame, fmt.Errorf("%w: %w", errNonsense, err)
	}
	return frame, nil
}

// checkLengths walks through an encoded frame and refuses arrays and maps that
// claim more elements than a frame can have. The decoder would allocate what
// they claim before it reads the first element.
func checkLengths(data []byte) error {
	r := bytes.NewReader(data)
	dec := msgpack.NewDecoder(r)
	for pending := 1; pending > 0; pending-- {
		if pending > r.Len()+1 {
			return fmt.Errorf("%d elements are announced in %d bytes", pending, r.Len())
		}
		code, err := dec.PeekCode()
		if err != nil {
			return err
		}
		n := 0
		switch {
		case msgpcode.IsFixedArray(code), code == msgpcode.Array16, code == msgpcode.Array32:
			n, err = dec.DecodeArrayLen()
		case msgpcode.IsFixedMap(code), code == msgpcode.Map16, code == msgpcode.Map32:
			n, err = dec.DecodeMapLen()
			n *= 2
		default:
			err = dec.Skip()
		}
		if err != nil {
			return err
		}
		if n > maxElements {
			return fmt.Errorf("an array or map announces %d elements, at most %d are allowed", n, maxElements)
		}
		pending += n
	}
	return nil
}
