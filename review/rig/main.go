// Command rig plays the cases of the review that cannot be put as a day: it starts entry processes as the deploy file
// does, and plays the platform, its store, the replicas, the operator and the requesters on loopback addresses.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// maxRun is the longest time of a run.
const maxRun = 119 * time.Second

func main() {
	cases := map[string]func(){"journal": journalCase, "register": registerCase, "backlog": backlogCase, "peers": peersCase, "window": windowCase}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig CASE FOLDER")
		os.Exit(2)
	}
	var err error
	if folder, err = os.MkdirTemp("", "review"); err != nil {
		os.Exit(2)
	}
	if recordFile, err = os.Create(filepath.Join(os.Args[2], "record.txt")); err != nil {
		os.Exit(2)
	}
	time.AfterFunc(maxRun, func() { fatal(fmt.Errorf("longer than %s", maxRun)) })
	cases[os.Args[1]]()
}
