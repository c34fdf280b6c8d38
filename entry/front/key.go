package front

import (
	"encoding/hex"
	"net/http"
	"strconv"
	"strings"

	"agatelanding.example/agatelanding/internal/decide/dispatch"
	"agatelanding.example/agatelanding/internal/result"
)

// Headers of calls that may not be repeated.
const (
	KeyHeader = "Idempotency-Key"
	// KeyCreatedHeader carries the creation time of a key that is not a
	// UUIDv7, in Unix milliseconds.
	KeyCreatedHeader = "Idempotency-Key-Created"
)

const maxKey = 200

// readKey takes the idempotency key of a call. A call that may not be repeated
// must have one.
func readKey(r *http.Request, call *dispatch.Call) error {
	if call.Route.Repeatable {
		return nil
	}
	key := r.Header.Get(KeyHeader)
	if key == "" || len(key) > maxKey {
		return result.Newf(result.KeyInvalid, "%s of 1 to %d bytes is required", KeyHeader, maxKey)
	}
	call.Key = key
	call.BodyDigest = hash(append([]byte(call.Method+" "+call.Path+"\n"), call.Body...))
	created := r.Header.Get(KeyCreatedHeader)
	if created == "" {
		call.KeyTimeMS = uuidTime(key)
		return nil
	}
	ms, err := strconv.ParseInt(created, 10, 64)
	if err != nil || ms <= 0 {
		return result.Newf(result.KeyInvalid, "%s is not a time in Unix milliseconds", KeyCreatedHeader)
	}
	call.KeyTimeMS = ms
	return nil
}

// uuidTime returns the creation time in a UUIDv7, or 0 for another key.
func uuidTime(key string) int64 {
	digits := strings.ReplaceAll(key, "-", "")
	if len(digits) != 32 || len(key) != 36 || digits[12] != '7' {
		return 0
	}
	raw, err := hex.DecodeString(digits)
	if err != nil {
		return 0
	}
	var ms int64
	for _, b := range raw[:6] {
		ms = ms<<8 | int64(b)
	}
	return ms
}
