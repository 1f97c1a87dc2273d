// Package logsvc is the client of the platform's append-only log service.
//
// The service holds streams of records. An appended record gets the next offset
// of its stream and is kept for a limited time; the oldest records are dropped
// first. The service can be down or slow, and a response can be lost after the
// append took effect, so [AppendError] states whether the record may have been
// appended.
//
// # Usage
//
//	cl := &logsvc.Client{URL: "http://10.0.0.9:7000", Token: token}
//	offset, err := cl.Append(ctx, "configuration", data)
//	var ae *logsvc.AppendError
//	if errors.As(err, &ae) && ae.Effect == logsvc.MayBeAppended {
//		// read the stream to find out whether the record was appended
//	}
//	batch, err := cl.Read(ctx, "configuration", next, 256, 2*clock.Second)
//
// # Protocol
//
//	POST /streams/{stream}/records                     body: the record's bytes
//	GET  /streams/{stream}/records?From=&Max=&Wait=    waits up to Wait for the record at From
//
// Responses are JSON, with records in base64; a bearer token authenticates the client.
package logsvc

import (
	"context"
	"fmt"

	"alderdyke/pkg/clock"
)

// Effects that a failed append may have had.
const (
	// NotAppended guarantees that the service never accepted the record.
	NotAppended Effect = "NotAppended"
	// MayBeAppended applies whenever NotAppended can't be guaranteed.
	MayBeAppended Effect = "MayBeAppended"
)

type (
	// Record is one entry of a stream.
	Record struct {
		Offset uint64
		Data   []byte
	}

	// Batch is a sequence of consecutive records. It holds every kept record
	// from the requested offset, or from First if that is higher, up to but
	// not including Next. A reader that requested an offset below First has
	// permanently missed records.
	Batch struct {
		Records []Record
		First   uint64 // lowest offset still kept; equal to End if none is
		Next    uint64 // offset after the last record of the batch
		End     uint64 // offset after the last record of the stream, as reported by the service
	}

	// Log is an append-only log.
	Log interface {
		// Append adds a record and returns its offset. An error unwraps to
		// an *AppendError.
		Append(ctx context.Context, stream string, data []byte) (uint64, error)

		// Read returns up to maxRecords records, starting at the offset from.
		// It waits up to the given time for the first of them and returns an
		// empty batch if none arrived.
		Read(ctx context.Context, stream string, from uint64, maxRecords int, wait clock.Millis) (Batch, error)
	}

	// Effect states whether a failed append may have taken effect.
	Effect string

	// AppendError is a failed append.
	AppendError struct {
		Stream string
		Effect Effect
		Err    error
	}

	// StatusError is a response of the service with a status other than 200.
	StatusError struct {
		Method string
		Status int
	}

	// TooLargeError reports a record or a response that exceeds its limit.
	TooLargeError struct {
		What  string
		Bytes int64 // at least this many
		Limit int64
	}

	// BatchError reports a response whose offsets contradict each other.
	BatchError struct {
		Stream string
		From   uint64
		Detail string
	}
)

// Error returns a message with the stream and the effect.
func (ae *AppendError) Error() string {
	return fmt.Sprintf("append to stream %s (%s): %v", ae.Stream, ae.Effect, ae.Err)
}

// Unwrap returns the cause.
func (ae *AppendError) Unwrap() error { return ae.Err }

// Error returns a message with the method and the status.
func (se *StatusError) Error() string {
	return fmt.Sprintf("log service responded to %s with status %d", se.Method, se.Status)
}

// Error returns a message with the size and the limit.
func (te *TooLargeError) Error() string {
	return fmt.Sprintf("%s of at least %d bytes exceeds the limit of %d bytes", te.What, te.Bytes, te.Limit)
}

// Error returns a message with the stream and the offset of the read.
func (be *BatchError) Error() string {
	return fmt.Sprintf("stream %s read from %d: %s", be.Stream, be.From, be.Detail)
}

// Check validates the batch as the response to a read from the given offset: the
// record offsets must increase and lie within the bounds that the batch states.
func (ba Batch) Check(stream string, from uint64) error {
	bad := func(detail string) error { return &BatchError{Stream: stream, From: from, Detail: detail} }
	if ba.First > ba.End || ba.Next > ba.End {
		return bad("First or Next is greater than End")
	}
	low := max(from, ba.First)
	for _, rec := range ba.Records {
		if rec.Offset < low || rec.Offset >= ba.Next {
			return bad(fmt.Sprintf("record offset %d is out of order or out of bounds", rec.Offset))
		}
		low = rec.Offset + 1
	}
	return nil
}
