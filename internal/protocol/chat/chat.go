package chat

import (
	"encoding/json"
	"strings"
)

// Headers between a VM and an engine.
const (
	RequestIDHeader = "X-Request-Id"  // identifies a request when it is resumed or cancelled
	ResumeHeader    = "Last-Event-ID" // number of the last chunk received; its presence asks the engine to resume after it
)

// Request is the part of a request that routing needs; the other fields are forwarded unchanged.
type Request struct {
	Model     string          `json:"model"`
	Messages  []Message       `json:"messages,omitempty"`
	Text      json.RawMessage `json:"prompt,omitempty"`
	Stream    bool            `json:"stream,omitempty"`
	MaxTokens int             `json:"max_tokens,omitempty"`
	Options   StreamOptions   `json:"stream_options"`
}

// StreamOptions choose what a stream contains besides the response's chunks.
type StreamOptions struct {
	IncludeUsage bool `json:"include_usage,omitempty"`
}

// Message is one turn of a conversation.
type Message struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// Prompt returns the text of all messages, with their roles, and of the prompt field. Routing uses it to find upstreams
// that have cached a prefix; it is not the exact text that the engine's template produces.
func (r Request) Prompt() string {
	var b strings.Builder
	for _, m := range r.Messages {
		b.WriteString(m.Role)
		b.WriteString(" ")
		b.WriteString(text(m.Content))
		b.WriteString("\n")
	}
	b.WriteString(text(r.Text))
	return b.String()
}

// Completion is a complete response or one chunk of it.
type Completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []Choice `json:"choices"`
	Usage   *Usage   `json:"usage,omitempty"`
}

// Choice is one alternative of a response; Message is set in a complete response, Delta in a chunk.
type Choice struct {
	Index        int     `json:"index"`
	Message      *Answer `json:"message,omitempty"`
	Delta        *Answer `json:"delta,omitempty"`
	FinishReason *string `json:"finish_reason"`
}

// Answer is generated text: all of it in a complete response, the next part in a chunk.
type Answer struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

// Usage counts tokens.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

// Load is an engine's report of its own load.
type Load struct {
	Running   int   `json:"running"`           // requests
	Waiting   int   `json:"waiting"`           // requests
	Slots     int   `json:"slots"`             // requests that can run at the same time
	AgeMillis int64 `json:"age_ms"`            // of the measurements, when the report was sent
	Leaving   bool  `json:"leaving,omitempty"` // accepts no new requests
}

// CacheEvent reports that an engine stored or, with Stored false, evicted a cached block of a prompt prefix. Number
// counts the engine's events.
type CacheEvent struct {
	Number uint64 `json:"number"`
	Block  string `json:"block"`
	Stored bool   `json:"stored"`
}

// Order is an instruction to an engine. Fence is the fencing number of the leader that issues it; an engine that
// checks fencing refuses orders with a lower number than one it has seen.
type Order struct {
	Fence  uint64 `json:"fence"`
	Action string `json:"action"`
	Target string `json:"target"`
}

// NewCompletion returns a complete response of one choice; prompt and tokens count the tokens read and generated.
func NewCompletion(id, model, content string, prompt, tokens int) Completion {
	stop := "stop"
	return Completion{
		ID:      id,
		Object:  "chat.completion",
		Model:   model,
		Choices: []Choice{{Message: &Answer{Role: "assistant", Content: content}, FinishReason: &stop}},
		Usage:   &Usage{PromptTokens: prompt, CompletionTokens: tokens, TotalTokens: prompt + tokens},
	}
}

// Chunk returns one chunk of a streamed response; finish, the reason for its end, is set only in the last one.
func Chunk(id, model, content, finish string) Completion {
	c := Choice{Delta: &Answer{Role: "assistant", Content: content}}
	if finish != "" {
		c.FinishReason = &finish
	}
	return Completion{ID: id, Object: "chat.completion.chunk", Model: model, Choices: []Choice{c}}
}

// UsageChunk returns the chunk that states the token counts of a streamed response; it has no choices.
func UsageChunk(id, model string, prompt, tokens int) Completion {
	u := &Usage{PromptTokens: prompt, CompletionTokens: tokens, TotalTokens: prompt + tokens}
	return Completion{ID: id, Object: "chat.completion.chunk", Model: model, Choices: []Choice{}, Usage: u}
}

// text returns the text of a content field, which is a string or a list of parts; anything else has no text.
func text(raw json.RawMessage) string {
	var s string
	if json.Unmarshal(raw, &s) == nil {
		return s
	}
	var l []struct {
		Text string `json:"text"`
	}
	if json.Unmarshal(raw, &l) != nil {
		return ""
	}
	var b strings.Builder
	for _, p := range l {
		b.WriteString(p.Text)
	}
	return b.String()
}
