package jayclient

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/tidwall/gjson"

	"jayfield.example/jay/jaycall"
	"jayfield.example/jay/jayerror"
)

const (
	// maxResumes bounds how often a stream is taken up again.
	maxResumes = 8
	// resumePause is the pause before a stream is taken up again.
	resumePause = 100 * time.Millisecond
	// maxLine bounds a line of a stream in bytes.
	maxLine = 256 << 10
)

// Completion is what a caller got of a streamed answer.
type Completion struct {
	// Text is the whole answer.
	Text string
	// Tokens counts the events with text.
	Tokens int
	// First is the time to the first token, Took the time to the last.
	First, Took time.Duration
	// Upstreams and Instances served parts of the answer.
	Upstreams, Instances []string
	// Resumes counts how often the stream was taken up again.
	Resumes int
	// Request is the ID of the first request.
	Request string
}

// progress is how far a stream has come.
type progress struct {
	Completion
	text    strings.Builder
	last    string
	started time.Time
	done    bool
	token   func(string)
}

// Stream asks for a chat completion and returns when the answer is whole. It
// calls token with each piece of text. A stream that ends early is resumed,
// at another instance if need be.
func (c *Caller) Stream(ctx context.Context, body []byte, token func(string)) (Completion, error) {
	p := &progress{started: time.Now(), token: token}
	for {
		address, err := c.Address(ctx)
		if err != nil {
			return p.result(), err
		}
		err = c.streamAt(ctx, address, body, p)
		if err == nil {
			return p.result(), nil
		}
		again := !jayerror.Is(err, KindRefused) && !jayerror.Is(err, KindNotRun)
		if !again || p.Resumes >= maxResumes || ctx.Err() != nil {
			return p.result(), err
		}
		c.drop(address)
		p.Resumes++
		time.Sleep(resumePause)
	}
}

func (c *Caller) streamAt(ctx context.Context, address string, body []byte, p *progress) error {
	header := http.Header{"Content-Type": {"application/json"}}
	if p.last != "" {
		header.Set("Last-Event-ID", p.last)
	}
	response, err := c.Do(ctx, address, http.MethodPost, "/v1/chat/completions", header, body)
	if err != nil {
		return jayerror.Wrap("stream", KindUnreachable, err)
	}
	defer response.Body.Close() //nolint:errcheck // The stream is over.
	if response.StatusCode != http.StatusOK {
		return refusal("stream", response)
	}
	p.Instances = append(p.Instances, address)
	p.Upstreams = append(p.Upstreams, response.Header.Get(jaycall.HeaderServed))
	if p.Request == "" {
		p.Request = response.Header.Get(jaycall.HeaderRequest)
	}
	return p.read(response.Body)
}

// read takes in the events of one connection.
func (p *progress) read(body io.Reader) error {
	lines := bufio.NewScanner(body)
	lines.Buffer(make([]byte, 4<<10), maxLine)
	id := ""
	for lines.Scan() {
		line := lines.Bytes()
		switch {
		case bytes.HasPrefix(line, []byte("id: ")):
			id = string(line[len("id: "):])
		case bytes.HasPrefix(line, []byte("data: ")):
			if err := p.event(id, line[len("data: "):]); err != nil {
				return err
			}
		}
		if p.done {
			return nil
		}
	}
	if err := lines.Err(); err != nil {
		return jayerror.Wrap("stream", KindBroken, err)
	}
	return jayerror.New("stream", KindBroken, "stream ended before the answer was whole")
}

func (p *progress) event(id string, data []byte) error {
	if string(data) == "[DONE]" {
		p.done = true
		return nil
	}
	if failed := gjson.GetBytes(data, "error.message"); failed.Exists() {
		return jayerror.New("stream", KindBroken, failed.String())
	}
	p.last = id
	text := gjson.GetBytes(data, "choices.0.delta.content").String()
	if text == "" {
		return nil
	}
	if p.Tokens == 0 {
		p.First = time.Since(p.started)
	}
	p.Tokens++
	p.text.WriteString(text)
	if p.token != nil {
		p.token(text)
	}
	return nil
}

func (p *progress) result() Completion {
	p.Text = p.text.String()
	p.Took = time.Since(p.started)
	return p.Completion
}

// refusal reads the answer to a request that was not accepted.
func refusal(op string, response *http.Response) error {
	data, err := io.ReadAll(io.LimitReader(response.Body, maxAnswer))
	if err != nil {
		return jayerror.Wrap(op, KindBroken, errors.WithStack(err))
	}
	message := gjson.GetBytes(data, "error.message").String()
	if message == "" {
		message = string(bytes.TrimSpace(data))
	}
	kind := KindRefused
	switch response.Header.Get(jaycall.HeaderRun) {
	case "not-run":
		kind = KindNotRun
	case "unknown":
		kind = KindUnknown
	}
	if response.StatusCode < http.StatusInternalServerError && response.StatusCode != http.StatusTooManyRequests {
		kind = KindRefused
	}
	if response.StatusCode == http.StatusServiceUnavailable && kind == KindNotRun {
		kind = KindUnavailable
	}
	return jayerror.Newf(op, kind, "status %d: %s", response.StatusCode, message)
}
