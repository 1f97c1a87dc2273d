package peer

import (
	"errors"
	"fmt"

	"alderdyke/internal/board"
)

// Steps at which a frame could not be sent.
const (
	StepStart     Step = "Start"     // the transport does not run
	StepDial      Step = "Dial"      // TCP connection
	StepHandshake Step = "Handshake" // TLS and proof of the shared secret
	StepHello     Step = "Hello"     // who is at the other end
	StepOpen      Step = "Open"      // stream on a session
	StepEncode    Step = "Encode"    // the frame itself can't be sent
)

// Causes of a [BrokenError] besides io.EOF, which tells that the peer closed
// the stream.
var (
	// ErrSessionLost tells that the session ended with the stream still
	// open: the peer died, is cut off, or stopped.
	ErrSessionLost = errors.New("session lost")
	// ErrSlowFrame tells that a frame began but did not come in time, or
	// that a new stream stayed without its first frame.
	ErrSlowFrame = errors.New("frame not received in time")
)

type (
	// Step names where sending failed.
	Step string

	// NotSentError tells that the VM could not be reached and that no part
	// of any frame left for it.
	NotSentError struct {
		VM   string
		Step Step
		Err  error
	}

	// BrokenError tells that a stream failed after it was open. A frame that
	// was sent on it may have arrived.
	BrokenError struct {
		VM  board.VMRef
		Err error // io.EOF, ErrSessionLost, ErrSlowFrame, a context's error or one of the connection
	}

	// WrongVMError tells that an address was answered by another VM, or by
	// an older run of the VM, than the one that was meant.
	WrongVMError struct {
		Want, Got board.VMRef
	}

	// UntrustedError tells that the other end does not hold the shared
	// secret.
	UntrustedError struct{}

	// SizeError tells that a message is larger than the limit, in bytes.
	SizeError struct {
		Size, Limit int
	}

	// SecretError tells that the shared secret is too short, in bytes.
	SecretError struct {
		Size, Min int
	}
)

// Error says which VM could not be reached, and why.
func (ne NotSentError) Error() string {
	return fmt.Sprintf("not sent to VM %s (%s): %v", ne.VM, ne.Step, ne.Err)
}

// Unwrap returns the cause.
func (ne NotSentError) Unwrap() error { return ne.Err }

// Error says which VM's stream broke, and why.
func (be BrokenError) Error() string {
	return fmt.Sprintf("stream with VM %s (incarnation %d) broke: %v", be.VM.ID, be.VM.Incarnation, be.Err)
}

// Unwrap returns the cause.
func (be BrokenError) Unwrap() error { return be.Err }

// Error says who answered instead of whom.
func (we WrongVMError) Error() string {
	return fmt.Sprintf("meant VM %s (incarnation %d at least), answered by VM %s (incarnation %d)",
		we.Want.ID, we.Want.Incarnation, we.Got.ID, we.Got.Incarnation)
}

// Error says that the secret differs.
func (UntrustedError) Error() string { return "other end does not hold the shared secret" }

// Error gives the size and the limit.
func (se SizeError) Error() string {
	return fmt.Sprintf("message of %d bytes is over the limit of %d", se.Size, se.Limit)
}

// Error gives the size and the least size.
func (se SecretError) Error() string {
	return fmt.Sprintf("shared secret of %d bytes is too short; use %d or more", se.Size, se.Min)
}
