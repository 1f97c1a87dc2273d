package main

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"
)

const heartbeat = 1200 * time.Millisecond

// say prints a line with the time of day, which is the same for all processes of a machine.
func say(args ...any) {
	fmt.Println(append([]any{time.Now().UnixMicro()}, args...)...)
}

// runWorker runs a worker process until it has left. It answers without a length, so that its
// answers end with their connections. It leaves without a word: its entry is removed, and it
// serves on for a while.
func runWorker(file string) int {
	var set workerSettings
	data, err := os.ReadFile(file)
	if err == nil {
		err = json.Unmarshal(data, &set)
	}
	if err != nil {
		say("no settings:", err)
		return exitFailed
	}
	ln, err := net.Listen("tcp", set.Address)
	if err != nil {
		say("can't listen:", err)
		return exitFailed
	}
	go set.serve(ln)
	leaving := make(chan os.Signal, 1)
	signal.Notify(leaving, syscall.SIGTERM)
	for seq := 1; ; seq++ {
		if err := set.register(seq); err != nil {
			say("got no answer to the renewal", seq, "of its entry")
		}
		select {
		case <-time.After(heartbeat):
		case <-leaving:
			if err := set.write(nil); err != nil {
				say("can't remove its entry:", err)
				return exitFailed
			}
			say(entryRemoved)
			time.Sleep(set.Stay)
			say("exits")
			return 0
		}
	}
}

// entryRemoved is what a worker says when the store has acknowledged the removal.
const entryRemoved = "the store has acknowledged the removal of its entry"

// register writes the worker's entry to the store.
func (set workerSettings) register(seq int) error {
	value, err := json.Marshal(map[string]any{"service": set.Service, "address": set.Address, "zone": set.Zone, "version": "v1",
		"slots": set.Slots, "state": "ready", "cold_left_ms": 0, "seq": seq})
	if err != nil {
		return fmt.Errorf("encode the entry: %w", err)
	}
	return set.write(value)
}

// write appends a record with the worker's key.
func (set workerSettings) write(value []byte) error {
	body := binary.BigEndian.AppendUint32(nil, uint32(1+len(set.ID)+len(value)))
	body = append(body, byte(len(set.ID)))
	body = append(append(body, set.ID...), value...)
	rsp, err := http.Post("http://"+set.Store+"/api/log-append?topic="+topicServers+"&part=0", "application/octet-stream", bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("write the entry: %w", err)
	}
	_ = rsp.Body.Close()
	return nil
}

func (set workerSettings) serve(ln net.Listener) {
	for {
		cn, err := ln.Accept()
		if err != nil {
			return
		}
		go set.answer(cn)
	}
}

// answer answers one request, piece by piece, and closes the connection.
func (set workerSettings) answer(cn net.Conn) {
	defer cn.Close()
	req, err := http.ReadRequest(bufio.NewReader(cn))
	if err != nil {
		return // a probe of the connection
	}
	if _, err := io.Copy(io.Discard, req.Body); err != nil {
		return
	}
	id := req.Header.Get("Attempt-Id")
	if expected := req.Header.Get("Expect-Instance"); expected != "" && expected != set.ID {
		fmt.Fprintf(cn, "HTTP/1.1 421 Misdirected Request\r\nInstance-Id: %s\r\nContent-Length: 0\r\nConnection: close\r\n\r\n", set.ID)
		return
	}
	say("runs", id, req.Method, req.URL.Path)
	time.Sleep(set.Work)
	_, err = fmt.Fprintf(cn, "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nServer-Seal: %s.%s\r\nContent-Type: application/octet-stream\r\nConnection: close\r\n\r\n", id, set.ID, id)
	for number := 1; number <= set.Pieces && err == nil; number++ {
		if number > 1 {
			time.Sleep(set.Pause)
		}
		_, err = io.WriteString(cn, set.piece(id, number))
	}
	if err != nil {
		say("the connection of", id, "broke:", err)
		return
	}
	say("has answered", id, "with all", set.Pieces, "pieces")
}

// piece returns a piece of an answer.
func (set workerSettings) piece(id string, number int) string {
	text := fmt.Sprintf("%s part %d of %d;", id, number, set.Pieces)
	return text + strings.Repeat(".", max(0, set.PieceBytes-len(text)))
}
