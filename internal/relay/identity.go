package relay

import (
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"hash"
	"io"
	"slices"
	"strconv"
	"strings"
)

// digestBytes is the length of the part of the hash that identifies a request. It is long
// enough that a caller finds no request with the digest of another caller's.
const digestBytes = 16

// shownDigestBytes is the length of the digest that a caller is told.
const shownDigestBytes = 8

// digest returns what identifies the request among those of all callers: equal for two
// attempts if the target gets the same method, host, path, query, body and headers, except
// for headers that concern one attempt or connection only. The body is not kept.
func (x *callerRequest) digest() string {
	h := sha256.New()
	x.writeTarget(h)
	header := x.h.Dialect.RepeatedHeader(x.r.Header, UpstreamFields{KeysInUse: x.caller.keysInUse, Workspace: x.caller.name()})
	names := make([]string, 0, len(header))
	for name := range header {
		names = append(names, name)
	}
	slices.Sort(names)
	// With their number, no body can be taken for further headers.
	writeField(h, strconv.Itoa(len(names)))
	for _, name := range names {
		writeField(h, name)
		writeField(h, strings.Join(header[name], "\x00"))
	}
	_, _ = h.Write(x.body)
	return base64.RawURLEncoding.EncodeToString(h.Sum(nil)[:digestBytes])
}

// content returns the digest of method, host, path, query, model, parts of the prompt and
// body. Unlike digest it is the same if the caller's headers change from one attempt to the
// next, and it may be the same for two callers.
func (x *callerRequest) content() string {
	h := sha256.New()
	x.writeTarget(h)
	writeField(h, x.meta.Model)
	writeField(h, x.meta.Adapter)
	// With their number, no body can be taken for further parts.
	parts := Identity{PromptParts: x.meta.PromptParts, AllParts: x.meta.AllParts}.Parts()
	writeField(h, strconv.Itoa(len(parts)))
	for _, p := range parts {
		writeField(h, p)
	}
	_, _ = h.Write(x.body)
	return base64.RawURLEncoding.EncodeToString(h.Sum(nil)[:digestBytes])
}

// writeTarget writes method, host, path and query.
func (x *callerRequest) writeTarget(h hash.Hash) {
	writeField(h, x.r.Method)
	writeField(h, strings.ToLower(x.r.Host))
	writeField(h, x.requestURI())
}

// writeField writes a field with its length, so that two lists of fields differ in what is
// written if they differ at all.
func writeField(h hash.Hash, s string) {
	var length [8]byte
	binary.BigEndian.PutUint64(length[:], uint64(len(s)))
	_, _ = h.Write(length[:])
	_, _ = io.WriteString(h, s)
}
