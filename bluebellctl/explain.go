package main

import (
	"bufio"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v4"
)

const (
	// maxLine is the length in bytes of the longest log line.
	maxLine = 1 << 20
	// before is how long before a call changes of what its processes believe are shown.
	before = 10 * time.Second
	// timeFormat shows the time of day to a tenth of a millisecond, with which logs of one VM are in order.
	timeFormat = "15:04:05.0000"
)

// beliefs are the messages that tell of a change of what a process believes.
var beliefs = []string{
	"starting", "stopping", "stopped", "settings reloaded", "upstream announced", "upstream leaves", "upstream refuses connections",
	"announcement lapsed", "snapshot in effect", "session ended", "connected", "member is dead", "member is suspect",
	"member changed state", "control loop stalled", "role changed", "change", "log lines dropped",
}

// logLine is one line of a process.
type logLine struct {
	Time    time.Time      `json:"time"`
	Process string         `json:"process"`
	Part    string         `json:"part"`
	Message string         `json:"message"`
	Fields  map[string]any `json:"fields"`
}

// explanation is the way of one call or change through the processes.
type explanation struct {
	ID      string    `json:"id"`
	Lines   []logLine `json:"lines"`   // of the call itself and of calls that its run made
	Context []logLine `json:"context"` // changes of beliefs shortly before, at the processes it touched
	Verdict string    `json:"verdict"`
	Clocks  string    `json:"clocks"`
}

func (p *program) explain() *ff.Command {
	flags := ff.NewFlagSet("explain").SetParent(p.flags)
	asJSON := flags.BoolLong("json", "print JSON")
	return &ff.Command{
		Name:      "explain",
		Usage:     "bluebellctl explain [FLAGS] ID LOG [LOG ...]",
		ShortHelp: "show the way of a call or change through the logs of several VMs",
		Flags:     flags,
		Exec: func(_ context.Context, args []string) error {
			if len(args) < 2 {
				return fmt.Errorf("%w: an id and at least one log file are needed", errUsage)
			}
			var all []logLine
			for _, path := range args[1:] {
				lines, err := readLog(path)
				if err != nil {
					return err
				}
				all = append(all, lines...)
			}
			e, err := explain(args[0], all)
			if err != nil {
				return err
			}
			if *asJSON {
				encoder := json.NewEncoder(p.stdout)
				encoder.SetIndent("", "  ")
				return encoder.Encode(e)
			}
			return e.print(p.stdout)
		},
	}
}

// readLog returns the lines of a log file. What stands before the JSON of a line and lines without any are passed over, since
// collectors put their own marks there.
func readLog(path string) ([]logLine, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("%w: %v", errUsage, err)
	}
	defer file.Close()
	var lines []logLine
	scanner := bufio.NewScanner(file)
	scanner.Buffer(nil, maxLine)
	for scanner.Scan() {
		if line, ok := parseLine(scanner.Bytes()); ok {
			lines = append(lines, line)
		}
	}
	if err := scanner.Err(); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return lines, nil
}

func parseLine(data []byte) (logLine, bool) {
	start := strings.IndexByte(string(data), '{')
	if start < 0 {
		return logLine{}, false
	}
	var fields map[string]any
	if err := json.Unmarshal(data[start:], &fields); err != nil {
		return logLine{}, false
	}
	text := func(name string) string {
		value, _ := fields[name].(string)
		delete(fields, name)
		return value
	}
	line := logLine{Message: text("@message"), Fields: fields}
	line.Process, line.Part, _ = strings.Cut(text("@module"), ".")
	at, err := time.Parse(time.RFC3339Nano, text("@timestamp"))
	delete(fields, "@level")
	line.Time = at
	return line, err == nil && line.Message != ""
}

// explain collects the lines of an id, and of calls whose id is that id, a dot and more.
func explain(id string, all []logLine) (explanation, error) {
	e := explanation{ID: id}
	slices.SortStableFunc(all, func(a, b logLine) int { return a.Time.Compare(b.Time) })
	touched := map[string]bool{}
	for _, line := range all {
		own := line.text("id")
		if own != id && !strings.HasPrefix(own, id+".") {
			continue
		}
		e.Lines = append(e.Lines, line)
		touched[line.Process] = true
		for _, member := range line.list("asked") {
			touched[member] = true
		}
	}
	if len(e.Lines) == 0 {
		return e, fmt.Errorf("%w: no line with id %q; calls that go well at once are logged by sample only", errMissing, id)
	}
	from, to := e.Lines[0].Time.Add(-before), e.Lines[len(e.Lines)-1].Time
	for _, line := range all {
		inTime := !line.Time.Before(from) && !line.Time.After(to)
		if inTime && touched[line.Process] && slices.Contains(beliefs, line.Message) {
			e.Context = append(e.Context, line)
		}
	}
	e.Verdict, e.Clocks = verdict(id, e.Lines), clocks(e)
	return e, nil
}

// verdict says which decision settled the call.
func verdict(id string, lines []logLine) string {
	var last logLine
	for _, line := range lines {
		if line.text("id") == id && line.Message != "attempt" {
			last = line
		}
	}
	if last.Message == "" {
		return "only calls that its run made are in these logs"
	}
	if last.Message == "change" || last.Message == "change refused" {
		return "the change ended with code " + cmp.Or(last.text("code"), "accepted") + detail(last.text("reason"))
	}
	status := fmt.Sprint(last.Fields["status"])
	switch {
	case last.text("outcome") == "answered" || strings.HasPrefix(status, "2"):
		return "the upstream of " + lastOf(last.list("asked")) + " answered with status " + status
	case last.text("outcome") == "not-run" || last.Message == "call refused":
		return "refused with status " + status + " as not run" + detail(last.text("reason"))
	case last.text("again") != "":
		return "unknown whether it ran" + detail(last.text("reason")) + "; not sent again: " + last.text("again")
	}
	return "ended with status " + status + detail(last.text("reason"))
}

func detail(reason string) string {
	if reason == "" {
		return ""
	}
	return ": " + reason
}

func lastOf(list []string) string {
	if len(list) == 0 {
		return "an unknown VM"
	}
	return list[len(list)-1]
}

// clocks says how far the order of the lines can be trusted.
func clocks(e explanation) string {
	processes := map[string]bool{}
	for _, line := range slices.Concat(e.Lines, e.Context) {
		processes[line.Process] = true
	}
	if len(processes) < 2 {
		return "all lines are of one VM, so their order is exact"
	}
	return fmt.Sprintf("lines are of %d VMs with clocks of their own; between VMs the order may be off by the difference of these", len(processes))
}

func (e explanation) print(w io.Writer) error {
	for _, part := range []struct {
		title string
		lines []logLine
	}{{fmt.Sprintf("before it (%v)", before), e.Context}, {"call " + e.ID, e.Lines}} {
		if _, err := fmt.Fprintln(w, part.title); err != nil {
			return err
		}
		for _, line := range part.lines {
			if _, err := fmt.Fprintln(w, "  "+line.String()); err != nil {
				return err
			}
		}
	}
	_, err := fmt.Fprintf(w, "verdict: %s\nclocks: %s\n", e.Verdict, e.Clocks)
	return err
}

// String returns the line as text, with its fields in order of their names.
func (l logLine) String() string {
	text := l.Time.Format(timeFormat) + " " + l.Process + " " + l.Message
	for _, name := range slices.Sorted(maps.Keys(l.Fields)) {
		if value := fmt.Sprint(l.Fields[name]); value != "" {
			text += " " + name + "=" + value
		}
	}
	return text
}

func (l logLine) text(name string) string {
	value, _ := l.Fields[name].(string)
	return value
}

func (l logLine) list(name string) []string {
	values, _ := l.Fields[name].([]any)
	var all []string
	for _, value := range values {
		all = append(all, fmt.Sprint(value))
	}
	return all
}
