package intent_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"snipetack/internal/state/intent"
)

func command(a intent.Action, run, content string, at time.Duration) intent.Command {
	return intent.Command{
		Action:   a,
		Account:  "dairy",
		Key:      "note-1",
		Digest:   []byte(content),
		Run:      run,
		At:       time.Unix(1000, 0).Add(at),
		Limit:    time.Minute,
		Response: intent.Response{Status: 200, Body: []byte("done by " + run), Kept: true},
	}
}

func TestExecute(t *testing.T) {
	type step struct {
		c    intent.Command
		want intent.State
	}
	b, f, a := intent.Begin, intent.Finish, intent.Abandon
	for n, l := range map[string][]step{
		"second run waits, then gets the response": {
			{command(b, "r1", "x", 0), intent.Started}, {command(b, "r2", "x", 0), intent.Running},
			{command(f, "r1", "x", 0), intent.Done}, {command(b, "r2", "x", 0), intent.Done},
		},
		"retried begin holds the request":   {{command(b, "r1", "x", 0), intent.Started}, {command(b, "r1", "x", 0), intent.Started}},
		"other content clashes":             {{command(b, "r1", "x", 0), intent.Started}, {command(b, "r2", "y", 0), intent.Clash}},
		"run without a finish is lost":      {{command(b, "r1", "x", 0), intent.Started}, {command(b, "r2", "x", 2*time.Minute), intent.Lost}},
		"late finish of a lost run counts":  {{command(b, "r1", "x", 0), intent.Started}, {command(b, "r2", "x", time.Hour), intent.Lost}, {command(f, "r1", "x", 0), intent.Done}, {command(b, "r2", "x", time.Hour), intent.Done}},
		"abandoned request is free":         {{command(b, "r1", "x", 0), intent.Started}, {command(a, "r1", "x", 0), intent.Free}, {command(b, "r2", "x", 0), intent.Started}},
		"delayed begin of an abandoned run": {{command(a, "r1", "x", 0), intent.Free}, {command(b, "r1", "x", 0), intent.Free}, {command(b, "r2", "x", 0), intent.Started}, {command(b, "r1", "x", 0), intent.Running}},
		"another run can't abandon":         {{command(b, "r1", "x", 0), intent.Started}, {command(a, "r2", "x", 0), intent.Running}, {command(b, "r3", "x", 0), intent.Running}},
		"another run can't finish":          {{command(b, "r1", "x", 0), intent.Started}, {command(f, "r2", "x", 0), intent.Lost}, {command(b, "r3", "x", 0), intent.Running}},
	} {
		t.Run(n, func(t *testing.T) {
			m := intent.New()
			for i, s := range l {
				o, err := intent.DecodeOutcome(m.Apply(0, intent.EncodeCommand(s.c)))
				require.NoError(t, err)
				require.Equal(t, s.want, o.State, "step %d", i)
				if o.State == intent.Done {
					require.Equal(t, "done by r1", string(o.Response.Body))
				}
			}
		})
	}
}

// TestAtMostOneRunHoldsARequest checks with random commands, retries and snapshots that two runs never hold a request
// at the same time, and that a machine restored from a snapshot has the state of the original.
func TestAtMostOneRunHoldsARequest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := intent.New()
		holder := map[string]string{}
		for i := range rapid.IntRange(1, 60).Draw(t, "steps") {
			r := fmt.Sprint("r", rapid.IntRange(0, 5).Draw(t, "run"))
			k := fmt.Sprint("k", rapid.IntRange(0, 2).Draw(t, "key"))
			c := command(intent.Action(rapid.IntRange(1, 3).Draw(t, "action")), r+k, "x", time.Duration(i)*time.Minute)
			c.Key = k
			o := m.Execute(c)
			if o.State == intent.Started {
				if h, ok := holder[k]; ok {
					require.Equal(t, h, c.Run, "key %s", k)
				}
				holder[k] = c.Run
			}
			if o.State == intent.Free && holder[k] == c.Run {
				delete(holder, k)
			}
			n := intent.New()
			require.NoError(t, n.Restore(m.Snapshot()))
			require.Equal(t, m.Snapshot(), n.Snapshot())
			m = n
		}
	})
}
