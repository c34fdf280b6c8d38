package crowd_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os/exec"
	"strings"
	"sync"
	"testing"
	"time"
)

const (
	// crowdSize is the number of untrusted callers. Their bodies take about twice the
	// memory of the VM.
	crowdSize = 120
	// Of crowdSize callers all but each fifth stop missingBytes before the end of their
	// bodies and keep the connection open.
	endsEach     = 5
	missingBytes = 64
	// sendTime bounds what one caller of the crowd writes, holdTime is how long the
	// connections stay open after that.
	sendTime = 6 * time.Second
	holdTime = time.Second
)

// caller writes what one untrusted caller sends. It returns at the first error, because the
// entry may close the connection at any time. finishes is true if it sends a whole body.
type caller func(e *entry, c net.Conn, finishes bool)

// write writes a text in parts with pauses between them.
func write(c net.Conn, text string, parts int, pause time.Duration) {
	for size := (len(text) + parts - 1) / parts; text != ""; time.Sleep(pause) {
		n := min(size, len(text))
		if _, err := io.WriteString(c, text[:n]); err != nil {
			return
		}
		text = text[n:]
	}
}

// withLength sends a body of the largest legal size with an announced length.
func withLength(parts int, pause time.Duration) caller {
	body := strings.Repeat("x", maxBodyBytes)
	return func(e *entry, c net.Conn, finishes bool) {
		_, _ = fmt.Fprintf(c, "%sContent-Length: %d\r\n\r\n", e.head(""), maxBodyBytes)
		if finishes {
			write(c, body, parts, pause)
			return
		}
		write(c, body[missingBytes:], parts, pause)
	}
}

// inChunks sends a body of a size in chunks. Callers that do not finish leave out the last
// chunk and the end.
func inChunks(size, bodyBytes int) caller {
	chunk := fmt.Sprintf("%x\r\n%s\r\n", size, strings.Repeat("x", size))
	text := strings.Repeat(chunk, bodyBytes/size-1)
	return func(e *entry, c net.Conn, finishes bool) {
		text := e.head("Transfer-Encoding: chunked\r\n\r\n") + text
		if finishes {
			text += chunk + "0\r\n\r\n"
		}
		write(c, text, len(text)/(64<<10)+1, 0)
	}
}

// announcedTooLong announces a body far over the limit and sends much of it.
func announcedTooLong(e *entry, c net.Conn, _ bool) {
	_, _ = fmt.Fprintf(c, "%sContent-Length: %d\r\n\r\n", e.head(""), 64*maxBodyBytes)
	write(c, strings.Repeat("x", 4*maxBodyBytes), 64, 0)
}

// nothing keeps a connection open and sends nothing on it.
func nothing(*entry, net.Conn, bool) {}

// halfHead sends most of the largest legal head and not its end.
func halfHead(e *entry, c net.Conn, _ bool) {
	write(c, e.head("Padding: "+strings.Repeat("x", 15<<10)), 1, 0)
}

// manyLines sends the largest legal head, of as many different lines as fit, and no byte of the
// small body that it announces.
func manyLines(e *entry, c net.Conn, _ bool) {
	var lines strings.Builder
	for n := 0; lines.Len() < 15<<10; n++ {
		fmt.Fprintf(&lines, "%x:\r\n", 16+n)
	}
	_, _ = fmt.Fprintf(c, "%sContent-Length: 1000\r\n\r\n", e.head(lines.String()))
}

// unread requests a large answer and reads nothing of it.
func unread(e *entry, c net.Conn, _ bool) {
	_ = c.(*net.TCPConn).SetReadBuffer(4 << 10)
	_, _ = fmt.Fprintf(c, "%s%s: 1\r\nContent-Length: 3\r\n\r\nask", e.head(""), largeHeader)
}

// largeHeader is the header of requests whose answer has maxBodyBytes.
const largeHeader = "Large"

// answer reads the body of a request and answers it.
func answer(w http.ResponseWriter, r *http.Request) {
	n, err := io.Copy(io.Discard, r.Body)
	if err != nil {
		return
	}
	w.Header().Set("Attempt-Id", r.Header.Get("Attempt-Id"))
	w.Header().Set("Response-Signature", "s")
	if r.Header.Get(largeHeader) != "" {
		_, _ = io.WriteString(w, strings.Repeat("x", maxBodyBytes))
		return
	}
	_, _ = fmt.Fprint(w, n)
}

// TestCrowd starts an entry for each case and sends it a crowd of untrusted callers. It
// guards against a process that exceeds the memory or the descriptors of its VM, ends, or no
// longer answers ordinary callers. It checks no times and not how many of the crowd are served.
func TestCrowd(t *testing.T) {
	binDir := build(t, "agate-entry")
	for _, c := range []struct {
		name string
		size int
		send caller
	}{
		{"legal bodies at once", crowdSize, withLength(1, 0)},
		{"legal bodies piece by piece", crowdSize, withLength(32, 40*time.Millisecond)},
		{"large chunks", crowdSize, inChunks(64<<10, maxBodyBytes)},
		{"very small chunks", crowdSize, inChunks(16, maxBodyBytes)},
		{"bodies over the limit with a length", crowdSize, announcedTooLong},
		{"bodies over the limit without a length", crowdSize, inChunks(64<<10, 8*maxBodyBytes)},
		{"heads of many lines", maxDescriptors, manyLines},
		{"answers that are not read", crowdSize, unread},
		{"connections without a request", maxDescriptors, nothing},
		{"heads without an end", maxDescriptors, halfHead},
	} {
		t.Run(c.name, func(t *testing.T) {
			e := start(t, binDir, http.HandlerFunc(answer))
			runCrowd(e, c.size, c.send, func() {
				if status := e.request(1000); status != http.StatusOK {
					t.Errorf("an ordinary request beside the crowd got status %d", status)
				}
			})
			e.checkAfter()
		})
	}
}

// build builds a program and returns its folder.
func build(t *testing.T, program string) string {
	binDir := t.TempDir()
	cmd := exec.Command("go", "build", "-o", binDir+"/", "agatelanding.example/agatelanding/cmd/"+program)
	if out, err := cmd.CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	return binDir
}

// runCrowd lets callers send at once, calls during while their connections are open, and
// closes them.
func runCrowd(e *entry, size int, send caller, during func()) {
	var sending, open sync.WaitGroup
	leave := make(chan struct{})
	for n := range size {
		sending.Add(1)
		open.Add(1)
		go func() {
			defer open.Done()
			sent := sync.OnceFunc(sending.Done)
			defer sent()
			c, err := net.DialTimeout("tcp", e.front, sendTime)
			if err != nil {
				return
			}
			defer c.Close()
			_ = c.SetWriteDeadline(time.Now().Add(sendTime))
			send(e, c, n%endsEach == 0)
			sent()
			<-leave
		}()
	}
	sending.Wait()
	during()
	time.Sleep(holdTime)
	close(leave)
	open.Wait()
}

// checkAfter checks the bounds of the process once the crowd has left, and that it serves a
// body of the largest size.
func (e *entry) checkAfter() {
	status := 0
	// Requests of the crowd that have all their bytes may take until their deadline.
	for deadline := time.Now().Add(routeTimeout); status != http.StatusOK && time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
		status = e.request(maxBodyBytes)
	}
	if status != http.StatusOK {
		e.t.Errorf("a body of the largest size gets status %d after the crowd has left", status)
	}
	e.checkBounds()
}

// checkBounds checks that the process lives and the most that it has used until now.
func (e *entry) checkBounds() {
	select {
	case <-e.ended:
		e.t.Error("the process has ended")
	default:
	}
	e.checkPeaks()
}

// checkPeaks checks the most that the process has used until now.
func (e *entry) checkPeaks() {
	peak, descriptors := e.peakMemory.Load(), e.peakDescriptors.Load()
	e.t.Logf("peak: %d MB, %d descriptors", peak>>20, descriptors)
	if peak > memoryMB<<20 {
		e.t.Errorf("the process took %d MB, its VM has %d MB", peak>>20, memoryMB)
	}
	// 200 descriptors of max_fds are reserved for files.
	if descriptors > maxDescriptors-200 {
		e.t.Errorf("the process had %d descriptors open, max_fds is %d", descriptors, maxDescriptors)
	}
}
