package jaysite_test

import (
	"context"
	"errors"
	"net/http"
	"testing"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"

	"jayfield.example/jay/jaysite"
	"jayfield.example/jay/jaystandin"
)

func openaiClient(site *jaysite.Site, key string) openai.Client {
	address := "http://" + site.Instances[0].Addresses().Caller
	return openai.NewClient(option.WithBaseURL(address+"/v1/"), option.WithAPIKey(key), option.WithMaxRetries(0))
}

func params(prompt string) openai.ChatCompletionNewParams {
	return openai.ChatCompletionNewParams{
		Model:     jaysite.Model,
		Messages:  []openai.ChatCompletionMessageParamUnion{openai.UserMessage(prompt)},
		MaxTokens: openai.Int(20),
	}
}

// longAnswer is the length in tokens of an answer that takes seconds.
const longAnswer = 2000

func TestOpenAIClient(t *testing.T) {
	t.Parallel()
	site, ctx := start(t, nil)
	client := openaiClient(site, "shop-12-key")
	want := jaystandin.Answer("is it in stock", 20)
	tests := map[string]func(t *testing.T){
		"whole": func(t *testing.T) {
			got, err := client.Chat.Completions.New(ctx, params("is it in stock"))
			if err != nil {
				t.Fatal(err)
			}
			if got.Choices[0].Message.Content != want || got.Choices[0].FinishReason != "stop" || got.Usage.CompletionTokens != 20 {
				t.Errorf("got %+v", got)
			}
		},
		"streamed": func(t *testing.T) {
			stream := client.Chat.Completions.NewStreaming(ctx, params("is it in stock"))
			var text string
			for stream.Next() {
				for _, choice := range stream.Current().Choices {
					text += choice.Delta.Content
				}
			}
			if stream.Err() != nil || text != want {
				t.Errorf("text = %q, error = %v", text, stream.Err())
			}
		},
		"cancelled": func(t *testing.T) {
			short, cancel := context.WithCancel(ctx)
			// The answer is long enough not to be whole before the caller leaves.
			long := params("is it in stock")
			long.MaxTokens = openai.Int(longAnswer)
			stream := client.Chat.Completions.NewStreaming(short, long)
			stream.Next()
			cancel()
			for stream.Next() {
			}
			if !errors.Is(stream.Err(), context.Canceled) {
				t.Errorf("error = %v", stream.Err())
			}
		},
		"text completion": func(t *testing.T) {
			got, err := client.Completions.New(ctx, openai.CompletionNewParams{
				Model: jaysite.Model, Prompt: openai.CompletionNewParamsPromptUnion{OfString: openai.String("is it in stock")}, MaxTokens: openai.Int(20),
			})
			if err != nil || got.Choices[0].Text != want {
				t.Errorf("got %+v, error = %v", got, err)
			}
		},
		"models": func(t *testing.T) {
			page, err := client.Models.List(ctx)
			if err != nil || len(page.Data) != 1 || page.Data[0].ID != jaysite.Model {
				t.Errorf("models = %+v, error = %v", page, err)
			}
		},
		"wrong key": func(t *testing.T) {
			wrong := openaiClient(site, "not-a-key")
			_, err := wrong.Chat.Completions.New(ctx, params("hello"))
			var failed *openai.Error
			if !errors.As(err, &failed) || failed.StatusCode != http.StatusUnauthorized || failed.Code != "invalid_api_key" {
				t.Errorf("error = %v", err)
			}
		},
		"unknown model": func(t *testing.T) {
			other := params("hello")
			other.Model = "no-such-model"
			_, err := client.Chat.Completions.New(ctx, other)
			var failed *openai.Error
			if !errors.As(err, &failed) || failed.StatusCode != http.StatusNotFound || failed.Code != "model_not_found" {
				t.Errorf("error = %v", err)
			}
		},
	}
	for name, test := range tests {
		t.Run(name, test)
	}
}
