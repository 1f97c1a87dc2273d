package peer

import (
	"errors"
	"fmt"

	"alderdyke/internal/board"
)

// Steps at which a frame could not be sent.
const (
	StepStart     Step = "Start"     // the transport is not running
	StepDial      Step = "Dial"      // TCP connection
	StepHandshake Step = "Handshake" // TLS and proof of the shared secret
	StepHello     Step = "Hello"     // identity of the other end
	StepOpen      Step = "Open"      // stream on a session
	StepEncode    Step = "Encode"    // the frame is too large or can't be encoded
)

// Causes of a [BrokenError] besides io.EOF, which means that the peer closed the stream.
var (
	// ErrSessionLost means that the session ended with the stream still open: the
	// peer crashed, is unreachable, or stopped.
	ErrSessionLost = errors.New("session lost")
	// ErrSlowFrame means that a frame began but was not completed in time, or that
	// the first frame of a new stream did not arrive in time.
	ErrSlowFrame = errors.New("frame not received in time")
)

type (
	// Step names the step at which sending failed.
	Step string

	// NotSentError reports that the VM could not be reached and that no part of any
	// frame was sent to it.
	NotSentError struct {
		VM   string
		Step Step
		Err  error
	}

	// BrokenError reports that a stream failed after it was open. A frame that was
	// sent on it may have arrived.
	BrokenError struct {
		VM  board.VMRef
		Err error // io.EOF, ErrSessionLost, ErrSlowFrame, a context's error or one of the connection
	}

	// WrongVMError reports that another VM, or an earlier incarnation of the VM, than
	// the intended one answered at an address.
	WrongVMError struct {
		Want, Got board.VMRef
	}

	// UntrustedError reports that the other end does not have the shared secret.
	UntrustedError struct{}

	// SizeError reports that a message is larger than the limit, in bytes.
	SizeError struct {
		Size, Limit int
	}

	// SecretError reports that the shared secret is too short, in bytes.
	SecretError struct {
		Size, Min int
	}
)

// Error names the VM that could not be reached, the step and the cause.
func (ne NotSentError) Error() string {
	return fmt.Sprintf("not sent to VM %s (%s): %v", ne.VM, ne.Step, ne.Err)
}

// Unwrap returns the cause.
func (ne NotSentError) Unwrap() error { return ne.Err }

// Error names the VM whose stream failed, and the cause.
func (be BrokenError) Error() string {
	return fmt.Sprintf("stream with VM %s (incarnation %d) failed: %v", be.VM.ID, be.VM.Incarnation, be.Err)
}

// Unwrap returns the cause.
func (be BrokenError) Unwrap() error { return be.Err }

// Error names the expected VM and the one found.
func (we WrongVMError) Error() string {
	return fmt.Sprintf("expected VM %s (incarnation %d or later), found VM %s (incarnation %d)",
		we.Want.ID, we.Want.Incarnation, we.Got.ID, we.Got.Incarnation)
}

// Error states that the secret differs.
func (UntrustedError) Error() string { return "other end does not have the shared secret" }

// Error states the size and the limit.
func (se SizeError) Error() string {
	return fmt.Sprintf("message of %d bytes exceeds the limit of %d", se.Size, se.Limit)
}

// Error states the size and the minimum.
func (se SecretError) Error() string {
	return fmt.Sprintf("shared secret of %d bytes is too short; use %d or more", se.Size, se.Min)
}
