package soak_test

import (
	"context"
	"fmt"
	"io"
	"math/rand"
	"net/http"
	"strings"
	"time"

	"agatelanding.example/agatelanding/platform/standin"
)

// outcome is what a caller received for one request.
type outcome struct {
	id string
	// kind is the first part of the path, which selects the route.
	kind   string
	status int
	body   string
	err    error
	// crashing is true if the request crashes the targets that run it.
	crashing bool
	// resumes is the ID of the request whose stream this one takes up after event, empty if
	// it takes up none.
	resumes string
	event   int
	sent    time.Time
	took    time.Duration
	// adapter and part are those of the prompt, and signature that of the answer.
	adapter, part, signature string
	// key is that of a workspace.
	key string
	// client sends the request, nil for the one that all callers share.
	client *http.Client
}

// callUntil sends random requests one after the other until ctx is cancelled.
func (s *soak) callUntil(ctx context.Context, rng *rand.Rand) {
	paths := []string{"/query/x", "/query/x", "/brief/x", "/release/x", "/lookup/x"}
	for ctx.Err() == nil {
		front, path, adapter := s.frontAddresses[rng.Intn(len(s.frontAddresses))], paths[rng.Intn(len(paths))], fmt.Sprintf("a%d", rng.Intn(12))
		o := s.send(front, path, adapter, "c"+adapter[1:], outcome{key: s.drawKey(s.lastNumber.Load())})
		s.takeUp(s.frontAddresses[s.lastNumber.Load()%int64(len(s.frontAddresses))], o)
		time.Sleep(callerPause)
	}
}

// call sends one sound request and records its outcome.
func (s *soak) call(front, path, adapter string) outcome {
	return s.callWithParts(front, path, adapter, "c"+adapter[1:])
}

// promptLengths are the numbers of parts that prompts have before the given one.
var promptLengths = []int{0, 9, 60, 300}

// promptOf returns the parts of a prompt: those of all requests, as many as its length, the given
// part and one of its own.
func promptOf(part string, number int64) string {
	var list strings.Builder
	list.WriteString("f0:40,")
	for i := range promptLengths[number%int64(len(promptLengths))] {
		fmt.Fprintf(&list, "%x:1,", 0xa000+i)
	}
	fmt.Fprintf(&list, "%s:40,%x:20", part, number)
	return list.String()
}

// callWithParts sends one request, whose prompt has a part of all requests, the given
// part and one of its own, and records its outcome.
func (s *soak) callWithParts(front, path, adapter, part string) outcome {
	return s.send(front, path, adapter, part, outcome{key: openKey})
}

// send is callWithParts for a request with the given key that may take up the stream of
// another one, as given.
func (s *soak) send(front, path, adapter, part string, given outcome) outcome {
	number := s.lastNumber.Add(1)
	o := outcome{
		id: fmt.Sprintf("r%d", number), kind: strings.Split(path, "/")[1], crashing: part == crashingPart || path == crashingPath, sent: time.Now(),
		resumes: given.resumes, event: given.event, adapter: adapter, part: part, key: given.key, client: given.client,
	}
	method, body := http.MethodPost, io.Reader(strings.NewReader("body"))
	if o.kind == "lookup" || strings.HasPrefix(o.kind, "v") {
		method, body = http.MethodGet, nil
	}
	req, err := http.NewRequest(method, "http://"+front+path, body)
	if err != nil {
		s.t.Error(err)
		return o
	}
	req.Host = "h.example"
	// Without GetBody, http.Client cannot send the body of a POST again by itself.
	req.GetBody = nil
	standin.SetRequest(req.Header, o.id, callerTimeout)
	standin.SetKey(req.Header, o.key)
	if o.kind == "query" || o.kind == "brief" {
		standin.SetPrompt(req.Header, adapter, promptTokens, maxTokens)
		if o.resumes != "" {
			standin.SetTakeUp(req.Header, o.resumes, o.event)
		}
		req.Header.Set("Prompt-Prefix", promptOf(part, number))
	}
	client := s.client
	if o.client != nil {
		client = o.client
	}
	resp, err := client.Do(req)
	if err != nil {
		o.err = err
	} else {
		data, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		o.status, o.body, o.err, o.signature = resp.StatusCode, string(data), err, standin.SignatureOf(resp.Header)
	}
	o.took = time.Since(o.sent)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outcomes = append(s.outcomes, o)
	return o
}
