package crowd_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"
)

const (
	// faultyCallers is the number of requests that are under way at the faulty target.
	faultyCallers = 150
	// tricklePause is the time between two bytes of what is sent slowly, and burstPause that
	// between two bursts. The latter is below each bound on the time of a read.
	tricklePause = 100 * time.Millisecond
	burstPause   = 900 * time.Millisecond
)

// faultyAnswer writes to a connection what a faulty target sends for the request with an ID.
type faultyAnswer func(c net.Conn, id string)

// serveFaulty starts a target that answers each request by a function, on a connection of
// its own, and returns its address.
func serveFaulty(t *testing.T, answer faultyAnswer) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				if r, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
					answer(c, r.Header.Get("Attempt-Id"))
				}
			}()
		}
	}()
	return l.Addr().String()
}

// sends returns an answer of a head with further lines, of a text after it and of a text that
// is repeated with pauses until the connection is closed.
func sends(lines, once, repeated string, pause time.Duration) faultyAnswer {
	return func(c net.Conn, id string) {
		_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nResponse-Signature: s\r\n%s%s", id, lines, once)
		for err == nil {
			_, err = io.WriteString(c, repeated)
			time.Sleep(pause)
		}
	}
}

// text returns a text of a length.
func text(length int) string { return strings.Repeat("x", length) }

// chunk returns a chunk of a body.
func chunk(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }

// shortLines returns as many different header lines as fit into a length.
func shortLines(length int) string {
	var lines strings.Builder
	for n := 0; lines.Len() < length; n++ {
		fmt.Fprintf(&lines, "%x:\r\n", 16+n)
	}
	return lines.String()
}

const (
	chunkedBody   = "Transfer-Encoding: chunked\r\n\r\n"
	callPath      = "/faulty/call"
	streamPath    = "/faulty/stream"
	largestHead   = 63 << 10
	largestEvent  = 120 << 10
	belowOneShare = 200 << 10
	// callersLeave is the case in which a first crowd leaves in the middle of its answers.
	callersLeave = "bodies whose callers leave before others come"
)

// TestFaultyTarget lets a target send bytes without end to many requests at once. It guards
// against an entry that exceeds its memory or its descriptors, ends, or no longer answers
// ordinary requests to another target. It checks no times and not how many of the requests to
// the faulty target are answered.
func TestFaultyTarget(t *testing.T) {
	binDir := build(t, "agate-entry")
	for _, c := range []struct {
		name, path string
		answer     faultyAnswer
	}{
		{"bodies that stop below their bound", callPath, sends(chunkedBody, chunk(text(belowOneShare)), chunk("x"), tricklePause)},
		{"bodies of which each byte is sent alone", callPath, sends(chunkedBody, "", chunk("x"), tricklePause)},
		{"bodies as fast as they are read", callPath, sends(chunkedBody, "", chunk(text(64<<10)), 0)},
		{"bodies that end with the connection only", callPath, sends("\r\n", "", text(64<<10), 0)},
		{"bodies in bursts", callPath, sends(chunkedBody, "", chunk(text(64<<10)), burstPause)},
		{"bodies with an encoding", callPath, sends("Content-Encoding: gzip\r\n"+chunkedBody, "", chunk(text(64<<10)), 0)},
		{callersLeave, callPath, sends(chunkedBody, chunk(text(belowOneShare)), chunk("x"), tricklePause)},
		{"a length beyond 64 bits", callPath, sends("Content-Length: 18446744073709551617\r\n\r\n", "", text(64<<10), 0)},
		{"chunk extensions", callPath, sends(chunkedBody+"1;", "", text(16<<10), 0)},
		{"chunk extensions, slowly", callPath, sends(chunkedBody+"1;", "", "x", tricklePause)},
		{"trailers", callPath, sends(chunkedBody+"0\r\n", "", "X: y\r\n", 0)},
		{"a header line", callPath, sends("X: ", "", text(16<<10), 0)},
		{"a header line, in bursts", callPath, sends("X: ", text(largestHead), "x", burstPause)},
		{"many header lines, slowly", callPath, sends(shortLines(largestHead), "", "x:\r\n", tricklePause)},
		{"many header lines before a body", callPath, sends(shortLines(largestHead)+chunkedBody, "", chunk("x"), tricklePause)},
		{"a long header line before a body", callPath, sends("X: "+text(largestHead)+"\r\n"+chunkedBody, "", chunk("x"), tricklePause)},
		{"as many header lines as are read before a body", callPath, sends(shortLines(1600)+chunkedBody, "", chunk("x"), tricklePause)},
		{"many header lines of a stream", streamPath, sends(shortLines(largestHead)+chunkedBody, chunk("id: 1\ndata: x\n\n"), chunk(": x\n\n"), tricklePause)},
		{"events without an end", streamPath, sends(chunkedBody, chunk("id: 1\ndata: "+text(largestEvent)), chunk("x"), tricklePause)},
		{"comments before an event without an end", streamPath, sends(chunkedBody, chunk(": "+text(largestEvent)+"\n\nid: 1\ndata: "+text(largestEvent)), chunk("x"), tricklePause)},
	} {
		t.Run(c.name, func(t *testing.T) {
			skipListed(t)
			e := startBeside(t, binDir, http.HandlerFunc(answer), serveFaulty(t, c.answer))
			if c.name == callersLeave {
				runCrowd(e, faultyCallers, leaving(c.path), func() {})
			}
			runCrowd(e, faultyCallers, callFaulty(c.path), func() {
				// The targets go on to send for a while before others need the room.
				time.Sleep(holdTime)
				if status := e.requestLarge(); status != http.StatusOK {
					t.Errorf("a request with a large answer of another target got status %d", status)
				}
				if status := e.request(1000); status != http.StatusOK {
					t.Errorf("an ordinary request got status %d", status)
				}
			})
			e.checkAfter()
		})
	}
}

// TestFaultyTargetAtStop stops an entry while a target sends bytes without end. It guards against
// an entry that exceeds its memory meanwhile or does not end.
func TestFaultyTargetAtStop(t *testing.T) {
	binDir := build(t, "agate-entry")
	for _, c := range []struct {
		name, path string
		answer     faultyAnswer
	}{
		{"bodies that stop below their bound", callPath, sends(chunkedBody, chunk(text(belowOneShare)), chunk("x"), tricklePause)},
		{"a header line, in bursts", callPath, sends("X: ", text(largestHead), "x", burstPause)},
		{"events without an end", streamPath, sends(chunkedBody, chunk("id: 1\ndata: "+text(largestEvent)), chunk("x"), tricklePause)},
	} {
		t.Run(c.name, func(t *testing.T) {
			skipListed(t)
			e := startBeside(t, binDir, http.HandlerFunc(answer), serveFaulty(t, c.answer))
			runCrowd(e, faultyCallers, callFaulty(c.path), func() {
				_ = syscall.Kill(e.pid, syscall.SIGTERM)
				select {
				case <-e.ended:
				case <-time.After(startTime):
					t.Error("the process has not ended")
				}
			})
			e.checkPeaks()
		})
	}
}

// leaving sends a request to the faulty target and leaves a little later.
func leaving(path string) caller {
	call := callFaulty(path)
	return func(e *entry, c net.Conn, finishes bool) {
		call(e, c, finishes)
		time.Sleep(tricklePause)
		_ = c.Close()
	}
}

// callFaulty sends a request to the faulty target and reads what it gets. Each tenth caller
// reads nothing.
func callFaulty(path string) caller {
	return func(e *entry, c net.Conn, _ bool) {
		n := e.requests.Add(1)
		_, _ = fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: faulty-%d\r\nDeadline-Ms: %d\r\nContent-Length: 1\r\n\r\nx", path, n, routeTimeout.Milliseconds())
		if n%10 != 0 {
			go func() { _, _ = io.Copy(io.Discard, c) }()
		}
	}
}

// requestLarge sends an ordinary request whose answer has maxBodyBytes, reads the whole of it
// and returns the status, 0 without a whole answer.
func (e *entry) requestLarge() int {
	c, err := net.DialTimeout("tcp", e.front, routeTimeout)
	if err != nil {
		return 0
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(routeTimeout))
	_, _ = fmt.Fprintf(c, "%s%s: 1\r\nContent-Length: 3\r\n\r\nask", e.head(""), largeHeader)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	if n, err := io.Copy(io.Discard, resp.Body); err != nil || resp.StatusCode == http.StatusOK && n != maxBodyBytes {
		return 0
	}
	return resp.StatusCode
}
