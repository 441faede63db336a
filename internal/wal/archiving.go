package wal

import (
	"time"

	"onyxroad.dev/onyxroad/internal/clock"
	"onyxroad.dev/onyxroad/internal/disk"
)

// This file moves ends from the log to the archive.

const (
	// recentShare is the part of the log's room that recent ends may take in a snapshot.
	recentShare = 0.07
	// minRecent and maxRecent limit the number of recent ends that this share allows.
	minRecent = 64
	maxRecent = 8192
)

// archiving is a block that is being written to the archive.
type archiving struct {
	block *endBlock
	ends  map[traceDigest]Completion
	done  chan error // receives the result of the write
}

// splitLimit divides the disk limit between the log and the archive. The log's part includes what the archive may exceed its own by
// for rounding up to sectors.
func splitLimit(limit int64) (log, archive int64) {
	archive = int64(archiveShare * float64(limit))
	return limit - archive, archive / disk.Sector * disk.Sector
}

// recentLimit returns the number of recent ends from which on some of them move to the archive.
func (l *Log) recentLimit() int {
	return min(maxRecent, max(minRecent, int(l.share(recentShare)/completionBytes)))
}

// archiveRecent moves recent ends to the archive while there are too many. With SyncWrites the archive is written in the background,
// and the ends move once that is done.
func (l *Log) archiveRecent() {
	l.finishArchiving()
	for l.recent.len() > l.recentLimit() && l.archiving == nil && clock.Since(l.archiveFailedAt) >= recoveryRetryInterval {
		l.startArchiving(l.recent.largest())
		l.finishArchiving()
	}
	l.dropExcessRecent()
}

// startArchiving begins to write the recent ends of a priority to the archive.
func (l *Log) startArchiving(p Priority) {
	ends := l.recent.oldest(p, maxBlockEnds)
	b := newEndBlock(p, l.archive.next, ends)
	data := b.encode()
	b.fileSize = roundUpToSector(int64(len(data)))
	room, err := l.archive.makeRoom(b, l.recent.len()-len(l.recent.order[RejectedPriority]))
	if err != nil {
		l.archiveFailed(err)
		return
	}
	if !room {
		l.archive.evicted[p] += int64(len(ends))
		l.recent.remove(p, ends)
		return
	}
	l.archive.bytes += b.fileSize
	l.archiving = &archiving{block: b, ends: ends, done: make(chan error, 1)}
	write := func(job *archiving) { job.done <- l.archive.write(b, data) }
	if !l.SyncWrites {
		write(l.archiving)
		return
	}
	go func(job *archiving) {
		write(job)
		if l.Notify != nil {
			l.Notify()
		}
	}(l.archiving)
}

// finishArchiving completes a write to the archive if it is done.
func (l *Log) finishArchiving() {
	if l.archiving == nil {
		return
	}
	select {
	case err := <-l.archiving.done:
		l.archived(err)
	default:
	}
}

// waitForArchive waits until no write to the archive is in progress.
func (l *Log) waitForArchive() {
	if l.archiving != nil {
		l.archived(<-l.archiving.done)
	}
}

// archived applies the result of a write to the archive.
func (l *Log) archived(err error) {
	job := l.archiving
	l.archiving = nil
	if err != nil {
		l.archive.bytes -= job.block.fileSize
		l.archiveFailed(err)
		return
	}
	l.archiveError = nil
	l.archive.next++
	l.archive.add(job.block)
	l.recent.remove(job.block.priority, job.ends)
}

func (l *Log) archiveFailed(err error) {
	l.archiveError, l.archiveFailedAt = err, clock.Now()
}

// dropExcessRecent bounds the recent ends while the archive can't be written. Only ends whose messages may be sent again are dropped.
// The others take room from new work; see Accept.
func (l *Log) dropExcessRecent() {
	for p := RejectedPriority; p <= RepeatablePriority; p++ {
		for l.recent.len() > 2*l.recentLimit() && l.recent.removeOldest(p) {
			l.archive.evicted[p]++
		}
	}
}

// excessRecentSize returns the room in a snapshot that the recent ends take beyond their share.
func (l *Log) excessRecentSize() int64 {
	return max(0, int64(l.recent.len()-2*l.recentLimit())*completionBytes)
}

// dropArchived removes the recent ends that the archive has too, because the process ended before a compaction.
func (l *Log) dropArchived() {
	for p := range PriorityCount {
		archived := map[traceDigest]Completion{}
		for d, how := range l.recent.oldest(p, l.recent.len()) {
			if known, ok := l.archive.find(d); ok && known == how {
				archived[d] = how
			}
		}
		l.recent.remove(p, archived)
	}
}

// WaitForArchive waits until nothing is being written to the archive, or for a time-out, and reports whether that is so. A process that
// hands the folder over must not write to it later.
func (l *Log) WaitForArchive(timeout time.Duration) bool {
	for end := clock.Now().Add(timeout); l.archiving != nil; time.Sleep(time.Millisecond) {
		if l.finishArchiving(); l.archiving != nil && clock.Now().After(end) {
			return false
		}
	}
	return true
}
