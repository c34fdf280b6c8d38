package crowd_test

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"

	"agatelanding.example/agatelanding/internal/fixture"
)

// reportBytes is a little below the bound on a report.
const reportBytes = 1<<20 - 1<<10

// startTarget starts a target process beside an engine.
func startTarget(t *testing.T, binDir, engine string) (e *entry, status string) {
	e = &entry{t: t, faulty: engine, ended: make(chan struct{})}
	_, port, _ := net.SplitHostPort(fixture.FreeAddress())
	first, _ := strconv.Atoi(port)
	_, port, _ = net.SplitHostPort(fixture.FreeAddress())
	last, _ := strconv.Atoi(port)
	e.launch(binDir, "agate-target", fmt.Sprintf("node: side\nip: 127.0.0.1\nzone: z1\nport_range: [%d, %d]\napp: %q\n", first, last, engine)+limits)
	e.peers = fmt.Sprintf("127.0.0.1:%d", first)
	go e.watch()
	return e, fmt.Sprintf("http://127.0.0.1:%d/status", last)
}

// TestFaultyEngine lets an engine send bytes without end, and reports that are short and take
// much memory, to its target process. It guards against a target process that exceeds its
// memory or its descriptors, ends, or does not know the engine's models once that is sound.
func TestFaultyEngine(t *testing.T) {
	binDir := build(t, "agate-target")
	for _, c := range []struct {
		name   string
		answer faultyAnswer
	}{
		{"reports of many empty models", whole(fill(reportBytes, `{"models":[{}`, `,{}`, `]}`))},
		{"reports of as many empty models as are read", whole(fill(4+3*65_000, `{"models":[{}`, `,{}`, `]}`))},
		{"reports of many empty runs", whole(fill(reportBytes, `{"runs":[[]`, `,[]`, `]}`))},
		{"reports of one long run", whole(fill(reportBytes, `{"runs":[[1`, `,1`, `]]}`))},
		{"reports of runs of objects", whole(fill(reportBytes, `{"runs":[[{}`, `,{}`, `]]}`))},
		{"reports of many adapters", whole(fill(reportBytes, `{"models":[{"name":"m","adapters":["a"`, `,"a"`, `]}]}`))},
		{"reports as fast as they are read", sends("\r\n", "", text(64<<10), 0)},
		{"reports byte by byte", sends(chunkedBody, "", chunk(" "), time.Millisecond)},
		{"reports with an encoding", sends("Content-Encoding: gzip\r\n\r\n", compressed(), "", time.Millisecond)},
		{"a header line", sends("X: ", "", text(16<<10), 0)},
		{"many header lines", sends(shortLines(largestHead)+"\r\n", "", "{", time.Millisecond)},
		{"interim answers", func(c net.Conn, id string) {
			for _, err := io.WriteString(c, "HTTP/1.1 103 Early\r\n\r\n"); err == nil; {
				_, err = io.WriteString(c, "HTTP/1.1 103 Early\r\n"+shortLines(largestHead)+"\r\n")
			}
		}},
		{"chunk extensions", sends(chunkedBody+"1;", "", text(16<<10), 0)},
		{"trailers", sends(chunkedBody, chunk("{}")+"0\r\n", "X: y\r\n", 0)},
		{"a length beyond 64 bits", sends("Content-Length: 18446744073709551617\r\n\r\n", "", text(64<<10), 0)},
	} {
		t.Run(c.name, func(t *testing.T) {
			skipListed(t)
			engine := &faultyServer{answer: c.answer, sound: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				_, _ = io.WriteString(w, `{"models":[{"name":"sound","version":1,"adapters":[]}],"born":1}`)
			})}
			e, address := startTarget(t, binDir, engine.serve(t))
			time.Sleep(faultyTime)
			if engine.answered.Load() == 0 {
				t.Error("the target process has not asked its engine")
			}
			engine.turned.Store(true)
			known := false
			for deadline := time.Now().Add(startTime); !known && time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
				known = knowsModel(address, "sound")
			}
			if !known {
				t.Error("the target process does not know the model of its engine once that is sound")
			}
			e.checkBounds()
		})
	}
}

// knowsModel reports whether the status of a target process has a model.
func knowsModel(address, model string) bool {
	resp, err := http.Get(address)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	var s struct{ Models []string }
	err = json.NewDecoder(bufio.NewReader(resp.Body)).Decode(&s)
	return err == nil && len(s.Models) == 1 && s.Models[0] == model
}
