package wire_test

import (
	"bytes"
	"net"
	"testing"
	"time"

	"agatelanding.example/agatelanding/internal/wire"
)

// memoryConn is a connection that reads from a byte slice and keeps the bytes
// written to it.
type memoryConn struct {
	net.Conn
	in  *bytes.Reader
	out bytes.Buffer
}

func (m *memoryConn) Read(p []byte) (int, error)       { return m.in.Read(p) }
func (m *memoryConn) Write(p []byte) (int, error)      { return m.out.Write(p) }
func (m *memoryConn) SetReadDeadline(time.Time) error  { return nil }
func (m *memoryConn) SetWriteDeadline(time.Time) error { return nil }

// frame returns the frame of a message.
func frame(f *testing.F, message any) []byte {
	m := &memoryConn{in: bytes.NewReader(nil)}
	if err := wire.NewConn(m).Write(message); err != nil {
		f.Fatal(err)
	}
	return m.out.Bytes()
}

// Whatever bytes a peer sends, each frame gives a message or an error, and a
// message that was read can be written again.
func FuzzRead(f *testing.F) {
	id := wire.AttemptID{Request: wire.RequestID{Entry: "e", Incarnation: 1, Number: 2}, Attempt: 1}
	f.Add(frame(f, &wire.Hello{Process: "p"}))
	f.Add(frame(f, &wire.Reserve{ID: id, Model: "m", Adapter: "a", PromptTokens: 5}))
	f.Add(frame(f, &wire.EngineReport{Held: []string{"m/a"}, HasAdapterLists: true}))
	f.Add(frame(f, &wire.EngineSettings{Models: []wire.EngineModel{{Name: "m"}}}))
	f.Add(frame(f, fullEvidence(2)))
	f.Add([]byte{0, 0, 0, 0})
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 1})
	f.Add([]byte{0, 0, 0, 6, 1, 0xdd, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, data []byte) {
		c := wire.NewConn(&memoryConn{in: bytes.NewReader(data)})
		for {
			message, err := c.Read(time.Second)
			if err != nil {
				return
			}
			if items, ok := message.(*wire.Items); ok {
				items.BoundEvidence()
				checkEvidenceBounds(t, items)
			}
			if err := wire.NewConn(&memoryConn{in: bytes.NewReader(nil)}).Write(message); err != nil {
				t.Fatalf("%#v cannot be written again: %v", message, err)
			}
		}
	})
}
