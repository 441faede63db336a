package backlog

import (
	"fmt"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/pebble/v2"
)

// CheckReport is the result of a consistency check.
type CheckReport struct {
	Messages int
	Dests    int
	Problems []string // empty: the store is consistent
}

// Check reads the whole store. It verifies every record, that each index contains exactly the stored messages, and the
// counters.
func (s *Store) Check() (r CheckReport, err error) {
	err = s.withEngine(func(db *pebble.DB) error {
		r = CheckReport{}
		var want, have [3]uint64 // for each index, the sum of the hashes of its keys
		counts := map[int]int{}
		_, err := scanRecords(db, 0, func(e Entry) error {
			r.Messages++
			counts[e.Dest]++
			for i, key := range indexKeys(e.Ref) {
				want[i] += xxhash.Sum64(key)
			}
			return nil
		})
		if err != nil {
			r.Problems = append(r.Problems, fmt.Sprintf("a record cannot be read: %v", err))
		}
		for i, index := range []byte{keyDest, keyDeadline, keyTrace} {
			it, err := db.NewIter(&pebble.IterOptions{LowerBound: []byte{index}, UpperBound: []byte{index + 1}})
			if err != nil {
				return err
			}
			for valid := it.First(); valid; valid = it.Next() {
				have[i] += xxhash.Sum64(it.Key())
			}
			if err := it.Close(); err != nil {
				r.Problems = append(r.Problems, fmt.Sprintf("index %c cannot be read: %v", index, err))
			} else if have[i] != want[i] {
				r.Problems = append(r.Problems, fmt.Sprintf("index %c does not match the stored messages", index))
			}
		}
		r.Dests = len(counts)
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.messages != r.Messages {
			r.Problems = append(r.Problems, fmt.Sprintf("the counter of messages is %d, but %d are stored", s.messages, r.Messages))
		}
		for dest, n := range counts {
			if state := s.dests[dest]; state == nil || state.count != n {
				r.Problems = append(r.Problems, fmt.Sprintf("the counter of destination %d is wrong: %d messages are stored", dest, n))
				break
			}
		}
		if len(s.dests) != len(counts) {
			r.Problems = append(r.Problems, fmt.Sprintf("the counter of destinations is %d, but %d have messages", len(s.dests), len(counts)))
		}
		r.Problems = append(r.Problems, s.damageNotes...)
		return nil
	})
	return r, err
}
