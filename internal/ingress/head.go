package ingress

import (
	"bytes"
	"strconv"
)

const (
	// maxEmptyLines may stand before a request line; net/http passes over as many.
	maxEmptyLines = 2
	// Costs of a head once it is parsed. They are upper bounds of what net/http and a
	// handler that forwards the request take, for heads of any bytes: two copies of the
	// header with their maps, and the texts of both.
	costPerByte = 4
	costPerLine = 512
	// OrdinaryCost is what a head may cost without being charged: it comes with its
	// connection. It is the cost of a head of 1 KB and 20 lines.
	OrdinaryCost = 1<<10*costPerByte + 20*costPerLine
)

// headScanner finds the end of a head that comes in pieces.
type headScanner struct {
	scanned   int // bytes of the buffer that were scanned
	lineStart int // of the line that has no end yet
	lines     int // that are not empty
	empty     int // lines before the first
	end       int // of the head, behind its empty line; zero: not known yet
}

// HeadCost returns an upper bound of the memory that a head takes once it is parsed, while
// its request is in progress.
func HeadCost(size, lines int) int64 { return int64(size)*costPerByte + int64(lines)*costPerLine }

// scan goes on in a buffer that begins with the head, and reports whether its end is known.
// Lines end as net/http reads them: with a line feed, before which a carriage return may
// stand. More than maxEmptyLines empty lines end a head, too: it is no request.
func (hs *headScanner) scan(buf []byte) bool {
	for hs.end == 0 {
		at := bytes.IndexByte(buf[hs.scanned:], '\n')
		if at < 0 {
			hs.scanned = len(buf)
			return false
		}
		hs.scanned += at + 1
		line := bytes.TrimSuffix(buf[hs.lineStart:hs.scanned-1], []byte("\r"))
		hs.lineStart = hs.scanned
		switch {
		case len(line) > 0:
			hs.lines++
		case hs.lines > 0 || hs.empty == maxEmptyLines:
			hs.end = hs.scanned
		default:
			hs.empty++
		}
	}
	return true
}

// framing returns the framing of the body that follows a whole head, and whether it is
// ambiguous: there are several Content-Length lines, or one together with Transfer-Encoding,
// or the head ends otherwise than it has to.
func framing(head []byte) (fr bodyFramer, ambiguous bool) {
	lengths, codings := 0, 0
	for line := range bytes.Lines(head) {
		name, value, _ := bytes.Cut(line, []byte(":"))
		switch {
		case bytes.EqualFold(bytes.TrimSpace(name), []byte("Content-Length")):
			lengths++
			// Another text is refused by net/http.
			size, _ := strconv.ParseUint(string(bytes.TrimSpace(value)), 10, 63)
			fr.left = int64(size)
		case bytes.EqualFold(bytes.TrimSpace(name), []byte("Transfer-Encoding")):
			codings++
		}
	}
	if codings > 0 {
		fr = bodyFramer{state: chunkSize}
	}
	return fr, lengths+codings > 1 || !bytes.HasSuffix(head, []byte("\r\n\r\n"))
}
