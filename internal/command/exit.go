package command

import (
	"errors"
	"fmt"
	"io"

	"github.com/medlarlatch/medlarlatch/internal/configuration"
	"github.com/medlarlatch/medlarlatch/internal/document"
	"github.com/medlarlatch/medlarlatch/pkg/verdict"
)

// exitCode is what the program returns to its caller.
type exitCode int

const (
	exitDone exitCode = iota
	exitFailed
	exitUsage
	exitInvalid
	exitConflict
	exitUnknownOutcome
	exitNotEverywhere
	exitPlatform
	exitNotRun
	exitMayHaveRun
	exitDiffers
)

// exitCodes is the one table of exit codes; the help and the operators' pages are made from it.
var exitCodes = []struct {
	code    exitCode
	meaning string
}{
	{exitDone, "done; a change was accepted"},
	{exitFailed, "failed for another reason; nothing was changed"},
	{exitUsage, "the command line is wrong; nothing was changed"},
	{exitInvalid, "the settings or the catalogue have faults; nothing was changed"},
	{exitConflict, "conflict: another write came first; nothing was changed"},
	{exitUnknownOutcome, "unknown outcome: the change may or may not have taken effect"},
	{exitNotEverywhere, "the change was accepted, but some entry instances did not confirm it in time"},
	{exitPlatform, "the platform or an entry instance cannot be reached; nothing was changed"},
	{exitNotRun, "query refused, not run"},
	{exitMayHaveRun, "query failed, it may have run or has run"},
	{exitDiffers, "diff: the catalogues differ"},
}

// codedError is an error with its exit code.
type codedError struct {
	code exitCode
	text string
}

// Error implements error.
func (e *codedError) Error() string {
	return e.text
}

func coded(code exitCode, format string, arguments ...any) error {
	return &codedError{code, fmt.Sprintf(format, arguments...)}
}

func usageError(format string, arguments ...any) error {
	return coded(exitUsage, format, arguments...)
}

func codeOf(err error) exitCode {
	if known, ok := errors.AsType[*codedError](err); ok {
		return known.code
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
		return exitPlatform
	}
	return exitFailed
}

func printExitCodes(output io.Writer) {
	for _, line := range exitCodes {
		fmt.Fprintf(output, "%3d  %s\n", line.code, line.meaning)
	}
}
