package engine

import (
	"fmt"
	"strings"
	"sync"

	"github.com/cespare/xxhash/v2"
)

// sequence is the generation for one request. Its tokens stay readable after it has ended, for a resume.
type sequence struct {
	id        string
	prompt    []string // words
	maxTokens int      // tokens to generate
	mu        sync.Mutex
	tokens    []string
	done      bool          // complete or cancelled
	dropped   bool          // cancelled
	changed   chan struct{} // closed and replaced on each change
}

func newSequence(id, prompt string, maxTokens int) *sequence {
	return &sequence{
		id:        id,
		prompt:    strings.Fields(prompt),
		maxTokens: maxTokens,
		changed:   make(chan struct{}),
	}
}

// generate adds the next token and reports whether the sequence has ended; on an ended one it does nothing.
func (s *sequence) generate() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.done {
		return true
	}
	s.tokens = append(s.tokens, s.tokenAt(len(s.tokens)))
	s.done = len(s.tokens) >= s.maxTokens
	s.notify()
	return s.done
}

// cancel ends the sequence after the tokens that it has; on an ended one it does nothing.
func (s *sequence) cancel() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.done {
		return
	}
	s.done = true
	s.dropped = true
	s.notify()
}

// tokensAfter returns the tokens after the first n, whether the sequence has ended (done), whether it was
// cancelled (dropped), and a channel that is closed on the next change.
func (s *sequence) tokensAfter(n int) (tokens []string, done, dropped bool, changed <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if n < len(s.tokens) {
		tokens = append(tokens, s.tokens[n:]...)
	}
	return tokens, s.done, s.dropped, s.changed
}

func (s *sequence) cancelled() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.dropped
}

func (s *sequence) ended() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.done
}

func (s *sequence) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// tokenAt returns the i-th token. It depends only on the prompt and i, so that all engines generate the same
// response to a prompt.
func (s *sequence) tokenAt(i int) string {
	h := xxhash.Sum64String(fmt.Sprint(strings.Join(s.prompt, " "), i))
	return fmt.Sprintf("w%03d ", h%1000)
}

// Answer returns the complete response that every engine generates for a prompt, for comparison in tests.
func Answer(prompt string, tokens int) string {
	s := newSequence("", prompt, tokens)
	for !s.generate() {
	}
	return strings.Join(s.tokens, "")
}
