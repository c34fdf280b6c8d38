package front

import (
	"encoding/hex"
	"net/http"
	"strconv"
	"strings"

	"agatelanding.example/agatelanding/internal/decide/dispatch"
	"agatelanding.example/agatelanding/internal/result"
)

// Request headers of calls that are not idempotent.
const (
	IdempotencyKeyHeader = "Idempotency-Key"
	// IdempotencyKeyCreatedHeader carries the creation time of a key that is not a
	// UUIDv7, in Unix milliseconds.
	IdempotencyKeyCreatedHeader = "Idempotency-Key-Created"
)

const maxKeyBytes = 200

// readIdempotencyKey reads the idempotency key of a call and its creation time.
// A call whose route is not repeatable must have a key; other calls need none.
func readIdempotencyKey(r *http.Request, call *dispatch.Call) error {
	if call.Route.Repeatable {
		return nil
	}
	key := r.Header.Get(IdempotencyKeyHeader)
	if key == "" || len(key) > maxKeyBytes {
		return result.Newf(result.KeyInvalid, "%s of 1 to %d bytes is required", IdempotencyKeyHeader, maxKeyBytes)
	}
	call.IdempotencyKey = key
	call.BodyDigest = fnv64a(append([]byte(call.Method+" "+call.Path+"\n"), call.Body...))
	created := r.Header.Get(IdempotencyKeyCreatedHeader)
	if created == "" {
		call.KeyCreatedMS = uuidV7TimeMS(key)
		return nil
	}
	ms, err := strconv.ParseInt(created, 10, 64)
	if err != nil || ms <= 0 {
		return result.Newf(result.KeyInvalid, "%s is not a time in Unix milliseconds", IdempotencyKeyCreatedHeader)
	}
	call.KeyCreatedMS = ms
	return nil
}

// uuidV7TimeMS returns the creation time in a UUIDv7 in Unix milliseconds, or 0 if
// the key is no UUIDv7.
func uuidV7TimeMS(key string) int64 {
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
