package command

import (
	"errors"
	"fmt"
	"io"

	"github.com/medlarlatch/medlarlatch/internal/configuration"
	"github.com/medlarlatch/medlarlatch/internal/document"
	"github.com/medlarlatch/medlarlatch/pkg/verdict"
)

// exitCode is the exit status of the program.
type exitCode int

const (
	exitDone exitCode = iota
	exitFailed
	exitUsage
	exitInvalid
	exitConflict
	exitUnknownOutcome
	exitUnconfirmed
	exitUnreachable
	exitNotRun
	exitMayHaveRun
	exitDiffers
)

// exitCodes holds the meaning of each exit code. The verb help prints it, and a test compares the operators' pages with
// it.
var exitCodes = []struct {
	code    exitCode
	meaning string
}{
	{exitDone, "done; a change was accepted"},
	{exitFailed, "failed for another reason; nothing was changed"},
	{exitUsage, "the command line is wrong; nothing was changed"},
	{exitInvalid, "the settings, the catalogue or the configuration have faults; nothing was changed"},
	{exitConflict, "conflict: another write came first; nothing was changed"},
	{exitUnknownOutcome, "unknown outcome: the change may or may not have taken effect"},
	{exitUnconfirmed, "the change was accepted, but some entry instances did not confirm it in time"},
	{exitUnreachable, "the platform or an entry instance cannot be reached; nothing was changed"},
	{exitNotRun, "query refused, not run"},
	{exitMayHaveRun, "query failed, it may have run or has run"},
	{exitDiffers, "diff and check --against: the two differ"},
}

// exitError is an error with the exit code that it leads to. An empty text prints nothing.
type exitError struct {
	code exitCode
	text string
}

// Error implements error.
func (e *exitError) Error() string {
	return e.text
}

func exitErrorf(code exitCode, format string, arguments ...any) error {
	return &exitError{code, fmt.Sprintf(format, arguments...)}
}

func usageError(format string, arguments ...any) error {
	return exitErrorf(exitUsage, format, arguments...)
}

// exitCodeOf returns the exit code for an error that a verb returned.
func exitCodeOf(err error) exitCode {
	if exit, ok := errors.AsType[*exitError](err); ok {
		return exit.code
	}
	if _, ok := errors.AsType[document.Faults](err); ok {
		return exitInvalid
	}
	if _, ok := errors.AsType[*configuration.RejectedError](err); ok {
		return exitConflict
	}
	if _, ok := errors.AsType[*configuration.UnknownOutcomeError](err); ok {
		return exitUnknownOutcome
	}
	if _, ok := errors.AsType[*verdict.Error](err); ok {
		return exitUnreachable
	}
	return exitFailed
}

func printExitCodes(output io.Writer) {
	for _, line := range exitCodes {
		fmt.Fprintf(output, "%3d  %s\n", line.code, line.meaning)
	}
}
