package backend

import (
	"errors"
	"io"
)

// firstPiece is the size of the first buffer of a body; an ordinary body of 800 bytes fits.
const firstPiece = 4 << 10

// ReadReserved reads a body to its end, or until it has limit bytes. It reserves each part of
// the capacity of its buffer before it enlarges it, as bytes come, so that a slow sender
// takes at most twice what it sent. The length is that of the body; below zero: unknown. With
// an error of reserve it returns what was read so far.
func ReadReserved(body io.Reader, length int64, limit int, reserve func(bytes int64) error) ([]byte, error) {
	data := []byte{}
	target := limit
	if length >= 0 {
		target = int(min(int64(limit), length+1)) // the last byte is for the end of the body
	}
	for length != 0 && len(data) < target {
		if len(data) == cap(data) {
			size := min(max(2*cap(data), firstPiece), target)
			if err := reserve(int64(size - cap(data))); err != nil {
				return data, err
			}
			larger := make([]byte, len(data), size)
			copy(larger, data)
			data = larger
		}
		size, err := body.Read(data[len(data):cap(data)])
		data = data[:len(data)+size]
		if errors.Is(err, io.EOF) {
			return data, nil
		}
		if err != nil {
			return data, err
		}
	}
	return data, nil
}
