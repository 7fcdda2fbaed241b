package command

import (
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/medlarlatch/medlarlatch/pkg/verdict"
)

// page returns the text of a file below docs.
func page(t *testing.T, name string) string {
	text, err := os.ReadFile(filepath.Join("../../docs", name))
	is.New(t).NoErr(err)
	return string(text)
}

// TestReasonsAreExplained guards against a reason code that the operators' page does not explain, and against one on
// the page that no longer exists.
func TestReasonsAreExplained(t *testing.T) {
	codes, _, _ := strings.Cut(page(t, "operators/reasons.md"), "## Log lines")
	explained := make(map[string]bool)
	for _, row := range regexp.MustCompile("(?m)^\\| `([a-z-]+)` \\| [^|]+ \\| [^|]+ \\|$").FindAllStringSubmatch(codes, -1) {
		explained[row[1]] = true
	}
	for _, reason := range verdict.Reasons() {
		if !explained[reason.String()] {
			t.Errorf("docs/operators/reasons.md does not explain %s", reason)
		}
	}
	is.New(t).Equal(len(explained), len(verdict.Reasons()))
}

// TestLogLinesAreExplained guards against a log event that the operators' page does not explain.
func TestLogLinesAreExplained(t *testing.T) {
	explained := page(t, "operators/reasons.md")
	files, err := filepath.Glob("../*/*.go")
	is.New(t).NoErr(err)
	adapter, err := filepath.Glob("../../platform/*.go")
	is.New(t).NoErr(err)
	files = append(files, adapter...)
	found := 0
	for _, file := range files {
		text, err := os.ReadFile(file)
		is.New(t).NoErr(err)
		for _, call := range regexp.MustCompile(`klog\.(?:InfoS\(|ErrorS\([^,]+, )"([^"]+)"`).FindAllStringSubmatch(string(text), -1) {
			found++
			if !strings.Contains(explained, "| `"+call[1]+"` |") {
				t.Errorf("%s: docs/operators/reasons.md does not explain the line %q", file, call[1])
			}
		}
	}
	is.New(t).True(found > 5)
}

// TestExitCodesAreExplained guards against an exit code whose meaning differs between the program and the pages.
func TestExitCodesAreExplained(t *testing.T) {
	text := page(t, "operators/README.md")
	for _, line := range exitCodes {
		if !strings.Contains(text, fmt.Sprintf("\n| %d | %s |\n", line.code, line.meaning)) {
			t.Errorf("docs/operators/README.md does not explain exit code %d: %s", line.code, line.meaning)
		}
	}
}

// TestPackagesAreDescribed guards against a package comment of fewer than three sentences. It has to say what the
// package does, who owns its state and what it never does.
func TestPackagesAreDescribed(t *testing.T) {
	sentenceCounts := make(map[string]int)
	comment := regexp.MustCompile(`(?m)((?:^//.*\n)+)^package `)
	for _, pattern := range []string{"cmd/*/*.go", "pkg/*/*.go", "internal/*/*.go", "internal/standin/*/*.go", "platform/*.go"} {
		files, err := filepath.Glob("../../" + pattern)
		is.New(t).NoErr(err)
		for _, file := range files {
			directory := filepath.Dir(file)
			sentenceCounts[directory] += 0
			text, err := os.ReadFile(file)
			is.New(t).NoErr(err)
			if found := comment.FindSubmatch(text); found != nil && !strings.Contains(string(found[1]), "Code generated") {
				sentenceCounts[directory] += len(regexp.MustCompile(`[.!?](\s|$)`).FindAll(found[1], -1))
			}
		}
	}
	is.New(t).True(len(sentenceCounts) > 25)
	for directory, sentences := range sentenceCounts {
		if sentences < 3 {
			t.Errorf("%s: the package comment has %d sentences, want at least 3", directory, sentences)
		}
	}
}
