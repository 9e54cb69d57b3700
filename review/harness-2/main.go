// Command review2 runs one case of the second review: review2 CASE FOLDER, from the
// repository's root. It writes record.txt into the folder, and exits with 1 if the rule was
// broken, 0 if it held and 2 if the case couldn't run. With TROUBLE=0 in the environment it
// does the same without the disruption.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// recorder writes record.txt.
type recorder struct {
	mutex   sync.Mutex
	file    *os.File
	started time.Time
}

func (r *recorder) note(format string, values ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, values...))
}

// runCase runs a case on a deployment and reports whether the rule was broken.
type runCase func(d *deployment, trouble bool) (broken bool, err error)

var cases = map[string]runCase{
	"garble": runGarble,
	"poison": runPoison,
	"path":   runPath,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review2 CASE FOLDER")
		return 2
	}
	file, err := os.Create(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer func() { _ = file.Close() }()
	record := &recorder{file: file, started: time.Now()}
	d, err := newDeployment(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer d.close()
	broken, err := cases[os.Args[1]](d, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		record.note("the case couldn't run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return 2
	case broken:
		record.note("the rule was broken")
		fmt.Println("the rule was broken")
		return 1
	default:
		record.note("the rule held")
		fmt.Println("the rule held")
		return 0
	}
}
