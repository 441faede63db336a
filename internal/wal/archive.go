package wal

import (
	"errors"
	"fmt"
	"slices"

	"onyxroad.dev/onyxroad/internal/disk"
)

// The archive holds remembered ends outside the log, so that compactions do not copy them: a file to a block, ends-P-N, where P is the
// priority and N the block's number. A file is complete before it has its name and never changes. An end is in the log until a block
// with it is in the archive, so a crash may leave it in both.

const (
	endsPrefix   = "ends-"
	endsTempName = "ends.tmp"
	endsSalt     = 1 << 62

	// archiveShare is the part of the disk limit that the archive may take.
	archiveShare = 0.3
	// maxArchivedEnds bounds the probability that a new id is taken for an archived one; see fingerprintBits.
	maxArchivedEnds = 1_000_000
	// maxGuaranteedEnds is the number of latest ends of messages, recent ones included, that are kept whatever their priority: those
	// of two minutes at 255 messages a second, the capacity page's target.
	maxGuaranteedEnds = 30_600
	// guaranteedPart is the part of the archive that these ends take at most, as a divisor.
	guaranteedPart = 5
	// minBytesPerEnd is less than what an end takes in the archive, for estimates.
	minBytesPerEnd = 4
)

// archive is the set of archived ends. It is not safe for concurrent use, except write.
type archive struct {
	fs         disk.FS
	sync       bool  // sync files before they count
	limit      int64 // bytes on disk
	guaranteed int   // latest ends that are kept whatever their priority
	blocks     [PriorityCount][]*endBlock
	unreadable []*endBlock // whose files are damaged; they have no ends
	next       uint64      // number of the next block
	bytes      int64       // on disk, including a file being written
	count      [PriorityCount]int
	evicted    [PriorityCount]int64 // removed for lack of room
}

// readArchive reads the archive and changes nothing. Files with damaged content stay until their room is needed.
func readArchive(fs disk.FS, limit int64, sync bool) (*archive, error) {
	a := &archive{fs: fs, sync: sync, limit: limit, next: 1}
	// A block that is written later may hold ends that came earlier, as many as there may be recent ones.
	a.guaranteed = int(min(maxGuaranteedEnds+maxRecent, limit/minBytesPerEnd/guaranteedPart))
	names, err := fs.Names()
	if err != nil {
		return nil, fmt.Errorf("wal: %w", err)
	}
	for _, name := range names {
		p, number, ok := parseEndBlockName(name)
		if !ok {
			continue
		}
		b := &endBlock{priority: p, number: number}
		data, err := fs.ReadFile(name)
		if err != nil {
			return nil, fmt.Errorf("wal: read archived ends: %w", err)
		}
		err = b.decode(data)
		b.fileSize = roundUpToSector(int64(len(data)))
		a.next = max(a.next, number+1)
		a.bytes += b.fileSize
		if err != nil {
			a.unreadable = append(a.unreadable, b)
			continue
		}
		a.add(b)
	}
	for p := range PriorityCount {
		slices.SortFunc(a.blocks[p], func(x, y *endBlock) int { return int(int64(x.number) - int64(y.number)) })
	}
	return a, nil
}

// add adds a block whose file exists and is counted in bytes.
func (a *archive) add(b *endBlock) {
	a.blocks[b.priority] = append(a.blocks[b.priority], b)
	a.count[b.priority] += len(b.ends)
}

// find returns how the id with a digest ended; false if it is not archived. Delivered takes precedence.
func (a *archive) find(d traceDigest) (how Completion, found bool) {
	fingerprint := d.fingerprint()
	for p := PriorityCount; p > 0; p-- {
		for _, b := range a.blocks[p-1] {
			h, ok := b.find(fingerprint)
			if ok && h == Delivered {
				return h, true
			}
			if ok {
				how, found = h, true
			}
		}
	}
	return how, found
}

// total returns the number of archived ends.
func (a *archive) total() (n int) {
	for _, c := range a.count {
		n += c
	}
	return n
}

// makeRoom evicts blocks until one more fits in. It returns false if the new block is itself the one to forget, because the archive
// holds only ends of higher priority. recent is the number of ends of messages that are not archived. The error is that a file could
// not be removed.
func (a *archive) makeRoom(b *endBlock, recent int) (bool, error) {
	for a.bytes+b.fileSize > a.limit || a.total()+len(b.ends) > maxArchivedEnds {
		victim := a.victim(b.priority, recent)
		if victim == nil {
			return false, nil
		}
		if err := a.remove(victim); err != nil {
			return false, err
		}
	}
	return true, nil
}

// victim returns the block to evict for a new one of priority p; nil if the new one is to be forgotten instead. Unreadable files go
// first, then rejected requests, then the ends of messages in the order of their priorities, the oldest of each first. The latest ends of
// messages go last.
func (a *archive) victim(p Priority, recent int) *endBlock {
	if len(a.unreadable) > 0 {
		return a.unreadable[0]
	}
	if b := a.oldest(RejectedPriority); b != nil || p == RejectedPriority {
		return b
	}
	for q := RepeatablePriority; q < PriorityCount; q++ {
		if b := a.oldest(q); b != nil && !a.isGuaranteed(b, recent) {
			return b
		}
	}
	for q := RepeatablePriority; q <= p; q++ {
		if b := a.oldest(q); b != nil {
			return b
		}
	}
	return nil
}

// oldest returns the oldest block of a priority; nil if there is none.
func (a *archive) oldest(p Priority) *endBlock {
	if len(a.blocks[p]) == 0 {
		return nil
	}
	return a.blocks[p][0]
}

// isGuaranteed reports whether the ends of a block are among the latest ones, which are kept whatever their priority.
func (a *archive) isGuaranteed(b *endBlock, recent int) bool {
	later := recent
	for q := RejectedPriority + 1; q < PriorityCount; q++ {
		for _, x := range a.blocks[q] {
			if x.number > b.number {
				later += len(x.ends)
			}
		}
	}
	return later < a.guaranteed
}

// remove removes a block and its file.
func (a *archive) remove(b *endBlock) error {
	if err := a.fs.Remove(b.fileName()); err != nil {
		return fmt.Errorf("wal: make room for ends: %w", err)
	}
	a.bytes -= b.fileSize
	if i := slices.Index(a.unreadable, b); i >= 0 {
		a.unreadable = slices.Delete(a.unreadable, i, i+1)
		return nil
	}
	a.blocks[b.priority] = slices.DeleteFunc(a.blocks[b.priority], func(x *endBlock) bool { return x == b })
	a.count[b.priority] -= len(b.ends)
	a.evicted[b.priority] += int64(len(b.ends))
	return nil
}

// write writes the file of a block. It may run in a goroutine of its own.
func (a *archive) write(b *endBlock, data []byte) error {
	f, err := a.fs.Open(endsTempName)
	if err != nil {
		return fmt.Errorf("wal: archive ends: %w", err)
	}
	if err = f.Truncate(0); err == nil {
		_, err = f.WriteAt(data, 0)
	}
	if err == nil && a.sync {
		err = f.Sync()
	}
	if err = errors.Join(err, f.Close()); err == nil {
		err = a.fs.Rename(endsTempName, b.fileName())
	}
	if err == nil && a.sync {
		err = a.fs.SyncDir()
	}
	if err != nil {
		// The file may have its name all the same. It is removed, so that the block is not counted twice.
		return errors.Join(fmt.Errorf("wal: archive ends: %w", err), a.fs.Remove(endsTempName), a.fs.Remove(b.fileName()))
	}
	return nil
}

// release drops the ends in memory. The figures of the archive stay.
func (a *archive) release() { a.blocks, a.unreadable = [PriorityCount][]*endBlock{}, nil }

// reclaim makes the files those of this archive again after another process may have changed them.
func (a *archive) reclaim() error {
	names, err := a.fs.Names()
	if err != nil {
		return err
	}
	present := map[string]bool{}
	for _, name := range names {
		if _, number, ok := parseEndBlockName(name); ok {
			present[name] = true
			a.next = max(a.next, number+1)
		}
	}
	for p := range PriorityCount {
		for _, b := range a.blocks[p] {
			if !present[b.fileName()] {
				err = errors.Join(err, a.write(b, b.encode()))
			}
			delete(present, b.fileName())
		}
	}
	for _, b := range a.unreadable {
		delete(present, b.fileName())
	}
	for name := range present {
		err = errors.Join(err, a.fs.Remove(name)) // its ends are in this process's log
	}
	return err
}
