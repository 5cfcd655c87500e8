package gateway

import (
	"context"
	"errors"
	"log/slog"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"

	"snipetack/internal/state/intent"
	"snipetack/internal/state/result"
)

// TestStopCause guards against a panic at the end of a call that succeeded although its context had ended.
func TestStopCause(t *testing.T) {
	withdrawn := result.New(result.KeyWithdrawn, "key k no longer works")
	broken := result.New(result.UpstreamBroken, "broken").WithRan(result.Unknown)
	for _, c := range []struct {
		name  string
		ended bool
		cause error
		err   error
		want  error
	}{
		{"running, no error", false, nil, nil, nil},
		{"running, an error", false, nil, broken, broken},
		{"ended with a failure, no error", true, withdrawn, nil, nil},
		{"ended with a failure, an error", true, withdrawn, broken, withdrawn.WithRan(result.Unknown)},
		{"ended without a failure, no error", true, nil, nil, nil},
		{"ended without a failure, an error", true, nil, broken, broken},
	} {
		t.Run(c.name, func(t *testing.T) {
			ctx, cancel := context.WithCancelCause(t.Context())
			defer cancel(nil)
			if c.ended {
				cancel(c.cause)
			}
			require.Equal(t, c.want, stopCause(ctx, c.err))
		})
	}
}

// proposals records the commands that are proposed.
type proposals struct{ actions []intent.Action }

func (p *proposals) Propose(_ context.Context, _ uint32, b []byte) ([]byte, error) {
	c, err := intent.DecodeCommand(b)
	if err != nil {
		return nil, err
	}
	p.actions = append(p.actions, c.Action)
	return nil, errors.New("no outcome")
}

// TestCallEndedBeforeItsRunIsAbandoned guards against a panic, which closes the caller's connection without a response.
func TestCallEndedBeforeItsRunIsAbandoned(t *testing.T) {
	withdrawn := result.New(result.KeyWithdrawn, "key k no longer works")
	for _, c := range []struct {
		name  string
		cause error
		want  result.Code
	}{
		{"key withdrawn", withdrawn, result.KeyWithdrawn},
		{"caller disconnected", context.Canceled, result.Internal},
	} {
		t.Run(c.name, func(t *testing.T) {
			ctx, cancel := context.WithCancelCause(t.Context())
			cancel(c.cause)
			p := &proposals{}
			n := &plainRun{g: &Gateway{d: Deps{Groups: p, Log: slog.New(slog.DiscardHandler)}}, key: "k"}
			f := result.Of(n.execute(ctx, httptest.NewRecorder()))
			require.Equal(t, c.want, f.Code)
			require.Equal(t, result.NotRun, f.Ran)
			require.Equal(t, []intent.Action{intent.Abandon}, p.actions)
		})
	}
}
