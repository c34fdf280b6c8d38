package wire_test

import (
	"encoding/binary"
	"io"
	"net"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"agatelanding.example/agatelanding/internal/wire"
)

var _ = Describe("Connections on which frames are announced and not finished", func() {
	const idle = 20 * time.Second
	var room *wire.FrameRoom

	// read reads messages from a connection and returns the end that its peer writes to. The
	// channel gets the error with which reading ends, or nil for each message.
	read := func() (net.Conn, chan error) {
		reader, writer := net.Pipe()
		results := make(chan error, 10)
		conn := room.NewConn(reader)
		go func() {
			for {
				_, err := conn.Read(idle)
				results <- err
				if err != nil {
					return
				}
			}
		}()
		DeferCleanup(func() {
			_ = writer.Close()
			_ = reader.Close()
		})
		return writer, results
	}
	unfinished := func() (net.Conn, chan error) {
		writer, results := read()
		go func() {
			var header [5]byte
			binary.BigEndian.PutUint32(header[:], wire.MaxFrameBytes)
			header[4] = byte(wire.KindHello)
			_, _ = writer.Write(header[:])
			_, _ = io.WriteString(writer, strings.Repeat("x", wire.MaxFrameBytes-2))
		}()
		return writer, results
	}
	message := func(bytes int) *wire.PartReply {
		return &wire.PartReply{Key: "k", Data: make([]byte, bytes)}
	}

	BeforeEach(func() { room = wire.NewFrameRoom(2 * wire.MaxFrameBytes) })

	It("do not keep a large frame of another connection from being read", func() {
		var ended []chan error
		for range 20 {
			_, results := unfinished()
			ended = append(ended, results)
		}
		time.Sleep(100 * time.Millisecond)
		writer, results := read()
		Expect(wire.NewConn(writer).Write(message(wire.MaxFrameBytes / 2))).To(Succeed())
		Eventually(results, 4*time.Second).Should(Receive(BeNil()))
		closed := 0
		for _, results := range ended {
			closed += len(results)
		}
		Expect(closed).To(BeNumerically(">", 0))
	})

	It("do not delay short frames", func() {
		for range 20 {
			unfinished()
		}
		time.Sleep(100 * time.Millisecond)
		writer, results := read()
		Expect(wire.NewConn(writer).Write(message(1000))).To(Succeed())
		Eventually(results, 300*time.Millisecond).Should(Receive(BeNil()))
	})

	It("give back what they took when they end", func() {
		for range 5 {
			writer, results := unfinished()
			time.Sleep(20 * time.Millisecond)
			Expect(writer.Close()).To(Succeed())
			Eventually(results).Should(Receive(HaveOccurred()))
		}
		for range 2 {
			_, results := unfinished()
			Consistently(results, 100*time.Millisecond).ShouldNot(Receive())
		}
	})
})

var _ = Describe("Many large frames at once", func() {
	// The peers of a process that starts again send what they keep for it at the same time.
	It("are all read, one after another if there is little room", func() {
		room := wire.NewFrameRoom(wire.MaxFrameBytes)
		results := make(chan error, 60)
		for range 60 {
			reader, writer := net.Pipe()
			DeferCleanup(func() {
				_ = writer.Close()
				_ = reader.Close()
			})
			go func() { _ = wire.NewConn(writer).Write(&wire.PartReply{Data: make([]byte, 200<<10)}) }()
			go func() {
				_, err := room.NewConn(reader).Read(10 * time.Second)
				results <- err
			}()
		}
		for range 60 {
			Eventually(results, 8*time.Second).Should(Receive(BeNil()))
		}
	})
})
