// Package framer encodes and decodes the frames that instances exchange. A frame
// is the length of the body in bytes, as a 4-byte big-endian integer, followed by
// the body, which is MessagePack with structs encoded as arrays, unless their type
// encodes itself.
//
// # Usage
//
//	data, err := framer.Encode(&frame)
//	_, err = conn.Write(data)
//
//	body, err := framer.ReadBody(reader)
//	err = framer.Decode(body, &frame)
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
	// HeaderBytes is the size of a frame's length header.
	HeaderBytes  = 4
	maxBodyBytes = 16 << 20
	maxElements  = 1 << 16 // Per array or map; a map's keys and values count separately.
)

// ErrInvalid is returned when data received from a peer is not a valid frame.
var ErrInvalid = errors.New("peer sent an invalid frame")

// Encode encodes v as a frame. It returns an error if v cannot be encoded as
// MessagePack.
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

// ReadBody reads one frame and returns its body. It returns ErrInvalid if the
// declared length exceeds the limit, and otherwise the error of r.
func ReadBody(r io.Reader) ([]byte, error) {
	var header [HeaderBytes]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return nil, err
	}
	length := binary.BigEndian.Uint32(header[:])
	if length > maxBodyBytes {
		return nil, fmt.Errorf("%w: body of %d bytes exceeds the limit of %d", ErrInvalid, length, maxBodyBytes)
	}
	// The buffer grows with the data received, so that a false length alone does not
	// allocate memory.
	var body bytes.Buffer
	if _, err := io.CopyN(&body, r, int64(length)); err != nil {
		return nil, err
	}
	return body.Bytes(), nil
}

// Decode decodes a frame's body into v. It returns ErrInvalid if the body is
// malformed or does not match the type of v.
func Decode(body []byte, v any) error {
	if err := checkLengths(body); err != nil {
		return fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	if err := msgpack.Unmarshal(body, v); err != nil {
		return fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	return nil
}

// checkLengths returns an error if an array or map in an encoded body declares
// more elements than maxElements or than the remaining bytes can hold. The decoder
// allocates memory for the declared number before it reads the first element.
func checkLengths(data []byte) error {
	r := bytes.NewReader(data)
	dec := msgpack.NewDecoder(r)
	for pending := 1; pending > 0; pending-- {
		if pending > r.Len()+1 {
			return fmt.Errorf("%d elements declared, but only %d bytes remain", pending, r.Len())
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
			return fmt.Errorf("array or map of %d elements exceeds the limit of %d", n, maxElements)
		}
		pending += n
	}
	return nil
}
