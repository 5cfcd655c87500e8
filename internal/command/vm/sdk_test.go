package vm_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
	"github.com/stretchr/testify/require"

	"snipetack/internal/standin/engine"
	"snipetack/internal/state/catalog"
	"snipetack/internal/testing/fleet"
)

// sdk returns the official client of the chat-completions API, with the address and key of a VM and without retries.
func sdk(f *fleet.Fleet, vm, key string) openai.Client {
	return openai.NewClient(
		option.WithBaseURL(f.URL(vm, "/v1/")),
		option.WithAPIKey(key),
		option.WithHTTPClient(f.Client()),
		option.WithMaxRetries(0),
	)
}

func question(text string, tokens int64) openai.ChatCompletionNewParams {
	return openai.ChatCompletionNewParams{
		Model:     fleet.Model,
		MaxTokens: openai.Int(tokens),
		Messages:  []openai.ChatCompletionMessageParamUnion{openai.UserMessage(text)},
	}
}

func TestOfficialSDKWorksUnchanged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := fleet.New(t, fleet.Shape{Seed: 3, Keepers: 1, Entries: 1, Engines: 2})
		defer f.Close()
		k := f.Onboard("entry-1", catalog.Account{Name: "drivers", Rate: 100, Burst: 100, Weight: 1})
		c := sdk(f, "entry-1", k[0])
		want := engine.Answer("user which farm first\n", 6)

		a, err := c.Chat.Completions.New(t.Context(), question("which farm first", 6))
		require.NoError(t, err)
		require.Equal(t, want, a.Choices[0].Message.Content)
		require.EqualValues(t, 6, a.Usage.CompletionTokens)

		s := c.Chat.Completions.NewStreaming(t.Context(), question("which farm first", 6))
		got := ""
		for s.Next() {
			if x := s.Current(); len(x.Choices) > 0 {
				got += x.Choices[0].Delta.Content
			}
		}
		require.NoError(t, s.Err())
		require.Equal(t, want, got)

		m, err := c.Models.List(t.Context())
		require.NoError(t, err)
		require.Equal(t, fleet.Model, m.Data[0].ID)

		unknownKey := sdk(f, "entry-1", "sk-wrong")
		_, err = unknownKey.Models.List(t.Context())
		var e *openai.Error
		require.ErrorAs(t, err, &e)
		require.Equal(t, http.StatusUnauthorized, e.StatusCode)
		require.Equal(t, "key_unknown", e.Code)
	})
}

func TestOfficialSDKRunsABatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := fleet.New(t, fleet.Shape{Seed: 4, Keepers: 3, Entries: 2, Engines: 2})
		defer f.Close()
		for _, e := range f.Engines {
			e.SetFaults(engine.Faults{FailItems: true})
		}
		k := f.Onboard("entry-1", catalog.Account{Name: "statements", Rate: 100, Burst: 100, Weight: 1})
		c := sdk(f, "entry-1", k[0])
		lines := []string{line("a", "farm a", 4), line("b", "farm b is unreadable", 4), line("c", "farm c", 4)}

		id := submit(t, c, lines)
		other := sdk(f, "entry-2", k[0])
		var b *openai.Batch
		var err error
		f.Await(time.Minute, "job completed", func() bool {
			b, err = other.Batches.Get(t.Context(), id)
			return err == nil && b.Status == openai.BatchStatusCompleted
		})
		require.EqualValues(t, 2, b.RequestCounts.Completed)
		require.EqualValues(t, 1, b.RequestCounts.Failed)
		require.Contains(t, fileText(t, other, b.OutputFileID), engine.Answer("user farm c\n", 4))
		require.Contains(t, fileText(t, other, b.ErrorFileID), `"custom_id":"b"`)

		l, err := other.Batches.List(t.Context(), openai.BatchListParams{})
		require.NoError(t, err)
		require.Len(t, l.Data, 1)
		_, err = other.Batches.Cancel(t.Context(), b.ID)
		var e *openai.Error
		if err != nil {
			require.ErrorAs(t, err, &e)
			require.Equal(t, http.StatusConflict, e.StatusCode)
		}
		_, err = other.Files.Get(t.Context(), "file-unknown")
		require.ErrorAs(t, err, &e)
		require.Equal(t, http.StatusNotFound, e.StatusCode)
	})
}

// submit uploads lines as a file, creates a batch job from it and returns the job's ID.
func submit(t *testing.T, c openai.Client, lines []string) string {
	u, err := c.Files.New(t.Context(), openai.FileNewParams{
		Purpose: openai.FilePurposeBatch,
		File:    openai.File(strings.NewReader(strings.Join(lines, "\n")), "statements.jsonl", "application/jsonl"),
	})
	require.NoError(t, err)
	b, err := c.Batches.New(t.Context(), openai.BatchNewParams{
		InputFileID:      u.ID,
		Endpoint:         openai.BatchNewParamsEndpointV1ChatCompletions,
		CompletionWindow: openai.BatchNewParamsCompletionWindow24h,
	})
	require.NoError(t, err)
	return b.ID
}

func fileText(t *testing.T, c openai.Client, id string) string {
	r, err := c.Files.Content(t.Context(), id)
	require.NoError(t, err)
	defer r.Body.Close()
	b, err := io.ReadAll(r.Body)
	require.NoError(t, err)
	return string(b)
}

func line(id, prompt string, tokens int) string {
	return fmt.Sprintf(`{"custom_id":%q,"method":"POST","url":"/v1/chat/completions","body":{"model":%q,"max_tokens":%d,"messages":[{"role":"user","content":%q}]}}`,
		id, fleet.Model, tokens, prompt)
}
