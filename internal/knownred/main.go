// Command knownred runs "go test" over packages without letting the tests that KNOWN-RED.txt lists affect the exit
// code.
//
// A listed test fails because of a known defect with an open issue. The packages without a listed test run first, then
// each package that has listed tests, with these skipped; these runs determine the exit code. Last, each listed test
// runs alone and its result is printed. In the file, a line "test: PACKAGE NAME" names a test; the other lines of an
// entry are for human readers.
//
// Usage: knownred [-file KNOWN-RED.txt] PACKAGES -- GO-TEST-FLAGS
package main

import (
	"bufio"
	"errors"
	"flag"
	"fmt"
	"io/fs"
	"os"
	"os/exec"
	"slices"
	"strings"
)

// exitUsage is the exit code when the list or a package pattern cannot be read.
const exitUsage = 2

// knownFailures maps a package's import path to the names of its listed tests.
type knownFailures map[string][]string

func main() {
	file := flag.String("file", "KNOWN-RED.txt", "list of tests that fail because of a known defect")
	flag.Parse()
	patterns, flags := splitArgs(flag.Args())
	listed, err := readList(*file)
	if err != nil {
		exitWithError(err)
	}
	packages, err := listPackages(patterns)
	if err != nil {
		exitWithError(err)
	}
	code := runUnlisted(packages, listed, flags)
	for pkg, names := range listed {
		runListed(pkg, names, flags)
	}
	os.Exit(code)
}

func exitWithError(err error) {
	fmt.Fprintln(os.Stderr, "knownred:", err)
	os.Exit(exitUsage)
}

// splitArgs splits the arguments at "--" into package patterns and flags of go test.
func splitArgs(args []string) (patterns, flags []string) {
	at := slices.Index(args, "--")
	if at < 0 {
		return args, nil
	}
	return args[:at], args[at+1:]
}

// readList reads the list of known failures. A file that does not exist is an empty list.
func readList(path string) (knownFailures, error) {
	file, err := os.Open(path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }()
	listed := make(knownFailures)
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		entry, ok := strings.CutPrefix(lines.Text(), "test: ")
		if !ok {
			continue
		}
		pattern, name, ok := strings.Cut(strings.TrimSpace(entry), " ")
		if !ok {
			return nil, fmt.Errorf("%s: line %q does not have the form \"test: PACKAGE NAME\"", path, lines.Text())
		}
		packages, err := listPackages([]string{pattern})
		if err != nil || len(packages) != 1 {
			return nil, fmt.Errorf("%s: %q does not match exactly one package", path, pattern)
		}
		listed[packages[0]] = append(listed[packages[0]], name)
	}
	return listed, lines.Err()
}

// listPackages returns the import paths of the packages that match the patterns.
func listPackages(patterns []string) ([]string, error) {
	output, err := exec.Command("go", append([]string{"list"}, patterns...)...).Output()
	if err != nil {
		return nil, fmt.Errorf("go list %s: %w", strings.Join(patterns, " "), err)
	}
	return strings.Fields(string(output)), nil
}

// runUnlisted runs all tests that are not listed and returns the largest exit code.
func runUnlisted(packages []string, listed knownFailures, flags []string) int {
	var unlisted []string
	for _, pkg := range packages {
		if len(listed[pkg]) == 0 {
			unlisted = append(unlisted, pkg)
		}
	}
	code := goTest(flags, unlisted)
	for pkg, names := range listed {
		skip := append([]string{"-skip", "^(" + strings.Join(names, "|") + ")$"}, flags...)
		code = max(code, goTest(skip, []string{pkg}))
	}
	return code
}

// runListed runs each listed test of a package alone and prints whether it has started to pass.
func runListed(pkg string, names, flags []string) {
	for _, name := range names {
		fmt.Printf("known failure, does not affect the exit code: %s %s\n", pkg, name)
		if goTest(append([]string{"-run", "^" + name + "$"}, flags...), []string{pkg}) == 0 {
			fmt.Printf("known failure, but it passed in this run: %s %s\n", pkg, name)
		}
	}
}

// goTest runs go test and returns its exit code, or 1 if it could not be run.
func goTest(flags, packages []string) int {
	command := exec.Command("go", slices.Concat([]string{"test"}, flags, packages)...)
	command.Stdout = os.Stdout
	command.Stderr = os.Stderr
	err := command.Run()
	if exit, ok := errors.AsType[*exec.ExitError](err); ok {
		return exit.ExitCode()
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "knownred:", err)
		return 1
	}
	return 0
}
