package clients

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

// Service is a client of one plain service.
type Service struct {
	base   string
	client *http.Client
}

// NewService returns a client of the service at a base URL.
func NewService(base string) *Service {
	client := newClient()
	// A redirection that cannot be followed would look like a call that was not sent.
	client.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &Service{base: strings.TrimSuffix(base, "/"), client: client}
}

// Call sends a request once. It fails with result.EngineUnavailable if no
// connection could be made, so that the request certainly did not run, and with
// result.OutcomeUnknown after any later failure.
func (s *Service) Call(ctx context.Context, method, path, key string, body []byte) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, s.base+path, bytes.NewReader(body))
	if err != nil {
		return nil, result.Wrap(result.BadRequest, err)
	}
	// net/http itself resends a request when a reused connection breaks, if
	// the request has an Idempotency-Key and its body can be rewound. A body
	// without GetBody, even an empty one, cannot be rewound.
	req.GetBody = nil
	req.Body = io.NopCloser(bytes.NewReader(body))
	req.ContentLength = int64(len(body))
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	resp, err := s.client.Do(req)
	if err != nil {
		return nil, result.Wrap(failureCode(err), err)
	}
	return resp, nil
}

// failureCode returns the result code of a failed HTTP request.
func failureCode(err error) result.Code {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return result.EngineUnavailable
	}
	return result.OutcomeUnknown
}
