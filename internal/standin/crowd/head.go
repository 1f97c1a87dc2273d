package crowd

import (
	"fmt"
	"strings"
)

// Head is the head of a request that is filled up to a size.
type Head struct {
	Method, Target, Host string
	Lines                string // further header lines, each with its end
	Size                 int    // in bytes, with the empty line at the end
}

// start returns the request line and the given header lines.
func (hd Head) start(target string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\n%s", hd.Method, target, hd.Host, hd.Lines)
}

// ShortLines fills the head with the shortest lines that differ: "0:", "1:" and so on.
func (hd Head) ShortLines() []byte { return []byte(hd.Unfinished() + "\r\n") }

// Unfinished returns the head of ShortLines without its last line.
func (hd Head) Unfinished() string {
	var sb strings.Builder
	sb.WriteString(hd.start(hd.Target))
	for number := 0; ; number++ {
		line := fmt.Sprintf("%x:\r\n", number)
		if sb.Len()+len(line)+len("\r\n") > hd.Size {
			break
		}
		sb.WriteString(line)
	}
	return sb.String()
}

// OneName fills the head with lines of one name.
func (hd Head) OneName() []byte {
	head := hd.start(hd.Target)
	return []byte(head + strings.Repeat("a:\r\n", (hd.Size-len(head)-len("\r\n"))/len("a:\r\n")) + "\r\n")
}

// OddNames fills the head with lines whose names and values have all characters that are
// allowed there and are rarely used.
func (hd Head) OddNames() []byte {
	const line = "!#$%&'*+-.^_`|~: \t(\"\\,;\x80\xff) \t\r\n"
	head := hd.start(hd.Target)
	return []byte(head + strings.Repeat(line, (hd.Size-len(head)-len("\r\n"))/len(line)) + "\r\n")
}

// OneValue fills the head with one long value.
func (hd Head) OneValue() []byte {
	head := hd.start(hd.Target) + "Long: "
	return []byte(head + strings.Repeat("v", hd.Size-len(head)-len("\r\n\r\n")) + "\r\n\r\n")
}

// LongTarget fills the head with a long target.
func (hd Head) LongTarget() []byte {
	rest := len(hd.start("")) + len("\r\n")
	return []byte(hd.start(hd.Target+strings.Repeat("t", hd.Size-rest-len(hd.Target))) + "\r\n")
}
