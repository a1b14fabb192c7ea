package jaycommand

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/pkg/errors"

	"jayfield.example/jay/jayclient"
)

// chatBody is a chat completion request.
type chatBody struct {
	Model     string        `json:"model"`
	Stream    bool          `json:"stream"`
	MaxTokens int           `json:"max_tokens,omitempty"`
	Messages  []chatMessage `json:"messages"`
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// callFlags are the flags of the call command.
type callFlags struct {
	model   string
	tokens  int
	service string
	path    string
	order   string
}

// call returns the command that sends a request as a caller does.
func (c *config) call() *ffcli.Command {
	var f callFlags
	more := func(flags *flag.FlagSet) {
		flags.StringVar(&f.model, "model", "", "`model` that answers the prompt")
		flags.IntVar(&f.tokens, "tokens", 0, "most `tokens` of the answer")
		flags.StringVar(&f.service, "service", "", "plain `service` to call, instead of a model")
		flags.StringVar(&f.path, "path", "/", "`path` at the service")
		flags.StringVar(&f.order, "order", "", "`JSON` of work that runs at most once at the service")
	}
	return c.command("call", "[flags] [PROMPT]", "Send a request and show the answer as it comes", more,
		func(ctx context.Context, args []string) error {
			caller := c.newCaller()
			defer caller.Close()
			if f.service != "" {
				return c.callService(ctx, caller, f)
			}
			if f.model == "" || len(args) == 0 {
				return usagef("give --model and a prompt, or --service")
			}
			return c.callModel(ctx, caller, f, strings.Join(args, " "))
		})
}

func (c *config) callModel(ctx context.Context, caller *jayclient.Caller, f callFlags, prompt string) error {
	body, err := json.Marshal(chatBody{
		Model: f.model, Stream: true, MaxTokens: f.tokens,
		Messages: []chatMessage{{Role: "user", Content: prompt}},
	})
	if err != nil {
		return errors.WithStack(err)
	}
	show := func(text string) { _, _ = fmt.Fprint(c.stdout, text) }
	if c.format == string(FormatJSON) {
		show = nil
	}
	got, err := caller.Stream(ctx, body, show)
	if err != nil {
		return err
	}
	if c.format == string(FormatText) {
		line(c.stdout, "")
		line(c.stderr, "%d tokens from %s, first after %s, all after %s, %d resumes", got.Tokens, strings.Join(got.Upstreams, ", "),
			got.First.Round(time.Millisecond), got.Took.Round(time.Millisecond), got.Resumes)
		return nil
	}
	return c.print(got, nil)
}

func (c *config) callService(ctx context.Context, caller *jayclient.Caller, f callFlags) error {
	var answer jayclient.Answer
	var err error
	if f.order != "" {
		answer, err = caller.Order(ctx, f.service, f.path, []byte(f.order))
	} else {
		answer, err = caller.Get(ctx, f.service, f.path)
	}
	if err != nil {
		return err
	}
	_, err = io.WriteString(c.stdout, strings.TrimSpace(string(answer.Body))+"\n")
	return errors.WithStack(err)
}
