package cli

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/jessevdk/go-flags"
	"github.com/pkg/errors"
)

// Exit codes of the program.
const (
	exitOK      = 0
	exitFailed  = 1 // the command failed while it ran
	exitUsage   = 2 // unknown command or flag, or a bad value
	exitInvalid = 3 // settings, answers or certificates are wrong
)

// environment holds the streams and the lifetime that all commands share.
type environment struct {
	in  io.Reader
	out io.Writer
	err io.Writer
	ctx context.Context // cancelled by the first SIGTERM or interrupt: stop gracefully

	force context.Context // cancelled by the second one: serve then cuts off the requests in flight
}

// invalid marks an error in settings, answers or certificates; the program then exits with exitInvalid.
type invalid struct {
	error
}

// command is a subcommand. The type that implements it is the struct that its flags are parsed into.
type command interface {
	run(e *environment) error
}

// entry describes a subcommand and its help text. It has either make, which returns the command to run, or subs.
type entry struct {
	name  string
	short string
	long  string
	make  func() command
	subs  []entry
}

// Run executes a command line, without the program's name, and returns the exit code. The first SIGTERM or interrupt stops
// the command gracefully, the second one makes serve cut off the requests in flight, and a third one ends the process.
func Run(args []string, out, err io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	force, cancel := context.WithCancel(context.Background())
	defer cancel()
	context.AfterFunc(ctx, func() {
		second, stop := signal.NotifyContext(force, os.Interrupt, syscall.SIGTERM)
		<-second.Done()
		stop() // restores the default action: a third signal ends the process
		cancel()
	})
	return execute(&environment{in: os.Stdin, out: out, err: err, ctx: ctx, force: force}, args)
}

// execute parses args and runs the command that they name; it returns the exit code.
func execute(e *environment, args []string) int {
	p := flags.NewNamedParser("snipetack", flags.HelpFlag|flags.PassDoubleDash)
	p.ShortDescription = "online and batch inference on one fleet"
	chosen := map[string]command{}
	register(p.Command, entries(), "", chosen)
	p.CommandHandler = func(flags.Commander, []string) error { return nil }
	rest, err := p.ParseArgs(args)
	var f *flags.Error
	if errors.As(err, &f) && f.Type == flags.ErrHelp {
		fmt.Fprintln(e.out, f.Message)
		return exitOK
	}
	if err == nil && len(rest) > 0 {
		err = errors.Errorf("unexpected argument %q", rest[0])
	}
	if err != nil {
		fmt.Fprintln(e.err, "snipetack:", oneLine(err))
		return exitUsage
	}
	return exitCode(e, chosen[activePath(p.Command)].run(e))
}

// register adds the commands in l to a parent, recursively. Those that run are stored in chosen under their full path, the
// names from the top joined by blanks; path is that of the parent and ends in a blank unless empty.
func register(parent *flags.Command, l []entry, path string, chosen map[string]command) {
	for _, c := range l {
		var data any = &struct{}{}
		if c.make != nil {
			chosen[path+c.name] = c.make()
			data = chosen[path+c.name]
		}
		n, err := parent.AddCommand(c.name, c.short, c.long, data)
		if err != nil {
			panic(err)
		}
		register(n, c.subs, path+c.name+" ", chosen)
	}
}

// activePath returns the full path of the command that was parsed, as register builds it.
func activePath(c *flags.Command) string {
	var l []string
	for c = c.Active; c != nil; c = c.Active {
		l = append(l, c.Name)
	}
	return strings.Join(l, " ")
}

// exitCode prints err, if any, and returns the program's exit code for it.
func exitCode(e *environment, err error) int {
	if err == nil {
		return exitOK
	}
	fmt.Fprintln(e.err, "snipetack:", oneLine(err))
	var i invalid
	if errors.As(err, &i) {
		return exitInvalid
	}
	return exitFailed
}

// oneLine returns an error's message with each run of white space, line breaks included, replaced by one blank.
func oneLine(err error) string {
	return strings.Join(strings.Fields(err.Error()), " ")
}
