package cli

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"snipetack/internal/standin/engine"
	"snipetack/internal/standin/plain"
	"snipetack/internal/transport/network"
)

// standinGrace is how long a stand-in may take to finish its requests when it is stopped, and to receive the header of one.
const standinGrace = 5 * time.Second

type standin struct {
	Kind    string        `long:"kind" description:"what to stand in for" choice:"engine" choice:"plain" default:"engine"`
	Listen  []string      `long:"listen" description:"address of one upstream; may be repeated" value-name:"IP:PORT" required:"yes"`
	Slots   int           `long:"slots" description:"requests that an engine generates at once" default:"8"`
	Step    time.Duration `long:"step" description:"time that an engine takes for a token" default:"5ms"`
	Prefill time.Duration `long:"prefill" description:"time that an engine takes for a prompt token that is not cached" default:"50us"`
	Models  []string      `long:"model" description:"model that the engines serve; may be repeated" default:"sprach-1"`
}

func (c standin) run(e *environment) error {
	if c.Slots < 1 {
		return errors.Errorf("--slots %d is below one", c.Slots)
	}
	n := network.New()
	for _, a := range c.Listen {
		l, err := n.Listen(a)
		if err != nil {
			return err
		}
		s := &http.Server{Handler: c.handler(a), ReadHeaderTimeout: standinGrace}
		go func() { _ = s.Serve(l) }()
		defer func() {
			t, cancel := context.WithTimeout(context.Background(), standinGrace)
			defer cancel()
			_ = s.Shutdown(t)
		}()
		fmt.Fprintf(e.out, "stand-in %s on %s\n", c.Kind, l.Addr())
	}
	<-e.ctx.Done()
	return nil
}

func (c standin) handler(name string) http.Handler {
	if c.Kind == "plain" {
		return plain.New(name, time.Millisecond)
	}
	s := engine.DefaultSettings()
	s.Name = name
	s.Slots = c.Slots
	s.StepBase = c.Step
	s.PrefillToken = c.Prefill
	s.Models = c.Models
	return engine.New(s).Handler()
}
