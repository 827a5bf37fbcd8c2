// Command bluebellctl is the command line client for operators.
//
// Exit codes: 0 success; 1 any other failure; 2 usage error; 3 invalid change; 4 version conflict; 5 no controller is
// available; 6 the outcome is unknown and the change may be in effect.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/peterbourgon/ff/v4"
	"github.com/peterbourgon/ff/v4/ffhelp"
)

// Exit codes.
const (
	exitOK          = 0
	exitFailed      = 1
	exitUsage       = 2
	exitInvalid     = 3
	exitConflict    = 4
	exitUnavailable = 5
	exitUnknown     = 6
)

var (
	errUsage       = errors.New("usage")
	errInvalid     = errors.New("invalid")
	errConflict    = errors.New("conflict")
	errUnavailable = errors.New("no controller is available")
	errUnknown     = errors.New("outcome unknown")
	errNotFound    = errors.New("not found")
	errNotReached  = errors.New("not reached in time")
)

// program holds the streams and flags that all commands share.
type program struct {
	stdout, stderr io.Writer
	flags          *ff.FlagSet
	controllers    string
	requestTimeout time.Duration // set by the flag attempt
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	os.Exit(execute(ctx, os.Args[1:], os.Stdout, os.Stderr))
}

// execute runs the command in args and returns the exit code.
func execute(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	p := &program{stdout: stdout, stderr: stderr, flags: ff.NewFlagSet("bluebellctl")}
	p.flags.StringVar(&p.controllers, 0, "controllers", "127.0.0.1:7000", "addresses of the controllers, separated by commas")
	p.flags.DurationVar(&p.requestTimeout, 0, "attempt", 5*time.Second, "time limit of one request")
	root := &ff.Command{
		Name:        "bluebellctl",
		Usage:       "bluebellctl [FLAGS] COMMAND ...",
		Flags:       p.flags,
		Subcommands: []*ff.Command{p.apply(), p.check(), p.batches(), p.batch(), p.status(), p.wait(), p.explain(), p.budget()},
	}
	if err := root.Parse(args, ff.WithEnvVarPrefix("BLUEBELLCTL")); err != nil {
		fmt.Fprintf(stderr, "%s\n%v\n", ffhelp.Command(root.GetSelected()), err)
		return exitUsage
	}
	err := root.Run(ctx)
	if errors.Is(err, ff.ErrNoExec) {
		err = fmt.Errorf("%w: unknown or missing command", errUsage)
	}
	if errors.Is(err, errUsage) {
		fmt.Fprintln(stderr, ffhelp.Command(root.GetSelected()))
	}
	if err != nil {
		fmt.Fprintln(stderr, "bluebellctl:", err)
	}
	return exitCode(err)
}

// exitCode returns the exit code for err.
func exitCode(err error) int {
	if err == nil {
		return exitOK
	}
	for _, known := range []struct {
		err  error
		code int
	}{
		{errUsage, exitUsage},
		{errInvalid, exitInvalid},
		{errConflict, exitConflict},
		{errUnavailable, exitUnavailable},
		{errUnknown, exitUnknown},
	} {
		if errors.Is(err, known.err) {
			return known.code
		}
	}
	return exitFailed
}

// client returns a client for the controllers given by the flag controllers.
func (p *program) client() (*client, error) {
	var addrs []netip.AddrPort
	for _, text := range strings.Split(p.controllers, ",") {
		addr, err := netip.ParseAddrPort(text)
		if err != nil {
			return nil, fmt.Errorf("%w: controllers: %v", errUsage, err)
		}
		addrs = append(addrs, addr)
	}
	return newClient(addrs, p.requestTimeout), nil
}

// singleArgument returns the argument of a command that takes exactly one. The name appears in the error.
func singleArgument(args []string, name string) (string, error) {
	if len(args) != 1 {
		return "", fmt.Errorf("%w: exactly one %s argument is required", errUsage, name)
	}
	return args[0], nil
}
