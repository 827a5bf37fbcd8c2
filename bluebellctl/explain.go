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
	// maxLineBytes is the maximum length of a log line.
	maxLineBytes = 1 << 20
	// contextWindow is how far before the first log line of a call state changes of the involved processes are shown.
	contextWindow = 10 * time.Second
	// timeFormat is the time of day with a resolution of 0.1 ms, which is enough to order the log lines of one VM.
	timeFormat = "15:04:05.0000"
)

// stateMessages are the log messages that report a change in the state of a process, or in its view of other processes or of
// the configuration. They must match the texts of the log calls.
var stateMessages = []string{
	"starting", "stopping", "stopped", "settings reloaded", "upstream announced", "upstream leaves", "upstream refuses connections",
	"announcement lapsed", "snapshot in effect", "session ended", "connected", "member is dead", "member is suspect",
	"member changed state", "control loop stalled", "role changed", "change", "log lines dropped", "update rejected",
	"configuration not proven, calls that need a key are refused", "configuration proven again",
}

// logLine is one log line of a process.
type logLine struct {
	Time      time.Time      `json:"time"`
	Process   string         `json:"process"`
	Component string         `json:"part"`
	Message   string         `json:"message"`
	Fields    map[string]any `json:"fields"`
}

// explanation is the path of one call or change through the processes.
type explanation struct {
	ID      string    `json:"id"`
	Lines   []logLine `json:"lines"`   // of the call itself and of its nested calls
	Context []logLine `json:"context"` // state changes of the involved processes, from shortly before the call until its end
	Summary string    `json:"verdict"`
	Clocks  string    `json:"clocks"` // how reliable the order of the lines is
}

func (p *program) explain() *ff.Command {
	flags := ff.NewFlagSet("explain").SetParent(p.flags)
	asJSON := flags.BoolLong("json", "print JSON")
	return &ff.Command{
		Name:      "explain",
		Usage:     "bluebellctl explain [FLAGS] ID LOG [LOG ...]",
		ShortHelp: "trace a call or change through the logs of several VMs",
		Flags:     flags,
		Exec: func(_ context.Context, args []string) error {
			if len(args) < 2 {
				return fmt.Errorf("%w: an id and at least one log file are required", errUsage)
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

// readLog returns the lines of a log file. It ignores any text before the JSON object of a line and lines without one, because
// log collectors add such text.
func readLog(path string) ([]logLine, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("%w: %v", errUsage, err)
	}
	defer file.Close()
	var lines []logLine
	scanner := bufio.NewScanner(file)
	scanner.Buffer(nil, maxLineBytes)
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

// parseLine parses a log line. It reports false if the line has no valid JSON object, timestamp or message.
func parseLine(data []byte) (logLine, bool) {
	start := strings.IndexByte(string(data), '{')
	if start < 0 {
		return logLine{}, false
	}
	var fields map[string]any
	if err := json.Unmarshal(data[start:], &fields); err != nil {
		return logLine{}, false
	}
	takeString := func(name string) string {
		value, _ := fields[name].(string)
		delete(fields, name)
		return value
	}
	line := logLine{Message: takeString("@message"), Fields: fields}
	line.Process, line.Component, _ = strings.Cut(takeString("@module"), ".")
	at, err := time.Parse(time.RFC3339Nano, takeString("@timestamp"))
	delete(fields, "@level")
	line.Time = at
	return line, err == nil && line.Message != ""
}

// explain collects the log lines of the call or change with the given id, and of its nested calls. The id of a nested call is
// the id of its parent, a dot and a suffix.
func explain(id string, all []logLine) (explanation, error) {
	e := explanation{ID: id}
	slices.SortStableFunc(all, func(a, b logLine) int { return a.Time.Compare(b.Time) })
	involved := map[string]bool{}
	for _, line := range all {
		lineID := line.stringField("id")
		if lineID != id && !strings.HasPrefix(lineID, id+".") {
			continue
		}
		e.Lines = append(e.Lines, line)
		involved[line.Process] = true
		for _, member := range line.stringList("asked") {
			involved[member] = true
		}
	}
	if len(e.Lines) == 0 {
		return e, fmt.Errorf("%w: no log line has id %q; calls that succeed at the first attempt are only sampled", errNotFound, id)
	}
	from, to := e.Lines[0].Time.Add(-contextWindow), e.Lines[len(e.Lines)-1].Time
	for _, line := range all {
		inTime := !line.Time.Before(from) && !line.Time.After(to)
		if inTime && involved[line.Process] && slices.Contains(stateMessages, line.Message) {
			e.Context = append(e.Context, line)
		}
	}
	e.Summary, e.Clocks = summarize(id, e.Lines), clockNote(e)
	return e, nil
}

// summarize describes the outcome of the call or change, according to its last log line that is not about a single attempt.
func summarize(id string, lines []logLine) string {
	var last logLine
	for _, line := range lines {
		if line.stringField("id") == id && line.Message != "attempt" {
			last = line
		}
	}
	if last.Message == "" {
		return "these logs contain only nested calls of this call"
	}
	if last.Message == "change" || last.Message == "change refused" {
		return "the change ended with code " + cmp.Or(last.stringField("code"), "accepted") + reasonSuffix(last.stringField("reason"))
	}
	status := fmt.Sprint(last.Fields["status"])
	switch {
	case last.stringField("outcome") == "answered" || strings.HasPrefix(status, "2"):
		return "the upstream of " + lastVM(last.stringList("asked")) + " answered with status " + status
	case last.stringField("outcome") == "not-run" || last.Message == "call refused":
		return "refused with status " + status + "; the call did not run" + reasonSuffix(last.stringField("reason")) + keyNote(last)
	case last.stringField("again") != "":
		return "unknown whether it ran" + reasonSuffix(last.stringField("reason")) + "; not sent again: " + last.stringField("again")
	}
	return "ended with status " + status + reasonSuffix(last.stringField("reason"))
}

// keyNote returns what to look for if the call was refused because of its key. Logs contain no keys.
func keyNote(last logLine) string {
	inForce := fmt.Sprintf("version %v", last.Fields["version"])
	if revision, ok := last.Fields["revision"]; ok {
		inForce += fmt.Sprintf(" (revision %v)", revision)
	}
	switch last.stringField("reason") {
	case "the call needs a key":
		return "; the route was not public in " + inForce + " and the call had no header \"Authorization: Token KEY\""
	case "unknown key":
		return "; no tenant had the key in " + inForce + ", which was proven to be the newest: compare the time of the change that removed it"
	case "the configuration is not proven to be current":
		return "; the daemon had " + inForce + " and no controller with a majority had confirmed lately that it is the newest: " +
			"look for \"session ended\" and \"update rejected\" before"
	}
	return ""
}

// reasonSuffix returns the reason with a colon in front, or an empty string if there is none.
func reasonSuffix(reason string) string {
	if reason == "" {
		return ""
	}
	return ": " + reason
}

// lastVM returns the last VM that was asked.
func lastVM(list []string) string {
	if len(list) == 0 {
		return "an unknown VM"
	}
	return list[len(list)-1]
}

// clockNote describes how reliable the order of the lines is.
func clockNote(e explanation) string {
	processes := map[string]bool{}
	for _, line := range slices.Concat(e.Lines, e.Context) {
		processes[line.Process] = true
	}
	if len(processes) < 2 {
		return "all lines are from one VM, so their order is exact"
	}
	return fmt.Sprintf("lines are from %d VMs with separate clocks; the order of lines from different VMs may be wrong by the clock difference", len(processes))
}

func (e explanation) print(w io.Writer) error {
	for _, section := range []struct {
		title string
		lines []logLine
	}{{fmt.Sprintf("state changes, from %v before the call until its end", contextWindow), e.Context}, {"log lines of " + e.ID, e.Lines}} {
		if _, err := fmt.Fprintln(w, section.title); err != nil {
			return err
		}
		for _, line := range section.lines {
			if _, err := fmt.Fprintln(w, "  "+line.String()); err != nil {
				return err
			}
		}
	}
	_, err := fmt.Fprintf(w, "verdict: %s\nclocks: %s\n", e.Summary, e.Clocks)
	return err
}

// String returns the line as text, with its fields sorted by name.
func (l logLine) String() string {
	text := l.Time.Format(timeFormat) + " " + l.Process + " " + l.Message
	for _, name := range slices.Sorted(maps.Keys(l.Fields)) {
		if value := fmt.Sprint(l.Fields[name]); value != "" {
			text += " " + name + "=" + value
		}
	}
	return text
}

func (l logLine) stringField(name string) string {
	value, _ := l.Fields[name].(string)
	return value
}

func (l logLine) stringList(name string) []string {
	values, _ := l.Fields[name].([]any)
	var all []string
	for _, value := range values {
		all = append(all, fmt.Sprint(value))
	}
	return all
}
