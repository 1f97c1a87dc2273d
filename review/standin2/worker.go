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

const (
	heartbeat = 1200 * time.Millisecond
	// exitDelay is the "little longer" for which a worker serves after drain_ms.
	exitDelay = 200 * time.Millisecond
)

// runWorker runs a worker process until it has left. It answers without a length, so that its
// answers end with their connections.
func runWorker() int {
	var set workerSettings
	if err := json.NewDecoder(os.Stdin).Decode(&set); err != nil {
		fmt.Println("no settings:", err)
		return exitFailed
	}
	ln, err := net.Listen("tcp", set.Address)
	if err != nil {
		fmt.Println("can't listen:", err)
		return exitFailed
	}
	go set.serve(ln)
	leaving := make(chan os.Signal, 1)
	signal.Notify(leaving, syscall.SIGTERM)
	for seq := 1; ; seq++ {
		if err := set.register("ready", seq); err != nil {
			fmt.Println("can't register:", err)
			return exitFailed
		}
		select {
		case <-time.After(heartbeat):
		case <-leaving:
			if err := set.register("draining", seq+1); err != nil {
				fmt.Println("can't report that it leaves:", err)
				return exitFailed
			}
			fmt.Println("reported that it leaves; the store has accepted that")
			time.Sleep(set.Drain + exitDelay)
			fmt.Println("exits")
			return 0
		}
	}
}

// register writes the worker's entry to the store.
func (set workerSettings) register(state string, seq int) error {
	value, err := json.Marshal(map[string]any{"service": set.Service, "address": set.Address, "zone": set.Zone, "version": "v1",
		"slots": set.Slots, "state": state, "cold_left_ms": 0, "seq": seq})
	if err != nil {
		return fmt.Errorf("encode the entry: %w", err)
	}
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
	contentType := "application/octet-stream"
	if isStream(req.URL.Path) {
		contentType = "text/event-stream"
	}
	fmt.Println("runs", id, req.Method, req.URL.Path)
	_, err = fmt.Fprintf(cn, "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nServer-Seal: %s.%s\r\nContent-Type: %s\r\nConnection: close\r\n\r\n", id, set.ID, id, contentType)
	for number := 1; number <= set.Pieces && err == nil; number++ {
		if number > 1 {
			time.Sleep(set.Pause)
		}
		_, err = io.WriteString(cn, set.piece(req.URL.Path, id, number))
	}
	if err != nil {
		fmt.Println("the connection of", id, "broke:", err)
		return
	}
	fmt.Println("has answered", id, "with all", set.Pieces, "pieces")
}

func isStream(path string) bool { return strings.HasPrefix(path, pathStream) }

// piece returns a piece of an answer.
func (set workerSettings) piece(path, id string, number int) string {
	if isStream(path) {
		return fmt.Sprintf("id: %d\ndata: %s %d of %d\n\n", number, id, number, set.Pieces)
	}
	text := fmt.Sprintf("%s part %d of %d;", id, number, set.Pieces)
	return text + strings.Repeat(".", max(0, set.PieceBytes-len(text)))
}
