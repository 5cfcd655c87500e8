package cli

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"snipetack/internal/command/load"
)

type loadCommand struct {
	URL      string        `long:"url" description:"chat-completions endpoint" value-name:"URL" default:"http://127.0.0.1:8401/v1/chat/completions"`
	KeyFile  string        `long:"key-file" description:"file with a caller's key; none for a stand-in" value-name:"FILE"`
	Model    string        `long:"model" description:"model to ask for" default:"sprach-1"`
	Rate     float64       `long:"rate" description:"requests a second" default:"50"`
	Duration time.Duration `long:"duration" description:"how long to send" default:"10s"`
	Words    int           `long:"words" description:"words of a prompt" default:"64"`
	Tokens   int           `long:"tokens" description:"tokens of an answer" default:"16"`
	Stream   bool          `long:"stream" description:"ask for streams"`
	InFlight int           `long:"in-flight" description:"most requests in flight; more count as not sent" default:"4096"`
	Seed     uint64        `long:"seed" description:"seed of the gaps and prompts" default:"1"`
	JSON     bool          `long:"json" description:"print the figures as JSON"`
}

func (c loadCommand) run(e *environment) error {
	k := ""
	if c.KeyFile != "" {
		var err error
		if k, err = readToken(c.KeyFile); err != nil {
			return invalid{err}
		}
	}
	r, err := load.Run(e.ctx, load.Plan{
		URL:      c.URL,
		Key:      k,
		Model:    c.Model,
		Rate:     c.Rate,
		Duration: c.Duration,
		Words:    c.Words,
		Tokens:   c.Tokens,
		Stream:   c.Stream,
		Seed:     c.Seed,
		InFlight: c.InFlight,
	})
	if err != nil {
		return err
	}
	if c.JSON {
		return printLoadJSON(e.out, r)
	}
	return printLoad(e.out, r)
}

func printLoad(w io.Writer, r load.Report) error {
	fmt.Fprintf(w, "sent %d, whole %d, truncated %d, failed %d, not sent %d, %.0f whole a second\n",
		r.Sent, r.Complete, r.Truncated, r.Failed, r.NotSent, float64(r.Complete)/r.Elapsed.Seconds())
	fmt.Fprintln(w, "codes:", r.Codes)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "\tp50\tp95\tp99\tmax\t")
	for _, l := range []struct {
		name string
		h    *hdrhistogram.Histogram
	}{{"first byte", r.First}, {"gap", r.Gap}, {"whole answer", r.Total}} {
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\t\n", l.name, percentile(l.h, 50), percentile(l.h, 95), percentile(l.h, 99), percentile(l.h, 100))
	}
	return t.Flush()
}

func printLoadJSON(w io.Writer, r load.Report) error {
	return json.NewEncoder(w).Encode(map[string]any{
		"sent":          r.Sent,
		"whole":         r.Complete,
		"truncated":     r.Truncated,
		"failed":        r.Failed,
		"not_sent":      r.NotSent,
		"codes":         r.Codes,
		"seconds":       r.Elapsed.Seconds(),
		"first_p50_us":  r.First.ValueAtQuantile(50),
		"first_p95_us":  r.First.ValueAtQuantile(95),
		"first_p99_us":  r.First.ValueAtQuantile(99),
		"gap_p50_us":    r.Gap.ValueAtQuantile(50),
		"gap_p99_us":    r.Gap.ValueAtQuantile(99),
		"total_p50_us":  r.Total.ValueAtQuantile(50),
		"total_p99_us":  r.Total.ValueAtQuantile(99),
		"total_mean_us": r.Total.Mean(),
	})
}

func percentile(h *hdrhistogram.Histogram, quantile float64) time.Duration {
	return time.Duration(h.ValueAtQuantile(quantile)) * time.Microsecond
}
