package wigeonendpoint

import (
	"bufio"
	"encoding/json"
	"errors"
	"io"
	"sync"

	"wigeonshift"
)

const (
	// frameBufferBytes holds a usual frame.
	frameBufferBytes = 4 << 10
	// maxFrameBytes bounds one frame.
	maxFrameBytes = 4 << 20
	// maxFailureBytes bounds the body of an answer that is not a stream.
	maxFailureBytes = 64 << 10
)

// errBadFrame reports a frame that is malformed or beyond its bound.
var errBadFrame = errors.New("malformed frame")

var frameReaders = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, frameBufferBytes) }}

// frames reads the frames of one stream and checks that they belong to the attempt and leave no gap.
type frames struct {
	token wigeonshift.AttemptToken
	sink  func(wigeonshift.Chunk) error
	// offset is the index of the next token.
	offset int
	result wigeonshift.GenerateResult
	// sinkErr is the error of the sink that ended the stream.
	sinkErr error
	// ended is set when the body ended right after the result.
	ended bool
	// long collects a frame that outgrows the reader's buffer.
	long []byte
}

// frame is one line of a stream. The fields whose token is set are present.
type frame struct {
	Chunk  wigeonshift.Chunk          `json:"chunk"`
	Result wigeonshift.GenerateResult `json:"result"`
}

// read hands all chunks to the sink and keeps the result.
func (f *frames) read(x *exchange) error {
	reader := frameReaders.Get().(*bufio.Reader)
	reader.Reset(x.response.BodyStream())
	defer func() {
		reader.Reset(nil)
		frameReaders.Put(reader)
	}()
	for {
		line, err := f.line(reader)
		if err != nil {
			return err
		}
		x.conn.readTimeout = x.client.set.betweenChunks
		done, err := f.accept(line)
		if err != nil {
			return err
		}
		if done {
			_, err := reader.ReadByte()
			f.ended = errors.Is(err, io.EOF)
			return nil
		}
	}
}

// line reads one frame's text, valid until the next call.
func (f *frames) line(reader *bufio.Reader) ([]byte, error) {
	f.long = f.long[:0]
	for {
		part, err := reader.ReadSlice('\n')
		if err == nil && len(f.long) == 0 {
			return part, nil
		}
		if err == nil {
			f.long = append(f.long, part...)
			return f.long, nil
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return nil, unexpectedEnd(err)
		}
		f.long = append(f.long, part...)
		if len(f.long) > maxFrameBytes {
			return nil, errBadFrame
		}
	}
}

// accept takes one frame; done is set by the result.
func (f *frames) accept(line []byte) (done bool, err error) {
	var fr frame
	if err := json.Unmarshal(line, &fr); err != nil {
		return false, errors.Join(errBadFrame, err)
	}
	if fr.Chunk.Token == "" && fr.Result.Token == "" {
		return false, wigeonshift.ErrAnswerMismatch
	}
	if fr.Chunk.Token != "" {
		if err := f.chunk(fr.Chunk); err != nil {
			return false, err
		}
	}
	if fr.Result.Token == "" {
		return false, nil
	}
	if fr.Result.Token != f.token || fr.Result.TokensDone != f.offset {
		return false, wigeonshift.ErrAnswerMismatch
	}
	f.result = fr.Result
	return true, nil
}

// chunk hands a chunk to the sink if it is the next one of this attempt.
func (f *frames) chunk(c wigeonshift.Chunk) error {
	if c.Token != f.token || c.Offset != f.offset || c.Count < 1 {
		return wigeonshift.ErrAnswerMismatch
	}
	f.offset += c.Count
	f.sinkErr = f.sink(c)
	return f.sinkErr
}

func unexpectedEnd(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// readSmall reads a body up to a bound.
func readSmall(body io.Reader) ([]byte, error) {
	return io.ReadAll(io.LimitReader(body, maxFailureBytes))
}
