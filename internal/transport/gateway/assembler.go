package gateway

import (
	"encoding/json"

	"github.com/cespare/xxhash/v2"

	"snipetack/internal/state/result"
)

// maxHeldChunks bounds the chunks that are kept because an earlier one is missing.
const maxHeldChunks = 256

// assembler puts the chunks of one response in order, over several connections to an engine and over runs on several
// engines.
//
// Engines may generate different text for the same request. After a restart the assembler therefore compares the new
// run with the chunks that were relayed before, and fails if they differ, so that a response never mixes two runs.
type assembler struct {
	next     int            // number of the next chunk of the current run, from 1
	held     map[int][]byte // chunks after a missing one, by number
	digests  []uint64       // of the choices in the chunks that went to the caller
	finished bool           // the current run sent a finish reason
	numbered bool           // the current run's events carry numbers, which a resume needs
}

// chunkFields is the part of a chunk that the assembler reads; two runs agree if their choices are equal byte for byte.
type chunkFields struct {
	Error   json.RawMessage `json:"error"`
	Choices json.RawMessage `json:"choices"`
}

type choiceFinish struct {
	FinishReason *string `json:"finish_reason"`
}

func newAssembler() *assembler {
	return &assembler{next: 1, held: map[int][]byte{}}
}

// restart prepares for the response of another run from its first chunk on. What was relayed stays recorded.
func (a *assembler) restart() {
	a.next = 1
	a.finished = false
	a.numbered = false
	clear(a.held)
}

// last returns the number of the last chunk of the current run before the first missing one, or 0.
func (a *assembler) last() int {
	return a.next - 1
}

// add accepts an event's chunk and returns the chunks to relay now, in order. It drops a chunk that was seen before in
// this run. Chunks may be returned together with an error.
func (a *assembler) add(e event) ([][]byte, error) {
	n := e.Number
	if n == 0 {
		n = a.next
	} else {
		a.numbered = true
	}
	if n < a.next {
		return nil, nil
	}
	if n > a.next {
		if len(a.held) >= maxHeldChunks {
			return nil, brokenResponse("too many chunks are missing")
		}
		a.held[n] = e.Data
		return nil, nil
	}
	var l [][]byte
	for b, ok := e.Data, true; ok; b, ok = a.held[a.next] {
		isNew, err := a.accept(b)
		if err != nil {
			return l, err
		}
		if isNew {
			l = append(l, b)
		}
		delete(a.held, a.next)
		a.next++
	}
	return l, nil
}

// checkComplete returns nil if the current run has ended with a finish reason, misses no chunk and is not shorter than
// what was relayed.
func (a *assembler) checkComplete() error {
	if len(a.held) > 0 || !a.finished {
		return brokenResponse("the answer ended before it was whole")
	}
	if a.last() < len(a.digests) {
		return divergedResponse()
	}
	return nil
}

// accept reads the next chunk in order and reports whether the caller has yet to get it. It fails if an earlier run had
// another chunk in its place.
func (a *assembler) accept(b []byte) (bool, error) {
	var f chunkFields
	if err := json.Unmarshal(b, &f); err != nil {
		return false, brokenResponse("a chunk can't be read")
	}
	if len(f.Error) > 0 {
		return false, brokenResponse("the engine reported an error")
	}
	var l []choiceFinish
	_ = json.Unmarshal(f.Choices, &l)
	for _, c := range l {
		a.finished = a.finished || c.FinishReason != nil
	}
	d := xxhash.Sum64(f.Choices)
	if a.next > len(a.digests) {
		a.digests = append(a.digests, d)
		return true, nil
	}
	if a.digests[a.next-1] != d {
		return false, divergedResponse()
	}
	return false, nil
}

// brokenResponse returns the Failure of a request that ran but whose response can't be used.
func brokenResponse(why string) error {
	return result.New(result.UpstreamBroken, "%s", why).WithRan(result.DidRun)
}

// errDiverged marks a response that can't be completed, as a rerun differs from what was relayed.
type errDiverged struct{ error }

func (e errDiverged) Unwrap() error { return e.error }

func divergedResponse() error {
	return errDiverged{brokenResponse("another run of the request gives another answer")}
}
