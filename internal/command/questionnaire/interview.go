package questionnaire

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"strconv"
	"strings"

	"github.com/pkg/errors"
	"github.com/tailscale/hujson"
)

// Interview asks for answers line by line and returns them as a document. It checks single answers only; Decode checks the
// document.
func Interview(in io.Reader, out io.Writer) ([]byte, error) {
	i := &interview{in: bufio.NewScanner(in), out: out}
	var a form
	a.add("team", i.text("Name of your team"))
	a.add("services", i.list("service", i.service))
	a.add("accounts", i.list("client account", i.account))
	a.add("routes", i.list("route", i.route))
	a.add("workloads", i.list("workload", i.workload))
	if i.err != nil {
		return nil, i.err
	}
	b, err := hujson.Format([]byte(a.object()))
	return b, errors.Wrap(err, "writing the answers")
}

// interview asks questions on out and reads the answers from in. After the first error it asks no more, and all answers are
// empty.
type interview struct {
	in  *bufio.Scanner
	out io.Writer
	err error
}

// form collects the members of a JSON object in the order of the questions; values are JSON.
type form struct {
	members []string
}

// add appends a member, unless the value is empty.
func (f *form) add(key, value string) {
	if value != "" {
		f.members = append(f.members, strconv.Quote(key)+": "+value)
	}
}

func (f *form) object() string {
	return "{\n" + strings.Join(f.members, ",\n") + ",\n}\n"
}

// list asks for names of entries until one is left empty, and calls readEntry with each name, as JSON, to ask for the rest.
func (i *interview) list(what string, readEntry func(name string) string) string {
	var l []string
	for i.err == nil {
		n := i.ask(fmt.Sprintf("Name of a %s (empty: no more)", what))
		if n == "" {
			break
		}
		l = append(l, readEntry(quote(n)))
	}
	if len(l) == 0 {
		return "[]"
	}
	return "[\n" + strings.Join(l, ",\n") + ",\n]"
}

func (i *interview) service(name string) string {
	var f form
	f.add("name", name)
	k := i.choice("Model engines or a plain service", kindEngine, kindPlain)
	f.add("kind", quote(k))
	if k == kindEngine {
		f.add("models", i.texts("Models it serves, with commas"))
	}
	f.add("requests_per_second_per_upstream", i.number("Requests a second that one upstream carries", ""))
	f.add("at_once_per_upstream", i.number("Requests that run at once on one upstream", "8"))
	f.add("checks_fencing", i.yesNo("Do the engines refuse orders with an old fencing number"))
	f.add("upstreams", i.list("upstream", func(n string) string {
		var u form
		u.add("name", n)
		u.add("address", i.text("Its address, ip:port"))
		u.add("data_centre", i.text("Its data centre"))
		return u.object()
	}))
	return f.object()
}

func (i *interview) account(name string) string {
	var f form
	f.add("name", name)
	f.add("rate_per_second", i.number("Online requests a second, over all VMs together", ""))
	f.add("burst", i.number("Online requests at once", ""))
	f.add("keys", i.number("Keys to issue", "1"))
	f.add("batch_items_per_second", i.number("Batch items a second, 0 for no limit", "0"))
	return f.object()
}

func (i *interview) route(name string) string {
	var f form
	f.add("name", name)
	p := i.text("Its path, under /v1/ for model engines or /services/NAME for a plain service")
	f.add("path", p)
	if strings.HasPrefix(p, `"`+plainPath) {
		f.add("service", i.text("Service it leads to"))
		f.add("open", i.yesNo("Open to all, without a key"))
	}
	f.add("may_repeat", i.yesNo("May a call be repeated without harm"))
	f.add("accounts", i.texts("Client accounts that may use it, with commas (empty: all)"))
	return f.object()
}

func (i *interview) workload(name string) string {
	var f form
	f.add("name", name)
	f.add("account", i.text("Client account that sends it"))
	if r := i.ask("Route it takes (empty: the model's own)"); r != "" {
		f.add("route", quote(r))
	}
	if m := i.ask("Model it uses (empty: a plain service)"); m != "" {
		f.add("model", quote(m))
	}
	k := i.choice("Online or batch", kindOnline, kindBatch)
	f.add("kind", quote(k))
	if k == kindOnline {
		f.add("requests_per_second", i.number("Requests a second at the peak", ""))
		return f.object()
	}
	f.add("items", i.number("Items of one job", ""))
	f.add("due_seconds", i.number("Seconds until a job is due", ""))
	return f.object()
}

// ask asks once and returns the trimmed answer.
func (i *interview) ask(question string) string {
	if i.err != nil {
		return ""
	}
	fmt.Fprintf(i.out, "%s: ", question)
	if !i.in.Scan() {
		i.err = errors.Errorf("the input ended at the question %q", question)
		if err := i.in.Err(); err != nil {
			i.err = errors.Wrapf(err, "reading the answer to %q", question)
		}
		return ""
	}
	return strings.TrimSpace(i.in.Text())
}

// askUntilValid repeats a question until check returns an empty string, and prints what check returns otherwise. An empty
// answer selects the default; an empty default means that there is none.
func (i *interview) askUntilValid(question, defaultAnswer string, check func(string) string) string {
	if defaultAnswer != "" {
		question += " [" + defaultAnswer + "]"
	}
	for i.err == nil {
		a := i.ask(question)
		if a == "" {
			a = defaultAnswer
		}
		problem := check(a)
		if i.err != nil || problem == "" {
			return a
		}
		fmt.Fprintln(i.out, "  "+problem)
	}
	return ""
}

func (i *interview) text(question string) string {
	return quote(i.askUntilValid(question, "", func(a string) string {
		if a == "" {
			return "an answer is needed"
		}
		return ""
	}))
}

func (i *interview) number(question, defaultAnswer string) string {
	return i.askUntilValid(question, defaultAnswer, func(a string) string {
		// ParseFloat accepts Inf and hexadecimal numbers too, which JSON doesn't have.
		n, err := strconv.ParseFloat(a, 64)
		if err != nil || n < 0 || !json.Valid([]byte(a)) {
			return fmt.Sprintf("%q is not a number from 0 up", a)
		}
		return ""
	})
}

// choice asks for one of the allowed answers; the first is the default.
func (i *interview) choice(question string, allowed ...string) string {
	return i.askUntilValid(fmt.Sprintf("%s (%s)", question, strings.Join(allowed, " or ")), allowed[0], func(a string) string {
		for _, v := range allowed {
			if a == v {
				return ""
			}
		}
		return "must be one of " + strings.Join(allowed, ", ")
	})
}

func (i *interview) yesNo(question string) string {
	if i.choice(question, "no", "yes") == "yes" {
		return "true"
	}
	return "false"
}

// texts asks for a list with commas, which may be empty.
func (i *interview) texts(question string) string {
	var l []string
	for _, s := range strings.Split(i.ask(question), ",") {
		if s = strings.TrimSpace(s); s != "" {
			l = append(l, quote(s))
		}
	}
	return "[" + strings.Join(l, ", ") + "]"
}

// quote returns a string as JSON.
func quote(s string) string {
	b, err := json.Marshal(s)
	if err != nil {
		return `""`
	}
	return string(b)
}
