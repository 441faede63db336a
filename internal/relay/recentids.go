package relay

import "hash/maphash"

// maxRecentIDs is how many ids of requests are remembered in memory that were refused for lack of room.
const maxRecentIDs = 4096

// recentIDs remembers the latest ids, as hashes.
type recentIDs struct {
	seed   maphash.Seed
	hashes map[uint64]struct{}
	ring   []uint64 // in the order in which they were added, from oldest on
	oldest int
}

func newRecentIDs() *recentIDs {
	return &recentIDs{seed: maphash.MakeSeed(), hashes: map[uint64]struct{}{}}
}

// contains reports whether an id is remembered.
func (r *recentIDs) contains(id string) bool {
	_, ok := r.hashes[maphash.String(r.seed, id)]
	return ok
}

// add remembers an id, and forgets the oldest one if there are too many.
func (r *recentIDs) add(id string) {
	hash := maphash.String(r.seed, id)
	if _, ok := r.hashes[hash]; ok {
		return
	}
	r.hashes[hash] = struct{}{}
	if len(r.ring) < maxRecentIDs {
		r.ring = append(r.ring, hash)
		return
	}
	delete(r.hashes, r.ring[r.oldest])
	r.ring[r.oldest] = hash
	r.oldest = (r.oldest + 1) % maxRecentIDs
}
