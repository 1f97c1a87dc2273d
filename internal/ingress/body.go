package ingress

// maxSizeDigits of a chunk; net/http refuses more.
const maxSizeDigits = 16

// States of a bodyFramer.
const (
	fixedLength  framerState = iota // left bytes of a body of known length
	chunkSize                       // the size of a chunk
	chunkOptions                    // the rest of that line
	chunkData                       // left bytes of a chunk
	chunkEnd                        // the line end behind its data
	trailerLine                     // a line of the trailer
	bodyEnded
	bodyBroken // net/http will find the fault, too
)

type (
	framerState int

	// bodyFramer finds the end of a body, so that what follows is taken for the next head.
	bodyFramer struct {
		state  framerState
		left   int64
		digits int
		line   int // bytes of the line so far, without its end
	}
)

// ended reports whether the body is complete.
func (bf *bodyFramer) ended() bool {
	return bf.state == bodyEnded || bf.state == fixedLength && bf.left == 0
}

// take returns how many of the bytes belong to the body, and goes on behind them.
func (bf *bodyFramer) take(data []byte) int {
	taken := 0
	for taken < len(data) && !bf.ended() {
		switch bf.state {
		case bodyBroken:
			return len(data)
		case fixedLength, chunkData:
			size := min(bf.left, int64(len(data)-taken))
			bf.left -= size
			taken += int(size)
			if bf.state == chunkData && bf.left == 0 {
				bf.state, bf.line = chunkEnd, 0
			}
		default:
			bf.takeByte(data[taken])
			taken++
		}
	}
	return taken
}

// takeByte takes one byte of a line of the chunked coding.
func (bf *bodyFramer) takeByte(ch byte) {
	if ch == '\n' {
		bf.endLine()
		return
	}
	if ch != '\r' {
		bf.line++
	}
	if bf.state != chunkSize {
		return
	}
	digit, ok := hexDigit(ch)
	switch {
	case !ok:
		bf.state = chunkOptions
	case bf.digits == maxSizeDigits:
		bf.state = bodyBroken
	default:
		bf.digits++
		bf.left = bf.left<<4 | digit
	}
}

// endLine takes the end of a line of the chunked coding.
func (bf *bodyFramer) endLine() {
	switch bf.state {
	case chunkSize, chunkOptions:
		switch {
		case bf.digits == 0 || bf.left < 0:
			bf.state = bodyBroken
		case bf.left == 0:
			bf.state = trailerLine
		default:
			bf.state = chunkData
		}
	case chunkEnd:
		if bf.line > 0 {
			bf.state = bodyBroken
			return
		}
		bf.state, bf.left, bf.digits = chunkSize, 0, 0
	case trailerLine:
		if bf.line == 0 {
			bf.state = bodyEnded
		}
	}
	bf.line = 0
}

func hexDigit(ch byte) (int64, bool) {
	switch {
	case ch >= '0' && ch <= '9':
		return int64(ch - '0'), true
	case ch >= 'a' && ch <= 'f':
		return int64(ch-'a') + 10, true
	case ch >= 'A' && ch <= 'F':
		return int64(ch-'A') + 10, true
	}
	return 0, false
}
