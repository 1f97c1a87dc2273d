package peer

import (
	"bytes"
	"errors"
	"fmt"
	"io"

	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"
)

// encode encodes a message with its length as a prefix.
func encode(msg proto.Message, limit int) ([]byte, error) {
	if size := proto.Size(msg); size > limit {
		return nil, SizeError{Size: size, Limit: limit}
	}
	var buf bytes.Buffer
	if _, err := protodelim.MarshalTo(&buf, msg); err != nil {
		return nil, fmt.Errorf("encode message: %w", err)
	}
	return buf.Bytes(), nil
}

// decode reads one message with its length as a prefix, and no byte more. The error is
// io.EOF if there is no message.
func decode(rd protodelim.Reader, msg proto.Message, limit int) error {
	err := protodelim.UnmarshalOptions{MaxSize: int64(limit)}.UnmarshalFrom(rd, msg)
	var tooLarge *protodelim.SizeTooLargeError
	switch {
	case err == io.EOF:
		return io.EOF
	case errors.As(err, &tooLarge):
		return SizeError{Size: int(min(tooLarge.Size, 1<<62)), Limit: limit}
	case err != nil:
		return fmt.Errorf("decode message: %w", err)
	}
	return nil
}

// byteReader reads single bytes without reading ahead, so that nothing is buffered for
// an idle stream. If set, onFirstByte is called once the first byte of a message was
// read.
type byteReader struct {
	io.Reader
	onFirstByte func()
}

// ReadByte reads one byte of a message's length.
func (br *byteReader) ReadByte() (byte, error) {
	var one [1]byte
	if _, err := io.ReadFull(br.Reader, one[:]); err != nil {
		return 0, err
	}
	if br.onFirstByte != nil {
		br.onFirstByte()
		br.onFirstByte = nil
	}
	return one[0], nil
}
