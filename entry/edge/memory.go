package edge

import "agatelanding.example/agatelanding/platform"

const (
	// The kernel's buffers of a connection of a caller. It doubles the values for its own
	// records. 32 KiB allow 13 Mbit/s on a path of 20 ms.
	receiveBufferBytes = 32 << 10
	sendBufferBytes    = 64 << 10
	// connectionBytes is what a connection with a request takes besides its body: buffers
	// and stacks of net/http (24 KiB), a head of the largest size, a small body, and the
	// bytes in the kernel that were not read.
	connectionBytes = 64 << 10
	// fileDescriptors is the part of max_fds that is reserved for files.
	fileDescriptors = 200
	// defaultBodyBytes and maxBufferedBytes bound the bodies and the large answers of all
	// requests if the settings name no memory.
	defaultBodyBytes = 64 << 20
	maxBufferedBytes = 16 << 20
	// maxAnswerHeadBytes bounds what the large heads of answers take together.
	maxAnswerHeadBytes = 8 << 20
	// maxItemBytes bounds what the items of the store take that an entry keeps.
	maxItemBytes = 64 << 20
	// defaultHeads is the number of heads of many lines that are read at once without it.
	defaultHeads = 32
)

// memoryShares are the parts of the memory of the VM for what untrusted callers fill. They
// and 25 MB for an entry without load stay below the memory, and what is in the heap of them
// below the limit that daemon.LimitMemory sets (0.6).
type memoryShares struct {
	// bodies and answers are bytes for bodies and for answers that are read whole, and
	// connections the number of open connections of callers, 0 for no limit.
	bodies, answers int64
	// answerHeads is bytes for the large heads of answers.
	answerHeads int64
	// items is bytes for the items of the store.
	items       int64
	connections int
	// heads is the number of heads of many lines that are read at once.
	heads int
}

// sharesOf returns the shares for the settings of a VM.
func sharesOf(s platform.Settings) memoryShares {
	shares := memoryShares{bodies: defaultBodyBytes, answers: maxBufferedBytes, answerHeads: maxAnswerHeadBytes, heads: defaultHeads, items: maxItemBytes}
	if s.MemoryBytes > 0 {
		shares.bodies = s.MemoryBytes / 6
		shares.answers = min(maxBufferedBytes, s.MemoryBytes/9)
		shares.answerHeads = min(maxAnswerHeadBytes, s.MemoryBytes/16)
		shares.items = min(maxItemBytes, s.MemoryBytes/8)
		shares.heads = max(1, int(s.MemoryBytes/16/headBytes))
		shares.connections = int(s.MemoryBytes / 3 / connectionBytes)
	}
	if s.MaxDescriptors > 0 {
		// Each request in progress may have a connection to a target, and a fifth is for
		// the links to target processes, other entries and the store.
		free := max(1, (s.MaxDescriptors-fileDescriptors)*2/5)
		if shares.connections == 0 || free < shares.connections {
			shares.connections = free
		}
	}
	return shares
}
