// Package logsvc speaks to the platform's append-only log service.
//
// The service holds streams. An append gets the next offset of its stream and
// is kept for a limited time; the oldest records are dropped first. The
// service can be down or slow, and a reply can be lost after the append took
// effect, so [AppendError] says which of the two an error leaves open.
//
// # Usage
//
//	cl := &logsvc.Client{URL: "http://10.0.0.9:7000", Token: token}
//	offset, err := cl.Append(ctx, "configuration", data)
//	var ae *logsvc.AppendError
//	if errors.As(err, &ae) && ae.Effect == logsvc.MayBeAppended {
//		// read the stream to learn whether the record is there
//	}
//	batch, err := cl.Read(ctx, "configuration", next, 256, 2*clock.Second)
//
// # Protocol
//
//	POST /streams/{stream}/records                     body: the record's bytes
//	GET  /streams/{stream}/records?From=&Max=&Wait=    waits up to Wait for the record at From
//
// Answers are JSON, records in base64; a bearer token proves the caller.
package logsvc

import (
	"context"
	"fmt"

	"alderdyke/pkg/clock"
)

// Effects that a failed append may have had.
const (
	// NotAppended is a promise: the service never took the record.
	NotAppended Effect = "NotAppended"
	// MayBeAppended is said whenever NotAppended can't be promised.
	MayBeAppended Effect = "MayBeAppended"
)

type (
	// Record is one entry of a stream.
	Record struct {
		Offset uint64
		Data   []byte
	}

	// Batch is a run of records. It holds every kept record from the
	// offset that was asked for, or from First if that is higher, up to
	// Next. A reader that asked for an offset below First has missed
	// records for good.
	Batch struct {
		Records []Record
		First   uint64 // lowest offset still kept; equal to End if none is
		Next    uint64 // offset after the last record of the batch
		End     uint64 // offset after the last record of the stream, as far as the service told
	}

	// Log is an append-only log.
	Log interface {
		// Append adds a record and returns its offset. An error unwraps to
		// an *AppendError.
		Append(ctx context.Context, stream string, data []byte) (uint64, error)

		// Read returns up to most records from the offset on. It waits up
		// to the given span for the first of them and returns an empty
		// batch if none came.
		Read(ctx context.Context, stream string, from uint64, maxRecords int, wait clock.Millis) (Batch, error)
	}

	// Effect tells whether a failed append may have taken place.
	Effect string

	// AppendError is a failed append.
	AppendError struct {
		Stream string
		Effect Effect
		Err    error
	}

	// StatusError is an answer of the service other than success.
	StatusError struct {
		Method string
		Status int
	}

	// TooLargeError tells of a record or an answer beyond its bound.
	TooLargeError struct {
		What  string
		Bytes int64 // at least this many
		Limit int64
	}

	// BatchError is an answer whose offsets contradict each other.
	BatchError struct {
		Stream string
		From   uint64
		Detail string
	}
)

// Error names the stream and the effect.
func (ae *AppendError) Error() string {
	return fmt.Sprintf("append to stream %s (%s): %v", ae.Stream, ae.Effect, ae.Err)
}

// Unwrap returns the cause.
func (ae *AppendError) Unwrap() error { return ae.Err }

// Error names the status.
func (se *StatusError) Error() string {
	return fmt.Sprintf("log service answered %s with status %d", se.Method, se.Status)
}

// Error names the bound.
func (te *TooLargeError) Error() string {
	return fmt.Sprintf("%s of %d bytes or more is beyond the limit of %d", te.What, te.Bytes, te.Limit)
}

// Error names the place.
func (be *BatchError) Error() string {
	return fmt.Sprintf("stream %s read from %d: %s", be.Stream, be.From, be.Detail)
}

// Check tells whether the batch can answer a read from the given offset:
// offsets grow, and lie between the bounds that the batch states.
func (ba Batch) Check(stream string, from uint64) error {
	bad := func(detail string) error { return &BatchError{Stream: stream, From: from, Detail: detail} }
	if ba.First > ba.End || ba.Next > ba.End {
		return bad("its bounds lie beyond its end")
	}
	low := max(from, ba.First)
	for _, rec := range ba.Records {
		if rec.Offset < low || rec.Offset >= ba.Next {
			return bad(fmt.Sprintf("record %d lies out of order or out of bounds", rec.Offset))
		}
		low = rec.Offset + 1
	}
	return nil
}
