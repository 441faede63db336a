// Command review2 plays one case of the second review: review2 CASE RECORD, from the repository's root. It ends with 1 if the rule was
// broken, 0 if it held, and 2 if the case could not run. With TROUBLE=0 in the environment it leaves the disruption out.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"sort"
	"strings"
	"syscall"
	"time"
)

// maxTempDir is the longest path of a folder for temporary files under which a relay's socket for hand-overs has a path that the system
// takes.
const maxTempDir = 60

var cases = map[string]func(*rig){}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		var names []string
		for name := range cases {
			names = append(names, name)
		}
		sort.Strings(names)
		fmt.Fprintln(os.Stderr, "usage: review2 CASE RECORD; the cases are", strings.Join(names, ", "))
		os.Exit(2)
	}
	record, err := os.Create(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	root, err := os.Getwd()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	r := &rig{root: root, began: time.Now(), trouble: os.Getenv("TROUBLE") != "0", record: record}
	parent := ""
	if len(os.TempDir()) > maxTempDir {
		parent = "/tmp"
	}
	if r.temp, err = os.MkdirTemp(parent, "review"); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	time.AfterFunc(110*time.Second, func() { r.cannotRun(fmt.Errorf("the case took too long")) })
	ended := make(chan os.Signal, 1)
	signal.Notify(ended, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	go func() { r.cannotRun(fmt.Errorf("ended from outside: %v", <-ended)) }()
	defer func() { // no process is left behind, whatever becomes of the case
		if p := recover(); p != nil {
			r.cannotRun(fmt.Errorf("%v", p))
		}
	}()
	cases[os.Args[1]](r)
	r.stop()
	if len(r.broken) == 0 {
		r.logf("the rule held")
		fmt.Println("the rule held")
		return
	}
	for _, text := range r.broken[:min(len(r.broken), 5)] {
		fmt.Println("BROKEN", text)
	}
	os.Exit(1)
}
