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
	// frameBufferBytes is the size of a read buffer, enough for a typical frame.
	frameBufferBytes = 4 << 10
	// maxFrameBytes limits the size of one frame.
	maxFrameBytes = 4 << 20
	// maxErrorBodyBytes limits how much is read of the body of a response that is not a stream.
	maxErrorBodyBytes = 64 << 10
)

// errMalformedFrame reports a frame that is malformed or longer than maxFrameBytes.
var errMalformedFrame = errors.New("malformed frame")

var bufferedReaders = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, frameBufferBytes) }}

// frameReader reads the frames of one stream. It checks that they belong to the attempt and that their token offsets
// have no gap.
type frameReader struct {
	token wigeonshift.AttemptToken
	sink  func(wigeonshift.Chunk) error
	// offset is the index of the next expected token.
	offset int
	result wigeonshift.GenerateResult
	// sinkErr is the error of the sink, if it ended the stream.
	sinkErr error
	// bodyEnded is set if the body ended directly after the result, so that the connection can be reused.
	bodyEnded bool
	// longLine collects a frame that is longer than the reader's buffer.
	longLine []byte
}

// frame is one line of a stream. It holds a chunk, a result or both; a part is present if its token is set.
type frame struct {
	Chunk  wigeonshift.Chunk          `json:"chunk"`
	Result wigeonshift.GenerateResult `json:"result"`
}

// readStream passes all chunks to the sink and stores the result.
func (f *frameReader) readStream(x *exchange) error {
	reader := bufferedReaders.Get().(*bufio.Reader)
	reader.Reset(x.response.BodyStream())
	defer func() {
		reader.Reset(nil)
		bufferedReaders.Put(reader)
	}()
	for {
		line, err := f.readLine(reader)
		if err != nil {
			return err
		}
		x.conn.ioTimeout = x.client.options.chunkTimeout
		done, err := f.handleFrame(line)
		if err != nil {
			return err
		}
		if done {
			_, err := reader.ReadByte()
			f.bodyEnded = errors.Is(err, io.EOF)
			return nil
		}
	}
}

// readLine returns the text of one frame. The text is valid until the next call.
func (f *frameReader) readLine(reader *bufio.Reader) ([]byte, error) {
	f.longLine = f.longLine[:0]
	for {
		part, err := reader.ReadSlice('\n')
		if err == nil && len(f.longLine) == 0 {
			return part, nil
		}
		if err == nil {
			f.longLine = append(f.longLine, part...)
			return f.longLine, nil
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return nil, asUnexpectedEOF(err)
		}
		f.longLine = append(f.longLine, part...)
		if len(f.longLine) > maxFrameBytes {
			return nil, errMalformedFrame
		}
	}
}

// handleFrame processes one frame. done reports that the frame held the result.
func (f *frameReader) handleFrame(line []byte) (done bool, err error) {
	var fr frame
	if err := json.Unmarshal(line, &fr); err != nil {
		return false, errors.Join(errMalformedFrame, err)
	}
	if fr.Chunk.Token == "" && fr.Result.Token == "" {
		return false, wigeonshift.ErrAnswerMismatch
	}
	if fr.Chunk.Token != "" {
		if err := f.handleChunk(fr.Chunk); err != nil {
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

// handleChunk passes a chunk to the sink if it is the next one of this attempt.
func (f *frameReader) handleChunk(c wigeonshift.Chunk) error {
	if c.Token != f.token || c.Offset != f.offset || c.Count < 1 {
		return wigeonshift.ErrAnswerMismatch
	}
	f.offset += c.Count
	f.sinkErr = f.sink(c)
	return f.sinkErr
}

// asUnexpectedEOF turns io.EOF into io.ErrUnexpectedEOF, because a stream must end with a result.
func asUnexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// readErrorBody reads up to maxErrorBodyBytes of a body.
func readErrorBody(body io.Reader) ([]byte, error) {
	return io.ReadAll(io.LimitReader(body, maxErrorBodyBytes))
}
