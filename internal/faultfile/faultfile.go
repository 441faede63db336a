// Package faultfile reads a file that lists which system calls must fail in a testbed build of the relay. The testbed rewrites
// the file while the relay runs. Production builds do not link this package.
//
// Each line is a rule:
//
//	CALL ERRNO EVERY [REACH]   every EVERY-th call fails: accept ENFILE 9, write EIO 1 part
//	wall SECONDS               the wall clock is off by this number of seconds
//	short N                    a single read or write of a socket transfers at most N bytes
package faultfile

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Env is the environment variable with the path of the fault file.
const Env = "IVYGAUGE_TESTBED_FAULTS"

// pollInterval is the minimum time between two reads of the file.
const pollInterval = 20 * time.Millisecond

// Errnos maps the error names allowed in rules to their numbers.
var Errnos = map[string]syscall.Errno{
	"ECONNABORTED": syscall.ECONNABORTED, "ENFILE": syscall.ENFILE, "EMFILE": syscall.EMFILE, "ENOBUFS": syscall.ENOBUFS,
	"ENOMEM": syscall.ENOMEM, "EADDRNOTAVAIL": syscall.EADDRNOTAVAIL, "ENETUNREACH": syscall.ENETUNREACH, "EINTR": syscall.EINTR,
	"ETIMEDOUT": syscall.ETIMEDOUT, "EHOSTUNREACH": syscall.EHOSTUNREACH, "ECONNRESET": syscall.ECONNRESET, "ENOSPC": syscall.ENOSPC,
	"EIO": syscall.EIO, "EAGAIN": syscall.EAGAIN, "EPROTO": syscall.EPROTO, "EPERM": syscall.EPERM,
}

// Rule makes calls of one kind fail.
type Rule struct {
	Call  string
	Errno syscall.Errno
	Every int    // only every Every-th call fails; 1: all
	Reach string // how much of its effect a failing disk operation still has: "" (none), "part" or "all"
}

// Rules is the content of a fault file.
type Rules struct {
	WallSeconds int64 // offset of the wall clock in seconds
	MaxIO       int   // most bytes that a single read or write of a socket transfers; 0: no limit
	Rules       []Rule
}

// Parse parses rules. It skips lines that are not rules. The error is that of the last line; errors of earlier lines are not
// returned.
func Parse(text string) (r Rules, err error) {
	for line := range strings.Lines(text) {
		words := strings.Fields(line)
		if len(words) == 0 {
			continue
		}
		var number int64
		switch {
		case len(words) == 2 && words[0] == "wall":
			number, err = strconv.ParseInt(words[1], 10, 64)
			r.WallSeconds = number
		case len(words) == 2 && words[0] == "short":
			r.MaxIO, err = strconv.Atoi(words[1])
		case len(words) >= 3 && Errnos[words[1]] != 0:
			rule := Rule{Call: words[0], Errno: Errnos[words[1]]}
			if rule.Every, err = strconv.Atoi(words[2]); len(words) > 3 {
				rule.Reach = words[3]
			}
			r.Rules = append(r.Rules, rule)
		default:
			err = fmt.Errorf("faultfile: invalid rule %q", strings.TrimSpace(line))
		}
	}
	return r, err
}

// File is a fault file, which is read again regularly.
type File struct {
	path string

	mu     sync.Mutex
	readAt time.Time
	rules  Rules
	calls  map[string]int
}

// FromEnv returns the file that the environment variable Env names, or nil if it is not set.
var FromEnv = sync.OnceValue(func() *File {
	if path := os.Getenv(Env); path != "" {
		return &File{path: path, calls: map[string]int{}}
	}
	return nil
})

// Current returns the current rules.
func (f *File) Current() Rules {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.reload()
}

func (f *File) reload() Rules {
	if now := time.Now(); f.readAt.IsZero() || now.Sub(f.readAt) >= pollInterval {
		f.readAt = now
		if text, err := os.ReadFile(f.path); err == nil {
			f.rules, _ = Parse(string(text))
		}
	}
	return f.rules
}

// Next counts a call and returns the rule by which it fails, or the zero Rule if it does not.
func (f *File) Next(call string) Rule {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, rule := range f.reload().Rules {
		if rule.Call != call {
			continue
		}
		f.calls[call]++
		if f.calls[call]%max(1, rule.Every) == 0 {
			return rule
		}
	}
	return Rule{}
}
