// Package framer encodes frames between instances: a length of four bytes,
// high byte first, and a msgpack body with structs as arrays.
//
// # Usage
//
//	data, err := framer.Encode(&frame)
//	_, err = conn.Write(data)
//
//	err = framer.Read(reader, &frame)
package framer

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"

	"github.com/vmihailenco/msgpack/v5"
	"github.com/vmihailenco/msgpack/v5/msgpcode"
)

const (
	// HeaderBytes is the length of what precedes a frame's body.
	HeaderBytes   = 4
	maxFrameBytes = 16 << 20
	maxElements   = 1 << 16 // Most elements of one array or map.
)

// ErrInvalid says that a peer has sent what is not a valid frame.
var ErrInvalid = errors.New("peer sent an invalid frame")

// Encode returns v as a frame.
func Encode(v any) ([]byte, error) {
	var buf bytes.Buffer
	buf.Write(make([]byte, HeaderBytes))
	enc := msgpack.NewEncoder(&buf)
	enc.UseArrayEncodedStructs(true)
	enc.UseCompactInts(true)
	if err := enc.Encode(v); err != nil {
		return nil, err
	}
	data := buf.Bytes()
	binary.BigEndian.PutUint32(data, uint32(len(data)-HeaderBytes))
	return data, nil
}

// ReadBody reads one frame and returns its body.
func ReadBody(r io.Reader) ([]byte, error) {
	var header [HeaderBytes]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return nil, err
	}
	length := binary.BigEndian.Uint32(header[:])
	if length > maxFrameBytes {
		return nil, fmt.Errorf("%w: %d bytes long, at most %d are allowed", ErrInvalid, length, maxFrameBytes)
	}
	// Grows with what arrives, so that a false length alone takes no memory.
	var body bytes.Buffer
	if _, err := io.CopyN(&body, r, int64(length)); err != nil {
		return nil, err
	}
	return body.Bytes(), nil
}

// Decode decodes a frame's body into v.
func Decode(body []byte, v any) error {
	if err := checkLengths(body); err != nil {
		return fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	if err := msgpack.Unmarshal(body, v); err != nil {
		return fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	return nil
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
