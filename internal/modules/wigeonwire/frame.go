// Package wigeonwire implements the wire format between instances: length-delimited protobuf frames.
package wigeonwire

import (
	"encoding/binary"
	"errors"
	"io"

	"github.com/samber/oops"
	"google.golang.org/protobuf/proto"
)

// ProtocolVersion is the version of the wire format. Instances with different versions reject each other's sessions.
const ProtocolVersion = 1

// readStepBytes limits the memory that a reader allocates for the announced length of a frame before any data arrives.
const readStepBytes = 64 << 10

// Sentinel errors of the codec.
var (
	// ErrMalformed reports data that is not a valid frame.
	ErrMalformed = errors.New("malformed frame")
	// ErrTooLarge reports a frame that exceeds the size limit.
	ErrTooLarge = errors.New("frame too large")
)

// ByteReader is the source of frames, such as a bufio.Reader.
type ByteReader interface {
	io.Reader
	io.ByteReader
}

// EncodeFrame returns an encoded frame with its length prefix.
func EncodeFrame(f *Frame) ([]byte, error) {
	size := proto.Size(f)
	buf := make([]byte, 0, size+binary.MaxVarintLen32)
	buf = binary.AppendUvarint(buf, uint64(size))
	buf, err := proto.MarshalOptions{UseCachedSize: true}.MarshalAppend(buf, f)
	if err != nil {
		return nil, oops.In("wire").Wrap(errors.Join(ErrMalformed, err))
	}
	return buf, nil
}

// ReadFrame reads one frame of at most limit bytes and returns it with its size on the wire, which includes the length
// prefix.
func ReadFrame(r ByteReader, limit int) (*Frame, int, error) {
	size, err := binary.ReadUvarint(r)
	if err != nil {
		return nil, 0, err
	}
	if size > uint64(limit) {
		return nil, 0, oops.In("wire").With("size", size, "limit", limit).Wrap(ErrTooLarge)
	}
	body, err := readBody(r, int(size))
	if err != nil {
		return nil, 0, err
	}
	f, err := DecodeFrame(body)
	return f, len(body) + uvarintBytes(size), err
}

// DecodeFrame decodes a frame without its length prefix.
func DecodeFrame(body []byte) (*Frame, error) {
	f := &Frame{}
	if err := proto.Unmarshal(body, f); err != nil {
		return nil, oops.In("wire").Wrap(errors.Join(ErrMalformed, err))
	}
	if f.Body == nil {
		return nil, oops.In("wire").Wrap(ErrMalformed)
	}
	return f, nil
}

// readBody reads size bytes. The buffer at most doubles with each step, so that a sender can't force a large allocation
// by announcing a length without sending the data.
func readBody(r io.Reader, size int) ([]byte, error) {
	body := make([]byte, 0, min(size, readStepBytes))
	for len(body) < size {
		start := len(body)
		step := min(size-start, max(readStepBytes, start))
		body = append(body, make([]byte, step)...)
		if _, err := io.ReadFull(r, body[start:]); err != nil {
			return nil, err
		}
	}
	return body, nil
}

// uvarintBytes returns the encoded length of an unsigned varint.
func uvarintBytes(v uint64) int {
	n := 1
	for ; v >= 0x80; v >>= 7 {
		n++
	}
	return n
}
