// Command bluebellctl is the operators' command line.
//
// Exit codes: 0 accepted or done; 1 another failure; 2 usage; 3 invalid; 4 conflict;
// 5 no controller answered; 6 the outcome is unknown and the change may be in effect.
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
	exitOK       = 0
	exitFailed   = 1
	exitUsage    = 2
	exitInvalid  = 3
	exitConflict = 4
	exitNone     = 5
	exitUnknown  = 6
)

var (
	errUsage    = errors.New("usage")
	errInvalid  = errors.New("invalid")
	errConflict = errors.New("conflict")
	errNone     = errors.New("no controller answered")
	errUnknown  = errors.New("outcome unknown")
	errMissing  = errors.New("not found")
	errLate     = errors.New("not reached in time")
)

// program holds what the commands share.
type program struct {
	stdout, stderr io.Writer
	flags          *ff.FlagSet
	controllers    string
	attempt        time.Duration
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	os.Exit(execute(ctx, os.Args[1:], os.Stdout, os.Stderr))
}

func execute(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	p := &program{stdout: stdout, stderr: stderr, flags: ff.NewFlagSet("bluebellctl")}
	p.flags.StringVar(&p.controllers, 0, "controllers", "127.0.0.1:7000", "controllers' addresses, separated by commas")
	p.flags.DurationVar(&p.attempt, 0, "attempt", 5*time.Second, "time limit of one request")
	root := &ff.Command{
		Name:        "bluebellctl",
		Usage:       "bluebellctl [FLAGS] COMMAND ...",
		Flags:       p.flags,
		Subcommands: []*ff.Command{p.apply(), p.check(), p.batches(), p.batch(), p.status(), p.wait(), p.explain()},
	}
	if err := root.Parse(args, ff.WithEnvVarPrefix("BLUEBELLCTL")); err != nil {
		fmt.Fprintf(stderr, "%s\n%v\n", ffhelp.Command(root.GetSelected()), err)
		return exitUsage
	}
	err := root.Run(ctx)
	if errors.Is(err, ff.ErrNoExec) {
		err = fmt.Errorf("%w: no such command", errUsage)
	}
	if errors.Is(err, errUsage) {
		fmt.Fprintln(stderr, ffhelp.Command(root.GetSelected()))
	}
	if err != nil {
		fmt.Fprintln(stderr, "bluebellctl:", err)
	}
	return code(err)
}

func code(err error) int {
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
		{errNone, exitNone},
		{errUnknown, exitUnknown},
	} {
		if errors.Is(err, known.err) {
			return known.code
		}
	}
	return exitFailed
}

// client returns a client for the controllers in the settings.
func (p *program) client() (*client, error) {
	var addrs []netip.AddrPort
	for _, text := range strings.Split(p.controllers, ",") {
		addr, err := netip.ParseAddrPort(text)
		if err != nil {
			return nil, fmt.Errorf("%w: controllers: %v", errUsage, err)
		}
		addrs = append(addrs, addr)
	}
	return newClient(addrs, p.attempt), nil
}

// argument returns the only argument of a command.
func argument(args []string, name string) (string, error) {
	if len(args) != 1 {
		return "", fmt.Errorf("%w: exactly one %s is needed", errUsage, name)
	}
	return args[0], nil
}
