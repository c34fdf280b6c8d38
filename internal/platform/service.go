package platform

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"

	"agatelanding.example/agatelanding/internal/result"
)

// Service calls one plain service.
type Service struct {
	base   string
	client *http.Client
}

// NewService returns a client of the service at a base URL.
func NewService(base string) *Service {
	return &Service{base: strings.TrimSuffix(base, "/"), client: newClient()}
}

// Call sends a call once. EngineUnavailable means that no connection could be
// made, so that the call was certainly not run; any later failure leaves the
// outcome unknown.
func (s *Service) Call(ctx context.Context, method, path, key string, body []byte) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, s.base+path, bytes.NewReader(body))
	if err != nil {
		return nil, result.Wrap(result.BadRequest, err)
	}
	// net/http sends a request again by itself when a reused connection
	// breaks and the request has an Idempotency-Key and can be rewound. A
	// body without GetBody, also an empty one, cannot be rewound.
	req.GetBody = nil
	req.Body = io.NopCloser(bytes.NewReader(body))
	req.ContentLength = int64(len(body))
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	resp, err := s.client.Do(req)
	if err != nil {
		return nil, result.Wrap(callFailure(err), err)
	}
	return resp, nil
}

func callFailure(err error) result.Code {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return result.EngineUnavailable
	}
	return result.OutcomeUnknown
}
