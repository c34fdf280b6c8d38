//go:build review3

package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"agatelanding.example/agatelanding/platform/standin"
)

// stream sends a request for a stream and returns what became of it, and what the body says.
func stream(front, id, name, parts string, events int) (result, text string) {
	req, err := http.NewRequest(http.MethodPost, "http://"+front+"/brief/2f", strings.NewReader("prompt"))
	if err != nil {
		return err.Error(), ""
	}
	req.Host = "ficu95.example"
	for k, v := range map[string]string{"Attempt-Id": id, "Model": name, "Token-Usage": "200,100", "Prompt-Prefix": parts, "Deadline-Ms": "20000"} {
		req.Header.Set(k, v)
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 25 * time.Second}
	resp, err := client.Do(req)
	if err != nil {
		return "no answer", ""
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	switch {
	case resp.StatusCode != http.StatusOK:
		return fmt.Sprint("status ", resp.StatusCode), strings.TrimSpace(string(body))
	case err != nil:
		return "cut", ""
	case string(body) != standin.Stream(id, events):
		return "wrong", ""
	}
	return "whole", ""
}
