package gateway

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// chunk returns the event of a chunk; an empty text makes it the last one.
func chunk(n int, text string) event {
	finish := "null"
	if text == "" {
		finish = `"stop"`
	}
	return event{Number: n, Data: fmt.Appendf(nil, `{"id":"x%d","choices":[{"index":0,"delta":{"content":%q},"finish_reason":%s}]}`, n, text, finish)}
}

// TestAssemblerGivesOneWholeResponse feeds an assembler chunks in any order, with duplicates, over several connections
// and engines, of which some generate another text. Whenever the assembler accepts the end, the chunks that were
// relayed must be all of the last run's and no others; otherwise a caller would get a mix of two responses.
func TestAssemblerGivesOneWholeResponse(t *testing.T) {
	completed := 0
	for seed := range uint64(2000) {
		r := rand.New(rand.NewPCG(seed, 3))
		want := 1 + r.IntN(20)
		a := newAssembler()
		var out []string
		diverge := -1
		for range 1 + r.IntN(3) { // engines
			a.restart()
			diverge = -1
			if r.IntN(4) == 0 {
				diverge = r.IntN(want)
			}
			if feedRun(t, r, a, want, diverge, &out) {
				break
			}
		}
		if a.checkComplete() != nil {
			continue
		}
		completed++
		require.Len(t, out, want+1, "seed %d", seed)
		for i, o := range out {
			w := fmt.Sprintf(`"w%d"`, i)
			if i == diverge {
				w = "other"
			}
			require.Contains(t, o, w, "seed %d: the response is not that of the last run", seed)
		}
	}
	require.Greater(t, completed, 200)
}

// feedRun adds one engine's chunks over some connections and reports whether the assembler accepted the end. The chunk
// with index diverge has another text than in the other runs; -1 means none.
func feedRun(t *testing.T, r *rand.Rand, a *assembler, want, diverge int, out *[]string) bool {
	t.Helper()
	for range 1 + r.IntN(3) { // connections
		var l []event
		for i := a.last(); i <= want; i++ {
			e := chunk(i+1, fmt.Sprint("w", i))
			if i == want {
				e = event{Number: i + 1, Data: []byte(strings.Replace(string(chunk(i+1, "").Data), `"content":""`, fmt.Sprintf(`"content":"w%d"`, i), 1))}
			}
			if i == diverge {
				e = chunk(i+1, "other")
			}
			l = append(l, e)
			if r.IntN(5) == 0 {
				l = append(l, e)
			}
		}
		r.Shuffle(min(len(l), 1+r.IntN(6)), func(i, j int) { l[i], l[j] = l[j], l[i] })
		l = l[:r.IntN(len(l)+1)]
		for _, e := range l {
			b, err := a.add(e)
			for _, x := range b {
				*out = append(*out, string(x))
			}
			if err != nil {
				return false
			}
		}
		if a.checkComplete() == nil {
			return true
		}
		clear(a.held)
	}
	return false
}

func TestAssemblerRefuses(t *testing.T) {
	type step struct {
		e  event
		ok bool
	}
	for n, l := range map[string][]step{
		"another response in the rerun": {{chunk(1, "a"), true}, {event{Number: -1}, true}, {chunk(1, "b"), false}},
		"an engine's error":             {{event{Number: 1, Data: []byte(`{"error":{"message":"m"}}`)}, false}},
		"a chunk that is no JSON":       {{event{Number: 1, Data: []byte(`{"choi`)}, false}},
	} {
		t.Run(n, func(t *testing.T) {
			a := newAssembler()
			for _, s := range l {
				if s.e.Number < 0 {
					a.restart()
					continue
				}
				_, err := a.add(s.e)
				require.Equal(t, s.ok, err == nil, "%v", err)
			}
		})
	}
	a := newAssembler()
	var err error
	for i := 0; err == nil; i++ {
		require.LessOrEqual(t, i, maxHeldChunks)
		_, err = a.add(chunk(i+2, "x"))
	}
	shorter := newAssembler()
	_, _ = shorter.add(chunk(1, "a"))
	_, _ = shorter.add(chunk(2, "b"))
	shorter.restart()
	shorter.finished = true
	_, _ = shorter.add(chunk(1, "a"))
	require.Error(t, shorter.checkComplete(), "a shorter rerun")
}

func TestMergerKeepsAllFields(t *testing.T) {
	var m merger
	for _, c := range []string{
		`{"id":"a","object":"chat.completion.chunk","choices":[{"index":1,"delta":{"role":"assistant","content":"x"}},{"index":0,"delta":{"role":"assistant","tool_calls":[{"index":0,"id":"c","type":"function","function":{"name":"f","arguments":"{"}}]}}]}`,
		`{"id":"a","choices":[{"index":0,"delta":{"role":"assistant","tool_calls":[{"index":0,"function":{"arguments":"}"}}]},"finish_reason":"tool_calls"}]}`,
		`{"id":"a","choices":[{"index":1,"delta":{"content":"y"},"logprobs":{"content":[{"token":"y"}]},"finish_reason":"stop"}]}`,
		`{"id":"a","choices":[],"usage":{"total_tokens":3}}`,
	} {
		require.NoError(t, m.add([]byte(c)))
	}
	want := `map[choices:[map[finish_reason:tool_calls index:0 message:map[role:assistant tool_calls:[map[function:map[arguments:{} name:f] id:c index:0 type:function]]]] ` +
		`map[finish_reason:stop index:1 logprobs:map[content:[map[token:y]]] message:map[content:xy role:assistant]]] id:a object:chat.completion usage:map[total_tokens:3]]`
	require.Equal(t, want, fmt.Sprint(m.result()))
}
