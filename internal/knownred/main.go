// Command knownred runs "go test" over packages and keeps the tests that KNOWN-RED.txt lists out of the
// verdict.
//
// A listed test fails because of a known fault with an open issue. The packages without such a test run
// first, then each package that has some without them; these runs decide the exit code. At last each
// listed test runs alone and its outcome is printed. In the file the line "test: PACKAGE NAME" names a
// test; the other lines of an entry are for people.
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

// usageCode is the exit code for a list or a package pattern that can't be read.
const usageCode = 2

// redTests maps a package's import path to the names of its listed tests.
type redTests map[string][]string

func main() {
	file := flag.String("file", "KNOWN-RED.txt", "list of tests that fail because of a known fault")
	flag.Parse()
	patterns, flags := split(flag.Args())
	red, err := readList(*file)
	if err != nil {
		fail(err)
	}
	packages, err := list(patterns)
	if err != nil {
		fail(err)
	}
	code := runAll(packages, red, flags)
	for pkg, names := range red {
		printAlone(pkg, names, flags)
	}
	os.Exit(code)
}

func fail(err error) {
	fmt.Fprintln(os.Stderr, "knownred:", err)
	os.Exit(usageCode)
}

func split(args []string) (patterns, flags []string) {
	at := slices.Index(args, "--")
	if at < 0 {
		return args, nil
	}
	return args[:at], args[at+1:]
}

func readList(path string) (redTests, error) {
	file, err := os.Open(path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }()
	red := make(redTests)
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		entry, ok := strings.CutPrefix(lines.Text(), "test: ")
		if !ok {
			continue
		}
		pattern, name, ok := strings.Cut(strings.TrimSpace(entry), " ")
		if !ok {
			return nil, fmt.Errorf("%s: %q is not \"test: PACKAGE NAME\"", path, lines.Text())
		}
		packages, err := list([]string{pattern})
		if err != nil || len(packages) != 1 {
			return nil, fmt.Errorf("%s: %q is not one package", path, pattern)
		}
		red[packages[0]] = append(red[packages[0]], name)
	}
	return red, lines.Err()
}

// list returns the import paths of the packages that match.
func list(patterns []string) ([]string, error) {
	output, err := exec.Command("go", append([]string{"list"}, patterns...)...).Output()
	if err != nil {
		return nil, fmt.Errorf("go list %s: %w", strings.Join(patterns, " "), err)
	}
	return strings.Fields(string(output)), nil
}

func runAll(packages []string, red redTests, flags []string) int {
	var clean []string
	for _, pkg := range packages {
		if len(red[pkg]) == 0 {
			clean = append(clean, pkg)
		}
	}
	code := goTest(flags, clean)
	for pkg, names := range red {
		skip := append([]string{"-skip", "^(" + strings.Join(names, "|") + ")$"}, flags...)
		code = max(code, goTest(skip, []string{pkg}))
	}
	return code
}

func printAlone(pkg string, names, flags []string) {
	for _, name := range names {
		fmt.Printf("known red, does not decide the verdict: %s %s\n", pkg, name)
		if goTest(append([]string{"-run", "^" + name + "$"}, flags...), []string{pkg}) == 0 {
			fmt.Printf("known red, but it passed in this run: %s %s\n", pkg, name)
		}
	}
}

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
