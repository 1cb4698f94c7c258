package e2e

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"

	"github.com/jujubeshed/jujubeshed/internal/endpoint"
	"github.com/jujubeshed/jujubeshed/internal/standin/engine"
)

const workspaceKey = "kallergis-desk-key"

// chat is a chat completion whose expected response text follows from its prompt, seed and
// number of tokens.
type chat struct {
	prompt string
	seed   uint64
	tokens int
}

func (c chat) messages() []endpoint.Message {
	return []endpoint.Message{{Role: "user", Content: c.prompt}}
}

func (c chat) want() string {
	return engine.NewTokens(endpoint.PromptText(c.messages()), c.seed).Text(c.tokens)
}

func (c chat) body(stream bool) []byte {
	raw, err := json.Marshal(endpoint.ChatRequest{
		Model: "inscription", Messages: c.messages(), MaxTokens: c.tokens, Seed: c.seed, Stream: stream,
	})
	if err != nil {
		panic(err)
	}
	return raw
}

// stream sends a chat to the first address and reads its stream to the end. If the
// connection ends early, it resumes at the next address, like a caller behind a load
// balancer. It returns the text and the number of reconnections.
func (c chat) stream(path string, addrs []string) (text string, reconnects int, err error) {
	var b strings.Builder
	id, last := "", ""
	for n := range 4 * len(addrs) {
		addr := addrs[n%len(addrs)]
		req, err := c.request(addr, path, id, last)
		if err != nil {
			return "", n, err
		}
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			continue
		}
		if resp.StatusCode != http.StatusOK {
			detail, _ := io.ReadAll(resp.Body)
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusNotFound || resp.StatusCode == http.StatusServiceUnavailable {
				// The node that stored the response is gone. A chat is idempotent, so start again.
				id, last = "", ""
				b.Reset()
				continue
			}
			return "", n, fmt.Errorf("status %d: %s", resp.StatusCode, detail)
		}
		id = resp.Header.Get("X-Request-Id")
		done, err := readEvents(resp.Body, &b, &last)
		_ = resp.Body.Close()
		if done || err != nil {
			return b.String(), n, err
		}
	}
	return b.String(), 4 * len(addrs), fmt.Errorf("no end mark after %d bytes", b.Len())
}

// streamOnce sends a chat and reads its stream to the end on one connection, without resuming.
func (c chat) streamOnce(path, addr string) (string, error) {
	req, err := c.request(addr, path, "", "")
	if err != nil {
		return "", err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return "", err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		detail, _ := io.ReadAll(resp.Body)
		return "", fmt.Errorf("status %d: %s", resp.StatusCode, detail)
	}
	var b strings.Builder
	last := ""
	done, err := readEvents(resp.Body, &b, &last)
	if err == nil && !done {
		err = fmt.Errorf("the stream ended without its end mark after event %q", last)
	}
	return b.String(), err
}

func (c chat) request(addr, path, id, last string) (*http.Request, error) {
	req, err := http.NewRequest(http.MethodPost, "http://"+addr+path, bytes.NewReader(c.body(true)))
	if id != "" {
		req, err = http.NewRequest(http.MethodGet, "http://"+addr+"/v1/answers/"+id, nil)
	}
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+workspaceKey)
	if last != "" {
		req.Header.Set("Last-Event-ID", last)
	}
	return req, nil
}

// readEvents appends the text of a stream to text and sets last to the latest event ID. done
// reports whether the end mark arrived.
func readEvents(r io.Reader, text *strings.Builder, last *string) (done bool, err error) {
	scan := bufio.NewScanner(r)
	scan.Buffer(nil, 1<<20)
	event := ""
	for scan.Scan() {
		name, value, _ := strings.Cut(scan.Text(), ": ")
		switch name {
		case "id":
			*last = value
		case "event":
			event = value
		case "data":
			if event == "error" {
				return false, fmt.Errorf("error event: %s", value)
			}
			if event == "moved" {
				return false, nil
			}
			if value == "[DONE]" {
				return true, nil
			}
			var ch endpoint.ChatChunk
			if err := json.Unmarshal([]byte(value), &ch); err != nil {
				return false, err
			}
			text.WriteString(ch.Choices[0].Delta.Content)
		}
	}
	return false, nil
}

// sendOrder places an order and returns the response's status and body.
func sendOrder(addr, key, body string) (int, string, error) {
	req, err := http.NewRequest(http.MethodPost, "http://"+addr+"/orders", strings.NewReader(body))
	if err != nil {
		return 0, "", err
	}
	req.Header.Set("Authorization", "Bearer "+workspaceKey)
	req.Header.Set("Idempotency-Key", key)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(raw), err
}
