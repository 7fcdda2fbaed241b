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

// logLine is one line of a log, in the format of klog.
type logLine struct {
	file    string
	at      time.Time
	event   string
	message string
}

// klogLine matches a line with its day and time, and the name of its event. A program that collects the lines may put
// something before them.
var klogLine = regexp.MustCompile(`[IWE](\d{4} \d{2}:\d{2}:\d{2}\.\d{6})\s+\d+ [\w.]+:\d+\] ("([^"]*)".*)$`)

// requestEvent is the event of the lines about requests; all others are changes of state.
const requestEvent = "Request"

func (e *explainOptions) run(_ context.Context, environment Environment, arguments []string) error {
	if len(arguments) < 2 {
		return usageError("explain takes the id of a request and the log files of the entry instances")
	}
	id, files := arguments[0], arguments[1:]
	var lines []logLine
	bad := 0
	for _, file := range files {
		text, err := environment.ReadFile(file)
		if err != nil {
			return err
		}
		read, skipped := readLog(file, string(text))
		lines = append(lines, read...)
		bad += skipped
	}
	slices.SortStableFunc(lines, func(a, b logLine) int { return a.at.Compare(b.at) })
	found := e.print(environment, id, lines)
	if bad > 0 {
		fmt.Fprintf(environment.Errors, "%d lines could not be read\n", bad)
	}
	if !found {
		return fmt.Errorf("no line of request %s in %s; its line may have been left out under load, see Log lines dropped",
			id, strings.Join(files, ", "))
	}
	return nil
}

// readLog takes the lines of one log. Lines of another format are counted.
func readLog(file, text string) (lines []logLine, bad int) {
	scanner := bufio.NewScanner(strings.NewReader(text))
	scanner.Buffer(nil, 1<<20)
	for scanner.Scan() {
		match := klogLine.FindStringSubmatch(scanner.Text())
		if match == nil {
			bad++
			continue
		}
		at, err := time.Parse("0102 15:04:05.000000", match[1])
		if err != nil {
			bad++
			continue
		}
		lines = append(lines, logLine{file, at, match[3], match[2]})
	}
	if scanner.Err() != nil {
		bad++
	}
	return lines, bad
}

// print writes the request's lines, and for each log the last line of every kind of change before them.
func (e *explainOptions) print(environment Environment, id string, lines []logLine) bool {
	wanted := `id="` + id + `"`
	var mine []logLine
	for _, line := range lines {
		if line.event == requestEvent && strings.Contains(line.message, wanted) {
			mine = append(mine, line)
		}
	}
	if len(mine) == 0 {
		return false
	}
	first, last := mine[0].at, mine[len(mine)-1].at
	var shown []logLine
	for _, line := range beliefs(lines, first) {
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
	shown = append(shown, mine...)
	slices.SortStableFunc(shown, func(a, b logLine) int {
		return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.file, b.file))
	})
	for _, line := range shown {
		fmt.Fprintf(environment.Output, "%s %s %s\n", line.at.Format("15:04:05.000000"), line.file, line.message)
	}
	return true
}

// beliefs returns, for each log, the last line of each kind of change before a moment.
func beliefs(lines []logLine, before time.Time) []logLine {
	type kind struct{ file, event string }
	latest := make(map[kind]logLine)
	for _, line := range lines {
		if line.event != requestEvent && line.at.Before(before) {
			latest[kind{line.file, line.event}] = line
		}
	}
	all := make([]logLine, 0, len(latest))
	for _, line := range latest {
		all = append(all, line)
	}
	return all
}
