package wire

import (
	"fmt"

	"github.com/vmihailenco/msgpack/v5"

	"agatelanding.example/agatelanding/internal/result"
)

// kindOf returns the kind of a message, which is a pointer to a message type.
func kindOf(message any) (Kind, error) {
	switch message.(type) {
	case *Hello:
		return KindHello, nil
	case *Reserve:
		return KindReserve, nil
	case *Reserved:
		return KindReserved, nil
	case *Refused:
		return KindRefused, nil
	case *Run:
		return KindRun, nil
	case *Chunk:
		return KindChunk, nil
	case *End:
		return KindEnd, nil
	case *Cancel:
		return KindCancel, nil
	case *Resume:
		return KindResume, nil
	case *Leaving:
		return KindLeaving, nil
	case *PoolUpdate:
		return KindPoolUpdate, nil
	case *LoadGrant:
		return KindLoadGrant, nil
	case *RevisionQuery:
		return KindRevisionQuery, nil
	case *RevisionReply:
		return KindRevisionReply, nil
	case *PartQuery:
		return KindPartQuery, nil
	case *PartReply:
		return KindPartReply, nil
	case *Ping:
		return KindPing, nil
	case *Pong:
		return KindPong, nil
	case *Attach:
		return KindAttach, nil
	case *Started:
		return KindStarted, nil
	case *Release:
		return KindRelease, nil
	case *EngineSettings:
		return KindEngineSettings, nil
	case *EngineReport:
		return KindEngineReport, nil
	case *Items:
		return KindItems, nil
	case *ItemsQuery:
		return KindItemsQuery, nil
	case *Remember:
		return KindRemember, nil
	case *Remembered:
		return KindRemembered, nil
	case *Recall:
		return KindRecall, nil
	case *Recalled:
		return KindRecalled, nil
	}
	return 0, result.New(result.MalformedMessage, fmt.Sprintf("%T is not a message type", message))
}

// newMessage returns a pointer to a zero message of a kind, nil for an unknown
// kind.
func newMessage(kind Kind) any {
	switch kind {
	case KindHello:
		return new(Hello)
	case KindReserve:
		return new(Reserve)
	case KindReserved:
		return new(Reserved)
	case KindRefused:
		return new(Refused)
	case KindRun:
		return new(Run)
	case KindChunk:
		return new(Chunk)
	case KindEnd:
		return new(End)
	case KindCancel:
		return new(Cancel)
	case KindResume:
		return new(Resume)
	case KindLeaving:
		return new(Leaving)
	case KindPoolUpdate:
		return new(PoolUpdate)
	case KindLoadGrant:
		return new(LoadGrant)
	case KindRevisionQuery:
		return new(RevisionQuery)
	case KindRevisionReply:
		return new(RevisionReply)
	case KindPartQuery:
		return new(PartQuery)
	case KindPartReply:
		return new(PartReply)
	case KindPing:
		return new(Ping)
	case KindPong:
		return new(Pong)
	case KindAttach:
		return new(Attach)
	case KindStarted:
		return new(Started)
	case KindRelease:
		return new(Release)
	case KindEngineSettings:
		return new(EngineSettings)
	case KindEngineReport:
		return new(EngineReport)
	case KindItems:
		return new(Items)
	case KindItemsQuery:
		return new(ItemsQuery)
	case KindRemember:
		return new(Remember)
	case KindRemembered:
		return new(Remembered)
	case KindRecall:
		return new(Recall)
	case KindRecalled:
		return new(Recalled)
	}
	return nil
}

// decode decodes the body of a frame.
func decode(kind Kind, body []byte) (any, error) {
	message := newMessage(kind)
	if message == nil {
		return nil, result.Newf(result.UnexpectedFrame, "unknown message kind %d", kind)
	}
	if err := msgpack.Unmarshal(body, message); err != nil {
		return nil, result.Wrap(result.MalformedMessage, err)
	}
	return message, nil
}
