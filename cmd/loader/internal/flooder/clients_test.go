package flooder

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"time"
)

const (
	// clientAttempts is how often a client connects again after the process has closed its connection.
	clientAttempts = 3
	// blockedWriteTime ends a write that the process does not read. The client then keeps its connection open.
	blockedWriteTime = 3 * time.Second
)

// behaviour is what a hostile client sends on one connection, in one write for each piece. The connection stays open after that.
type behaviour struct {
	name   string
	pieces func(r requestShape) [][]byte
	// knownRed is true if the case is listed in KNOWN-RED.txt, and so checked only with KNOWN_RED=1.
	knownRed bool
	// distinct is true if the clients do not all send the same.
	distinct bool
}

// requestShape is a request that the listener under test accepts.
type requestShape struct {
	method, path string
	// headerBytes and bodyBytes are the sizes that the client sends at most; the body announced is larger by one byte.
	headerBytes, bodyBytes int
}

// behaviours are those of which operators have reported that they ended a process.
var behaviours = []behaviour{
	{name: "header lines", pieces: func(r requestShape) [][]byte { return [][]byte{shortLines(r, "%x:\r\n", "")} }},
	{name: "odd header lines", pieces: func(r requestShape) [][]byte {
		return [][]byte{shortLines(r, "!%x^|~: \t \x80\r\n", "Content-Length: 2\r\n"), []byte("\r\nx")}
	}},
	{name: "body whole", pieces: func(r requestShape) [][]byte {
		return [][]byte{fixedHeader(r), bytes.Repeat([]byte("x"), r.bodyBytes)}
	}},
	{name: "body in pieces", pieces: func(r requestShape) [][]byte {
		const pieceBytes = 1000
		pieces := [][]byte{fixedHeader(r)}
		for sent := 0; sent < r.bodyBytes; sent += pieceBytes {
			pieces = append(pieces, bytes.Repeat([]byte("x"), min(pieceBytes, r.bodyBytes-sent)))
		}
		return pieces
	}},
	{name: "large chunks", pieces: func(r requestShape) [][]byte {
		const chunkBytes = 64 << 10
		pieces := [][]byte{chunkedHeader(r)}
		for sent := 0; sent < r.bodyBytes; sent += chunkBytes {
			pieces = append(pieces, chunk(min(chunkBytes, r.bodyBytes-sent)))
		}
		return pieces
	}},
	{name: "tiny chunks", pieces: func(r requestShape) [][]byte {
		const maxChunks = 1 << 18
		return [][]byte{chunkedHeader(r), bytes.Repeat(chunk(1), min(r.bodyBytes, maxChunks))}
	}},
}

// peerFrame announces a large frame to the listener for other processes, and sends a part of it that fits into the window of a
// stream.
var peerFrame = behaviour{name: "peer frame", pieces: func(requestShape) [][]byte {
	const announced, sent = 60 << 20, 200 << 10
	return [][]byte{yamuxData(1, sent, func(body []byte) { binary.BigEndian.PutUint32(body, announced) })}
}}

// peerStreams opens many streams to the listener for other processes and sends nothing on them.
var peerStreams = behaviour{name: "peer streams", pieces: func(requestShape) [][]byte {
	var streams []byte
	for id := range uint32(250) {
		streams = append(streams, yamuxData(2*id+1, 1, func([]byte) {})...)
	}
	return [][]byte{streams}
}}

var peerBehaviours = []behaviour{peerFrame, peerStreams}

// yamuxData returns a data frame of the multiplexer that opens a stream, with a body that fill sets.
func yamuxData(stream, length uint32, fill func(body []byte)) []byte {
	const headerBytes, flagSYN = 12, 1
	frame := make([]byte, headerBytes+length)
	binary.BigEndian.PutUint16(frame[2:], flagSYN)
	binary.BigEndian.PutUint32(frame[4:], stream)
	binary.BigEndian.PutUint32(frame[8:], length)
	fill(frame[headerBytes:])
	return frame
}

func chunk(n int) []byte { return fmt.Appendf(nil, "%x\r\n%s\r\n", n, strings.Repeat("x", n)) }

func fixedHeader(r requestShape) []byte {
	return fmt.Appendf(nil, "%s %s HTTP/1.1\r\nHost: %s\r\nContent-Length: %d\r\n\r\n", r.method, r.path, testHost, r.bodyBytes+1)
}

func chunkedHeader(r requestShape) []byte {
	return fmt.Appendf(nil, "%s %s HTTP/1.1\r\nHost: %s\r\nTransfer-Encoding: chunked\r\n\r\n", r.method, r.path, testHost)
}

// shortLines returns the header of a request up to its last line, with lines of a few bytes that all have different names.
func shortLines(r requestShape, format, last string) []byte {
	header := fmt.Appendf(nil, "%s %s HTTP/1.1\r\nHost: %s\r\n%s", r.method, r.path, testHost, last)
	for i := 0x10; ; i++ {
		line := fmt.Sprintf(format, i)
		if len(header)+len(line) > r.headerBytes {
			return header
		}
		header = append(header, line...)
	}
}

// crowd are clients that behave alike.
type crowd struct {
	address string
	clients int
	pieces  func() [][]byte
}

// newCrowd returns the clients of a listener. They share what they send, unless each sends a request of its own.
func newCrowd(t target, b behaviour) crowd {
	c := crowd{t.address, t.clients, func() [][]byte { return b.pieces(t.shape) }}
	if !b.distinct {
		c.pieces = sync.OnceValue(c.pieces)
	}
	return c
}

// flood connects the clients, and waits until each has sent all that it can. The function that it returns closes the connections.
func (c crowd) flood() (closeAll func()) {
	var wg sync.WaitGroup
	var mu sync.Mutex
	var open []net.Conn
	for range c.clients {
		wg.Go(func() {
			for range clientAttempts {
				conn, err := net.Dial("tcp", c.address)
				if err != nil {
					continue
				}
				mu.Lock()
				open = append(open, conn)
				mu.Unlock()
				if !sendPieces(conn, c.pieces()) {
					continue
				}
				return
			}
		})
	}
	wg.Wait()
	return func() {
		for _, conn := range open {
			_ = conn.Close()
		}
	}
}

// sendPieces reports whether the connection was open after the pieces were sent, or after the process stopped reading them.
func sendPieces(conn net.Conn, pieces [][]byte) bool {
	for _, piece := range pieces {
		if err := conn.SetWriteDeadline(time.Now().Add(blockedWriteTime)); err != nil {
			return false
		}
		if _, err := conn.Write(piece); err != nil {
			netErr, ok := err.(net.Error) //nolint:errorlint // Write returns it unwrapped.
			return ok && netErr.Timeout()
		}
	}
	return true
}

// dribble sends a whole request one byte at a time and returns what the process answers.
func dribble(address string, request []byte) (string, error) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return "", err
	}
	defer func() { _ = conn.Close() }()
	for i := range request {
		if _, err := conn.Write(request[i : i+1]); err != nil {
			break // An answer may have come before the end of the request.
		}
	}
	if err := conn.SetReadDeadline(time.Now().Add(answerTimeout)); err != nil {
		return "", err
	}
	status := make([]byte, len("HTTP/1.1 200"))
	_, err = io.ReadFull(conn, status)
	return string(status), err
}
