package crowd_test

import (
	"encoding/base64"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"agatelanding.example/agatelanding/platform/standin"
)

// answerBytes is a little below the bound on an answer of the store.
const answerBytes = 16<<20 - 1<<10

// storeAnswer returns an answer of the store with a body that has an end.
func storeAnswer(body string) faultyAnswer {
	return sends(fmt.Sprintf("Store-Era: 1\r\nContent-Length: %d\r\nConnection: close\r\n\r\n", len(body)), body, "", time.Second)
}

// onList answers watches with a status after which the whole state is listed, and lists by a
// function.
func onList(answer faultyAnswer) faultyAnswer {
	return func(c net.Conn, uri string) {
		if strings.HasPrefix(uri, "/kv-watch") {
			_, _ = io.WriteString(c, "HTTP/1.1 410 Gone\r\nStore-Era: 1\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
			return
		}
		answer(c, uri)
	}
}

// risingPage is a page of a list without end, whose items have short keys and no value.
func risingPage(c net.Conn, uri string) {
	u, err := url.Parse(uri)
	if err != nil {
		return
	}
	first, _ := strconv.Atoi(strings.TrimPrefix(u.Query().Get("after"), "k"))
	var items strings.Builder
	for n := range 100_000 {
		fmt.Fprintf(&items, `{"key":"k%09d","rev":1},`, first+1+n)
	}
	storeAnswer(`{"items":[`+strings.TrimSuffix(items.String(), ",")+`],"more_pages":true,"store_revision":200}`)(c, uri)
}

// newItems answers each watch with items whose keys no answer before had, and no list.
func newItems(prefix string, value func(n int64) string) faultyAnswer {
	var revision atomic.Int64
	revision.Store(1000)
	return func(c net.Conn, uri string) {
		if !strings.HasPrefix(uri, "/kv-watch") {
			return
		}
		var events strings.Builder
		for range 6000 {
			n := revision.Add(1)
			fmt.Fprintf(&events, `{"key":"%s%d","rev":%d,"value":"%s"},`, prefix, n, n, base64.StdEncoding.EncodeToString([]byte(value(n))))
		}
		storeAnswer(fmt.Sprintf(`{"events":[%s],"store_revision":%d}`, strings.TrimSuffix(events.String(), ","), revision.Load()))(c, uri)
	}
}

// TestFaultyStore lets the platform's store send bytes without end, and answers that are short
// and take much memory, to an entry that has its configuration. It guards against an entry that
// exceeds its memory or its descriptors, ends, or no longer answers ordinary requests.
func TestFaultyStore(t *testing.T) {
	binDir := build(t, "agate-entry")
	for _, c := range []struct {
		name   string
		answer faultyAnswer
	}{
		{"watches of many items without a key", storeAnswer(fill(answerBytes, `{"events":[0`, `,0`, `]}`))},
		{"watches of one long value", storeAnswer(fill(answerBytes, `{"store_revision":200,"events":[{"key":"servers/x","value":"`, `AAAA`, `"}]}`))},
		{"watches as fast as they are read", sends("Store-Era: 1\r\n\r\n", "", text(64<<10), 0)},
		{"watches byte by byte", sends("Store-Era: 1\r\n"+chunkedBody, "", chunk(" "), time.Millisecond)},
		{"watches with an encoding", sends("Store-Era: 1\r\nContent-Encoding: gzip\r\n\r\n", compressed(), "", time.Millisecond)},
		{"watches of a string without an end", sends("Store-Era: 1\r\n\r\n", `{"events":[{"key":"`, text(64<<10), 0)},
		{"watches of new items without an end", newItems("servers/s", func(int64) string { return strings.Repeat("\x00", 192) })},
		{"watches of new targets without an end", newItems("servers/t", func(n int64) string {
			return fmt.Sprintf(`{"service":"faulty","address":"127.1.%d.%d:9","zone":"z1","slots":10,"state":"ready","born":5,"seq":%d}`, n>>8&255, n&255, n)
		})},
		{"watches of new adapters without an end", newItems("op/version/m.a", func(n int64) string {
			return fmt.Sprintf(`{"model":"m","adapter":"a%d","version":1}`, n)
		})},
		{"lists of many empty items", onList(storeAnswer(fill(answerBytes, `{"items":[{}`, `,{}`, `]}`)))},
		{"lists of many short items", onList(storeAnswer(fill(answerBytes, `{"items":[{"key":"k"}`, `,{"key":"k"}`, `]}`)))},
		{"lists whose pages do not end", onList(risingPage)},
		{"errors with a body", func(c net.Conn, _ string) {
			_, err := io.WriteString(c, "HTTP/1.1 503 X\r\n"+chunkedBody)
			for err == nil {
				_, err = io.WriteString(c, chunk(text(64<<10)))
			}
		}},
		{"many header lines", sends(shortLines(largestHead)+"\r\n", "", "{", time.Millisecond)},
	} {
		t.Run(c.name, func(t *testing.T) {
			skipListed(t)
			store := standin.NewStore()
			server := &faultyServer{answer: c.answer, sound: store}
			server.turned.Store(true)
			e := startWith(t, binDir, store, http.HandlerFunc(answer), "", server.serve(t))
			server.turned.Store(false)
			time.Sleep(faultyTime)
			if server.answered.Load() == 0 {
				t.Error("the entry has not asked the store")
			}
			if status := e.request(1000); status != http.StatusOK {
				t.Errorf("an ordinary request got status %d", status)
			}
			server.turned.Store(true)
			e.checkAfter()
		})
	}
}
