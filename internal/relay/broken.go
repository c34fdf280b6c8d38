package relay

import (
	"errors"
	"strings"

	"agatelanding.example/agatelanding/internal/telemetry"
)

var errUntrusted = errors.New("the response cannot be trusted")

// withBreak adds the fields that relate a broken answer to its request: whether the
// answer had begun, the digest, the parts of the prompt and the cause.
func (x *callerRequest) withBreak(line *telemetry.Logger, err error) *telemetry.Logger {
	if len(x.meta.PromptParts) > 0 {
		line = line.With("parts", strings.Join(x.meta.PromptParts, ","))
	}
	return line.With("digest", x.identity.Digest()).With("began", x.began.Load()).With("error", err)
}
