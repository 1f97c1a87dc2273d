package caller

import (
	"encoding/json"
	"errors"
	"net/http"
	"slices"
	"strconv"
	"strings"

	"alderdyke/internal/answer"
)

// collect waits for the end and sends the complete answer at once.
func (dl *delivery) collect(st *answer.Stream) {
	dl.reader = st.Attach(0)
	defer dl.release()
	for {
		ev, err := dl.reader.Next(dl.ctx)
		if err != nil {
			abort()
		}
		if dl.collectEvent(ev) {
			return
		}
	}
}

// collectEvent adds one event and reports whether it was the last.
func (dl *delivery) collectEvent(ev answer.Event) bool {
	switch ev.Kind {
	case answer.Token:
		dl.tokens++
		_, _ = dl.text.Write(ev.Data)
		dl.hold(dl.text.Cap())
		return false
	case answer.End:
		dl.sendCollected(ev)
		return true
	default:
		return dl.sendAnswerEvent(ev)
	}
}

func (dl *delivery) sendCollected(ev answer.Event) {
	end, err := parseEnd(ev.Data)
	if err != nil {
		dl.sendRefusal(ev.ID, brokenAnswerRefusal())
		return
	}
	ca := dl.newAnswer(kindWhole, chatChoice{
		Message:      &chatDelta{Role: "assistant", Content: strings.ToValidUTF8(dl.text.String(), "\uFFFD")},
		FinishReason: &end.FinishReason,
	})
	ca.Usage = dl.usage(end)
	body, err := json.Marshal(ca)
	if err != nil {
		abort()
	}
	dl.holdWhole(body)
	hd := dl.wr.Header()
	hd.Set("Content-Type", "application/json")
	hd.Set("Cache-Control", "no-store")
	hd.Set(headerKey, dl.key)
	dl.srv.writeWhole(dl.wr, http.StatusOK, body)
	dl.srv.count("AnswersDelivered")
}

func (dl *delivery) sendPlain(pa PlainAnswer) {
	dl.holdWhole(pa.Body)
	hd := dl.wr.Header()
	for name, values := range forwardedHeaders(pa.Header) {
		hd[name] = values
	}
	hd.Set(headerKey, dl.key)
	dl.srv.writeWhole(dl.wr, pa.Status, pa.Body)
	dl.srv.count("AnswersDelivered")
}

// writeWhole writes a complete response. Each piece of it has its own write timeout.
func (srv *Server) writeWhole(wr http.ResponseWriter, code int, body []byte) {
	if len(body) == 0 {
		wr.WriteHeader(code)
		return
	}
	wr.Header().Set("Content-Length", strconv.Itoa(len(body)))
	wr.WriteHeader(code)
	rc := http.NewResponseController(wr)
	for piece := range slices.Chunk(body, writePiece) {
		err := srv.write(wr, rc, piece)
		if errors.Is(err, http.ErrBodyNotAllowed) {
			return
		}
		if err != nil {
			srv.recordBrokenWrite(err, "")
			abort()
		}
	}
}
