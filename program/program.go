package program

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/charmbracelet/log"
	"github.com/jessevdk/go-flags"
)

// The exit codes of every program.
const (
	// ExitOK means that the command did what it was asked.
	ExitOK = 0
	// ExitFailed means that it could not.
	ExitFailed = 1
	// ExitUsage means that the command line is wrong.
	ExitUsage = 2
	// ExitInput means that a file it was given is wrong.
	ExitInput = 3
	// ExitRefused means that the answer to the question is no: a check failed, an
	// objective is missed, a roll lost a race.
	ExitRefused = 4
)

// ExitError gives an error an exit code.
type ExitError struct {
	Code int
	Err  error
}

// Error returns the cause's text.
func (e *ExitError) Error() string {
	return e.Err.Error()
}

// Unwrap returns the cause.
func (e *ExitError) Unwrap() error {
	return e.Err
}

// WithCode gives an error an exit code; nil stays nil.
func WithCode(code int, err error) error {
	if err == nil {
		return nil
	}
	return &ExitError{Code: code, Err: err}
}

// Environment is what commands read and write.
type Environment struct {
	Out io.Writer
	Err io.Writer
	// Log is set up from the flags before a command runs.
	Log *log.Logger
	// Context ends at the first SIGTERM or SIGINT; a second one ends the program.
	Context context.Context
}

// Command is one row of a program's table.
type Command struct {
	// Path is the command's name, or the names of its group and itself.
	Path []string
	// Short is its line in the program's help.
	Short string
	// Long is its own help.
	Long string
	// New returns the command's flags as a struct that can run.
	New func() Runner
}

// Runner is a command's parsed flags.
type Runner interface {
	// Run does the work; args are what the flags left over.
	Run(env *Environment, args []string) error
}

// Program is one binary.
type Program struct {
	Name  string
	Short string
	// Commands is the table that help is drawn from.
	Commands []Command
	// Single is the command of a program that has only one.
	Single *Command
	// Groups gives the line of each group of commands.
	Groups map[string]string
}

// logOptions are the flags of every program.
type logOptions struct {
	LogLevel string `long:"log-level" choice:"debug" choice:"info" choice:"warn" choice:"error" default:"info" description:"the least serious messages to log"`
	LogForm  string `long:"log-form" choice:"text" choice:"json" default:"text" description:"the form of log lines"`
}

// Main runs the program with the process's arguments and exits.
func (p *Program) Main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	watcher := &secondSignal{first: ctx, stop: stop, name: p.Name}
	go watcher.run()
	code := p.Execute(&Environment{Out: os.Stdout, Err: os.Stderr, Context: ctx}, os.Args[1:])
	os.Exit(code)
}

// secondSignal gives signals their usual effect back once the first has come, so
// that a second one ends the program at once.
type secondSignal struct {
	first context.Context
	stop  context.CancelFunc
	name  string
}

func (s *secondSignal) run() {
	<-s.first.Done()
	s.stop()
}

// Execute runs the program with the arguments and returns its exit code.
func (p *Program) Execute(env *Environment, args []string) int {
	var options logOptions
	parser := flags.NewNamedParser(p.Name, flags.HelpFlag|flags.PassDoubleDash)
	parser.ShortDescription = p.Short
	parser.LongDescription = p.Short
	if _, err := parser.AddGroup("Logging", "", &options); err != nil {
		return p.report(env, err)
	}
	if p.Single != nil {
		return p.report(env, p.runSingle(env, parser, &options, args))
	}
	groups := make(map[string]*flags.Command)
	for _, command := range p.Commands {
		if err := p.add(env, parser, groups, &options, command); err != nil {
			return p.report(env, err)
		}
	}
	_, err := parser.ParseArgs(args)
	return p.report(env, err)
}

// runSingle runs the only command, whose flags stand at the top.
func (p *Program) runSingle(env *Environment, parser *flags.Parser, options *logOptions, args []string) error {
	runner := p.Single.New()
	parser.LongDescription = p.Single.Long
	if _, err := parser.AddGroup("Options", "", runner); err != nil {
		return err
	}
	rest, err := parser.ParseArgs(args)
	if err != nil {
		return err
	}
	leaf := &leafCommand{env: env, options: options, runner: runner, program: p.Name}
	return leaf.Execute(rest)
}

// add puts a command into the parser, below its group if it has one.
func (p *Program) add(env *Environment, parser *flags.Parser, groups map[string]*flags.Command, options *logOptions, command Command) error {
	parent := parser.Command
	if len(command.Path) > 1 {
		name := command.Path[0]
		if groups[name] == nil {
			group, err := parser.AddCommand(name, p.Groups[name], p.Groups[name], &struct{}{})
			if err != nil {
				return err
			}
			groups[name] = group
		}
		parent = groups[name]
	}
	runner := command.New()
	leaf := &leafCommand{env: env, options: options, runner: runner, program: p.Name}
	added, err := parent.AddCommand(command.Path[len(command.Path)-1], command.Short, command.Long, leaf)
	if err != nil {
		return err
	}
	_, err = added.AddGroup("Options", "", runner)
	return err
}

// leafCommand runs a command once its flags are parsed.
type leafCommand struct {
	env     *Environment
	options *logOptions
	runner  Runner
	program string
}

// Execute is called by the flags library.
func (l *leafCommand) Execute(args []string) error {
	logger, err := newLogger(l.env.Err, l.program, l.options.LogLevel, l.options.LogForm)
	if err != nil {
		return err
	}
	l.env.Log = logger
	return l.runner.Run(l.env, args)
}

func newLogger(out io.Writer, prefix, level, form string) (*log.Logger, error) {
	parsed, err := log.ParseLevel(level)
	if err != nil {
		return nil, err
	}
	formatter := log.TextFormatter
	if form == "json" {
		formatter = log.JSONFormatter
	}
	return log.NewWithOptions(out, log.Options{
		Level:           parsed,
		Prefix:          prefix,
		Formatter:       formatter,
		ReportTimestamp: true,
		TimeFormat:      "2006-01-02T15:04:05.000Z07:00",
	}), nil
}

// report prints an error and returns its exit code.
func (p *Program) report(env *Environment, err error) int {
	if err == nil {
		return ExitOK
	}
	var parsing *flags.Error
	if errors.As(err, &parsing) {
		if parsing.Type == flags.ErrHelp {
			_, _ = fmt.Fprintln(env.Out, parsing.Message)
			return ExitOK
		}
		_, _ = fmt.Fprintf(env.Err, "%s: %s\n%s: see %s --help\n", p.Name, parsing.Message, p.Name, p.Name)
		return ExitUsage
	}
	_, _ = fmt.Fprintf(env.Err, "%s: %v\n", p.Name, err)
	var exit *ExitError
	if errors.As(err, &exit) {
		return exit.Code
	}
	return ExitFailed
}
