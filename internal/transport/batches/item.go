package batches

import (
	"bytes"
	"encoding/json"
	"net/http"
	"unicode/utf8"

	"snipetack/internal/state/result"
)

// maxLine is the longest line of an input file, in bytes.
const maxLine = 1 << 20

// defaultTokenLimit is the number of tokens assumed for an item without a limit of its own.
const defaultTokenLimit = 256

// item is one line of an input file.
type item struct {
	CustomID string          `json:"custom_id"`
	Method   string          `json:"method"`
	URL      string          `json:"url"`
	Body     json.RawMessage `json:"body"`
}

// itemBody is the part of an item's request that scheduling needs.
type itemBody struct {
	Model               string `json:"model"`
	MaxTokens           int    `json:"max_tokens"`
	MaxCompletionTokens int    `json:"max_completion_tokens"`
}

// tokenLimit returns the max number of tokens that the item may generate.
func (b itemBody) tokenLimit() int {
	switch {
	case b.MaxTokens > 0:
		return b.MaxTokens
	case b.MaxCompletionTokens > 0:
		return b.MaxCompletionTokens
	}
	return defaultTokenLimit
}

// parseItem parses and validates a line of an input file; its errors name the line by number, counted from 1.
func parseItem(line []byte, number int) (item, itemBody, error) {
	var i item
	var b itemBody
	bad := func(what string) error {
		return result.New(result.FileInvalid, "line %d: %s", number, what)
	}
	if !utf8.Valid(line) {
		return i, b, result.New(result.InvalidText, "line %d is not UTF-8", number)
	}
	if err := json.Unmarshal(line, &i); err != nil {
		return i, b, bad("not a JSON object: " + err.Error())
	}
	switch {
	case i.CustomID == "":
		return i, b, bad("custom_id is missing")
	case i.Method != http.MethodPost:
		return i, b, bad("method is not POST")
	case i.URL != chatPath && i.URL != completionsPath:
		return i, b, bad("url is neither " + chatPath + " nor " + completionsPath)
	case !bytes.HasPrefix(bytes.TrimSpace(i.Body), []byte("{")):
		return i, b, bad("body is not a JSON object")
	}
	if err := json.Unmarshal(i.Body, &b); err != nil {
		return i, b, bad("body: " + err.Error())
	}
	if b.Model == "" {
		return i, b, bad("body.model is missing")
	}
	return i, b, nil
}

// The endpoints that items may use.
const (
	chatPath        = "/v1/chat/completions"
	completionsPath = "/v1/completions"
)
