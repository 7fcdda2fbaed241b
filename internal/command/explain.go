package command

import (
	"bufio"
	"cmp"
	"context"
	"fmt"
	"regexp"
	"slices"
	"strings"
	"time"
)

var explainVerb = verb{
	name:      "explain",
	summary:   "prints what happened to a request, and what each entry instance believed then, from their logs",
	arguments: "ID FILE...",
	example:   "medlarlatch explain 9c41d07be2a35f68 entry-1.log entry-2.log",
	options:   func() runner { return &explainOptions{} },
}

type explainOptions struct {
	Around time.Duration `long:"around" value-name:"TIME" default:"5s" description:"print changes of state up to so long before the request's lines"`
}

// logLine is a parsed line of a log in klog format. The event is the quoted text at the start of the message.
type logLine struct {
	file    string
	at      time.Time
	event   string
	message string
}

// klogLinePattern matches a line in klog format and captures its date and time, its message and its event. It is not
// anchored at the start, because a log collector may add a prefix.
var klogLinePattern = regexp.MustCompile(`[IWE](\d{4} \d{2}:\d{2}:\d{2}\.\d{6})\s+\d+ [\w.]+:\d+\] ("([^"]*)".*)$`)

// requestEvent is the event of the log line of a request. All other events are taken as changes of state.
const requestEvent = "Request"

func (e *explainOptions) run(_ context.Context, environment Environment, arguments []string) error {
	if len(arguments) < 2 {
		return usageError("explain takes the id of a request and the log files of the entry instances")
	}
	id, files := arguments[0], arguments[1:]
	var lines []logLine
	unparsed := 0
	for _, file := range files {
		text, err := environment.ReadFile(file)
		if err != nil {
			return err
		}
		parsed, skipped := readLog(file, string(text))
		lines = append(lines, parsed...)
		unparsed += skipped
	}
	slices.SortStableFunc(lines, func(a, b logLine) int { return a.at.Compare(b.at) })
	found := e.print(environment, id, lines)
	if unparsed > 0 {
		fmt.Fprintf(environment.ErrorOutput, "%d log lines could not be parsed\n", unparsed)
	}
	if !found {
		return fmt.Errorf("no log line of request %s in %s; it may have been dropped under load, see the event \"Log lines dropped\"",
			id, strings.Join(files, ", "))
	}
	return nil
}

// readLog parses the lines of one log. unparsed is the number of lines that could not be parsed. Reading stops at a
// line longer than 1 MiB, which counts as one.
func readLog(file, text string) (lines []logLine, unparsed int) {
	scanner := bufio.NewScanner(strings.NewReader(text))
	scanner.Buffer(nil, 1<<20)
	for scanner.Scan() {
		match := klogLinePattern.FindStringSubmatch(scanner.Text())
		if match == nil {
			unparsed++
			continue
		}
		at, err := time.Parse("0102 15:04:05.000000", match[1])
		if err != nil {
			unparsed++
			continue
		}
		lines = append(lines, logLine{file, at, match[3], match[2]})
	}
	if scanner.Err() != nil {
		unparsed++
	}
	return lines, unparsed
}

// print writes the log lines of the request, all changes of state between the first and the last of them, and for each
// log the last line of each event before them. It reports whether there is any line of the request.
func (e *explainOptions) print(environment Environment, id string, lines []logLine) bool {
	idField := `id="` + id + `"`
	var requestLines []logLine
	for _, line := range lines {
		if line.event == requestEvent && strings.Contains(line.message, idField) {
			requestLines = append(requestLines, line)
		}
	}
	if len(requestLines) == 0 {
		return false
	}
	first, last := requestLines[0].at, requestLines[len(requestLines)-1].at
	var shown []logLine
	for _, line := range latestStates(lines, first) {
		if line.at.Before(first.Add(-e.Around)) {
			line.message += " (in force since then)"
		}
		shown = append(shown, line)
	}
	for _, line := range lines {
		if line.event != requestEvent && !line.at.Before(first) && !line.at.After(last) {
			shown = append(shown, line)
		}
	}
	shown = append(shown, requestLines...)
	slices.SortStableFunc(shown, func(a, b logLine) int {
		return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.file, b.file))
	})
	for _, line := range shown {
		fmt.Fprintf(environment.Output, "%s %s %s\n", line.at.Format("15:04:05.000000"), line.file, line.message)
	}
	return true
}

// latestStates returns, for each log, the last line of each event other than requestEvent before the given time, in no
// particular order.
func latestStates(lines []logLine, before time.Time) []logLine {
	type key struct{ file, event string }
	latest := make(map[key]logLine)
	for _, line := range lines {
		if line.event != requestEvent && line.at.Before(before) {
			latest[key{line.file, line.event}] = line
		}
	}
	states := make([]logLine, 0, len(latest))
	for _, line := range latest {
		states = append(states, line)
	}
	return states
}
