// Package faultfile reads which calls of the system are to fail in a relay that the testbed has built for itself. The testbed
// rewrites the file while the relay runs. No program that serves links it.
//
// A line is a rule:
//
//	CALL ERRNO EVERY [REACH]   every EVERY-th call fails: accept ENFILE 9, write EIO 1 part
//	wall SECONDS               the wall clock is off by so many seconds
//	short N                    reads and writes of sockets move N bytes at most
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

// Env names the variable that names the file.
const Env = "IVYGAUGE_TESTBED_FAULTS"

// pollInterval is how often the file is read.
const pollInterval = 20 * time.Millisecond

// Errnos are the errors that a rule may name.
var Errnos = map[string]syscall.Errno{
	"ECONNABORTED": syscall.ECONNABORTED, "ENFILE": syscall.ENFILE, "EMFILE": syscall.EMFILE, "ENOBUFS": syscall.ENOBUFS,
	"ENOMEM": syscall.ENOMEM, "EADDRNOTAVAIL": syscall.EADDRNOTAVAIL, "ENETUNREACH": syscall.ENETUNREACH, "EINTR": syscall.EINTR,
	"ETIMEDOUT": syscall.ETIMEDOUT, "EHOSTUNREACH": syscall.EHOSTUNREACH, "ECONNRESET": syscall.ECONNRESET, "ENOSPC": syscall.ENOSPC,
	"EIO": syscall.EIO, "EAGAIN": syscall.EAGAIN, "EPROTO": syscall.EPROTO, "EPERM": syscall.EPERM,
}

// Rule has calls of one kind fail.
type Rule struct {
	Call  string
	Errno syscall.Errno
	Every int    // 1: all
	Reach string // how much of its effect a failing call of the disk has: "", "part" or "all"
}

// Rules are what a file says.
type Rules struct {
	WallSeconds int64 // seconds by which the wall clock is off
	MaxIO       int   // bytes that a read or write of a socket moves at most; 0: as many as there are
	Rules       []Rule
}

// Parse reads rules. What it can't read it leaves out, and tells of.
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
			err = fmt.Errorf("faultfile: not a rule: %q", strings.TrimSpace(line))
		}
	}
	return r, err
}

// File is a file of rules that is read again and again.
type File struct {
	path string

	mu     sync.Mutex
	readAt time.Time
	rules  Rules
	calls  map[string]int
}

// FromEnv is the file that the environment names; nil if it names none.
var FromEnv = sync.OnceValue(func() *File {
	if path := os.Getenv(Env); path != "" {
		return &File{path: path, calls: map[string]int{}}
	}
	return nil
})

// Current is what the file says now.
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

// Next counts a call and tells how it fails; the zero Rule: not at all.
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
