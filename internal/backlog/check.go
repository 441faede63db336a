package backlog

import (
	"fmt"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/pebble/v2"
)

// CheckReport is what reading everything found.
type CheckReport struct {
	Messages int
	Dests    int
	Problems []string // empty: all is well
}

// Check reads everything: each record, that each index lists these and no others, and the counters.
func (s *Store) Check() (r CheckReport, err error) {
	err = s.withEngine(func(db *pebble.DB) error {
		r = CheckReport{}
		var want, have [3]uint64 // of each index, sums of the hashes of its keys
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
			r.Problems = append(r.Problems, fmt.Sprintf("a record can't be read: %v", err))
		}
		for i, index := range []byte{keyDest, keyDeadline, keyTrace} {
			it, err := db.NewIter(&pebble.IterOptions{LowerBound: []byte{index}, UpperBound: []byte{index + 1}})
			if err != nil {
				return err
			}
			for good := it.First(); good; good = it.Next() {
				have[i] += xxhash.Sum64(it.Key())
			}
			if err := it.Close(); err != nil {
				r.Problems = append(r.Problems, fmt.Sprintf("index %c can't be read: %v", index, err))
			} else if have[i] != want[i] {
				r.Problems = append(r.Problems, fmt.Sprintf("index %c doesn't list the messages that there are", index))
			}
		}
		r.Dests = len(counts)
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.messages != r.Messages {
			r.Problems = append(r.Problems, fmt.Sprintf("%d messages are counted, %d are there", s.messages, r.Messages))
		}
		for dest, n := range counts {
			if q := s.dests[dest]; q == nil || q.count != n {
				r.Problems = append(r.Problems, fmt.Sprintf("destination %d is counted wrongly: %d are there", dest, n))
				break
			}
		}
		if len(s.dests) != len(counts) {
			r.Problems = append(r.Problems, fmt.Sprintf("%d destinations are counted, %d are there", len(s.dests), len(counts)))
		}
		r.Problems = append(r.Problems, s.damageNotes...)
		return nil
	})
	return r, err
}
