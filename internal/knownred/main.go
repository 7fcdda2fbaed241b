// Command knownred runs "go test" and lets the tests pass that KNOWN-RED.txt lists.
//
// A listed test fails because of a known fault with an open issue. The command first runs everything
// else, whose verdict is the exit code, and then each listed test on its own, whose outcome it prints.
// An entry of the file is a block of lines; the line "test: PACKAGE NAME" names the test.
package main

import (
	"bufio"
	"errors"
	"flag"
	"fmt"
	"io/fs"
	"os"
	"os/exec"
	"strings"
)

type redTest struct {
	pkg  string
	name string
}

func main() {
	file := flag.String("file", "KNOWN-RED.txt", "list of tests that fail because of a known fault")
	flag.Parse()
	red, err := readList(*file)
	if err != nil {
		fmt.Fprintln(os.Stderr, "knownred:", err)
		os.Exit(2)
	}
	code := run(withSkip(flag.Args(), red))
	for _, test := range red {
		fmt.Printf("known red: %s %s (does not decide the verdict)\n", test.pkg, test.name)
		run([]string{"go", "test", "-count=1", "-run", "^" + test.name + "$", test.pkg})
	}
	os.Exit(code)
}

func readList(path string) ([]redTest, error) {
	file, err := os.Open(path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }()
	var red []redTest
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		entry, ok := strings.CutPrefix(lines.Text(), "test: ")
		if !ok {
			continue
		}
		pkg, name, ok := strings.Cut(strings.TrimSpace(entry), " ")
		if !ok {
			return nil, fmt.Errorf("%s: %q is not \"test: PACKAGE NAME\"", path, lines.Text())
		}
		red = append(red, redTest{pkg: pkg, name: name})
	}
	return red, lines.Err()
}

func withSkip(args []string, red []redTest) []string {
	if len(red) == 0 {
		return args
	}
	names := make([]string, 0, len(red))
	for _, test := range red {
		names = append(names, "^"+test.name+"$")
	}
	return append(args[:len(args):len(args)], "-skip", strings.Join(names, "|"))
}

func run(args []string) int {
	command := exec.Command(args[0], args[1:]...)
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
