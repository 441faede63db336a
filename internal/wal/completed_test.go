package wal

import (
	"errors"
	"fmt"
	"runtime"
	"testing"
	"time"

	"onyxroad.dev/onyxroad/internal/disk"
	"onyxroad.dev/onyxroad/internal/disk/crashdisk"
)

// logVariants are all ways to store a log.
var logVariants = []Options{{}, {Format: SegmentFormat}, {Format: SegmentFormat, SyncWrites: true}}

func (o Options) onDisk(d disk.FS, limit int64) Options {
	o.FS, o.Limit, o.Name = d, limit, "n3"
	return o
}

func mustOpen(t *testing.T, o Options) *Log {
	t.Helper()
	l, _, err := OpenWith(o)
	must(t, err)
	return l
}

// completeNew accepts a message and completes it.
func completeNew(t *testing.T, l *Log, id uint32, how Completion) *Message {
	t.Helper()
	m := message(id)
	m.Deadline = time.Now().Add(time.Minute)
	must(t, l.Accept(m))
	l.Complete(m, how)
	must(t, l.Flush())
	return m
}

func TestCompletionsSurviveRestartAndCompaction(t *testing.T) {
	for i, first := range logVariants {
		for k, second := range logVariants {
			t.Run(fmt.Sprint(i, " then ", k), func(t *testing.T) {
				d := crashdisk.New()
				l := mustOpen(t, first.onDisk(d, 1<<20))
				var all []*Message
				for id, how := range []Completion{Delivered, Refused, Failed} {
					all = append(all, completeNew(t, l, uint32(id+1), how))
				}
				l.RememberCompletion("elsewhere", time.Now().Add(time.Minute), Refused)
				elsewhere := message(9)
				must(t, l.Accept(elsewhere))
				l.End(elsewhere)
				check := func(when string) {
					t.Helper()
					for id, how := range []Completion{Delivered, Refused, Failed} {
						if got, ok := l.Completed(all[id].Trace); !ok || got != how {
							t.Errorf("%s: message %d ended as %v, %v", when, id+1, got, ok)
						}
					}
					if got, ok := l.Completed("elsewhere"); !ok || got != Refused {
						t.Errorf("%s: the message that was not in the log ended as %v, %v", when, got, ok)
					}
					if _, ok := l.Completed(elsewhere.Trace); ok {
						t.Errorf("%s: a message kept elsewhere counts as ended", when)
					}
				}
				check("at first")
				must(t, l.Flush())
				l.Close()
				l = mustOpen(t, second.onDisk(d, 1<<20))
				check("after a restart")
				must(t, l.compact())
				check("after a compaction")
				l.Close()
				l = mustOpen(t, first.onDisk(d, 1<<20))
				check("after a second restart")
				l.Close()
			})
		}
	}
}

func TestCompletionsAreBounded(t *testing.T) {
	const ends = 12_000
	limit := int64(3_000_000)
	for i, o := range logVariants {
		t.Run(fmt.Sprint(i), func(t *testing.T) {
			l := mustOpen(t, o.onDisk(disk.Dir(t.TempDir()), limit))
			for id := range uint32(ends) {
				completeNew(t, l, id+1, Delivered)
				if l.Size() > limit {
					t.Fatalf("%d bytes on disk of %d", l.Size(), limit)
				}
			}
			capacity := int(completionShare * float64(limit) / completionBytes)
			if n, evicted := l.CompletionStats(); n != capacity || evicted != int64(ends-capacity) {
				t.Errorf("%d remembered, %d evicted; want %d", n, evicted, capacity)
			}
			if _, ok := l.Completed(message(ends).Trace); !ok {
				t.Error("the last end is not remembered")
			}
			must(t, l.compact())
			l.Close()
		})
	}
}

func TestCompletionsExpire(t *testing.T) {
	l := mustOpen(t, Options{}.onDisk(crashdisk.New(), 1<<20))
	defer l.Close()
	l.RememberCompletion("old", time.Now().Add(-completionRetention-time.Minute), Delivered)
	l.RememberCompletion("new", time.Now(), Delivered)
	if _, ok := l.Completed("old"); ok {
		t.Error("remembered after its expiry")
	}
	if _, ok := l.Completed("new"); !ok {
		t.Error("forgotten before its expiry")
	}
}

func TestRejectionsDuringDiskFailureAreBounded(t *testing.T) {
	d := crashdisk.New()
	l := mustOpen(t, Options{}.onDisk(d, 1<<20))
	d.Fail = func(op, _ string) error { return errors.New("input/output error") }
	for i := range 3 * maxPendingWithRejections {
		l.RememberRejection(fmt.Sprint(i), time.Now(), Refused)
		if i%256 == 0 {
			l.Flush()
		}
	}
	if len(l.pending) > maxPendingWithRejections {
		t.Errorf("%d pending records", len(l.pending))
	}
	if _, ok := l.Completed(fmt.Sprint(3*maxPendingWithRejections - 1)); !ok {
		t.Error("the last rejection is not remembered")
	}
	d.Fail = nil
	waitForRecovery(t, l)
	l.Close()
}

// waitForRecovery waits until the log can be written again.
func waitForRecovery(t *testing.T, l *Log) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); !l.TryRecover(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the log did not recover")
		}
	}
}

// maxCompletionMemory is the most memory in bytes that a remembered end may take.
const maxCompletionMemory = 100

func TestCompletionMemorySize(t *testing.T) {
	const ends = 5_000
	heap := func() uint64 {
		var stats runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&stats)
		return stats.HeapAlloc
	}
	var c completionSet
	before := heap()
	for i := range 4 * ends {
		c.put(digestOf(fmt.Sprint(i)), completedEntry{1000, Delivered})
		c.prune(0, ends)
	}
	if each := float64(heap()-before) / ends; each > maxCompletionMemory {
		t.Errorf("%.0f bytes for each end", each)
	}
	runtime.KeepAlive(&c)
}

func TestCompletionsDoNotSlowStart(t *testing.T) {
	const (
		ends     = 16 * 255 // 16 s at the capacity page's target rate
		maxDelay = 50 * time.Millisecond
	)
	for i, o := range logVariants {
		start := func(ends int) time.Duration {
			o := o.onDisk(disk.Dir(t.TempDir()), 3_000_000)
			l := mustOpen(t, o)
			for n := range ends {
				l.RememberCompletion(fmt.Sprint(n), time.Now(), Delivered)
			}
			must(t, l.Flush())
			must(t, l.compact())
			l.Close()
			began := time.Now()
			l = mustOpen(t, o)
			took := time.Since(began)
			if n, _ := l.CompletionStats(); n != ends {
				t.Errorf("%d ends are remembered", n)
			}
			l.Close()
			return took
		}
		if with, without := start(ends), start(0); with > without+maxDelay {
			t.Errorf("format %d: %v with the ends, %v without", i, with, without)
		} else {
			t.Logf("format %d: %v with the ends, %v without", i, with, without)
		}
	}
}

// BenchmarkCompletion measures what a message costs the log from its acceptance to its end, remembered or not.
func BenchmarkCompletion(b *testing.B) {
	for name, end := range map[string]func(*Log, *Message){
		"forgotten": (*Log).End,
		"remembered": func(l *Log, m *Message) {
			l.Completed(m.Trace) // on submission
			l.Completed(m.Trace) // on sending
			l.Complete(m, Delivered)
		},
	} {
		b.Run(name, func(b *testing.B) {
			l, _, err := OpenWith(Options{}.onDisk(disk.Dir(b.TempDir()), 3_000_000))
			if err != nil {
				b.Fatal(err)
			}
			defer l.Close()
			for i := range b.N {
				m := message(uint32(i + 1))
				m.Deadline = time.Now().Add(time.Minute)
				if err := l.Accept(m); err != nil {
					b.Fatal(err)
				}
				end(l, m)
				if err := l.Flush(); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
