package policy

import "math"

// The pace of a gate: free at first, halved by a refusal, creeping back with success.

// halvePace sets the pace to half the last second's rate, once for all calls that were out together.
func (s *Sender) halvePace(r *route, o sample) {
	g := r.group
	if o.sent < g.halvedAt {
		return
	}
	rate := s.callsLastSecond(g)
	if g.pace > 0 {
		rate = math.Min(rate, g.pace)
	}
	// One call in the last second is no rate: halved, it is still several times what hundreds of senders may add up to.
	if s.limit(g) > 0 && s.sparse(g) {
		rate = math.Min(rate, 2*s.senderShare(g))
	}
	least := s.paceFloor(g)
	g.ceiling, g.ceilingLimit, g.pace = math.Max(rate, least), s.limit(g), math.Max(rate/2, least)
	g.tokens, g.tokensAt, g.halvedAt, g.guessed = 0, s.now, s.now, false
	// A clump refused at hundreds of senders comes again spread over several times its own length.
	if s.sparse(g) {
		g.tokens = 0.5 - sparseSpread*s.rng.Float64()
	}
}

// paceFloor is what the pace of a gate does not fall below. Counts of few calls a second are rough: halvings must not
// starve a gate whose limit is known.
func (s *Sender) paceFloor(g *routeGroup) float64 {
	return math.Max(minPace, minPaceShare*s.limit(g)/float64(s.settings.Senders))
}

// growPace lets the pace grow with a success, slowly near the rate that was refused last.
func (s *Sender) growPace(g *routeGroup) {
	if g.pace == 0 {
		return
	}
	s.refillTokens(g, paceBurst)
	if g.pace > maxPaceOverUse*math.Max(1, s.callsLastSecond(g)) {
		return
	}
	growth, near := 1+paceGrowth, nearCeiling*g.ceiling
	// A limit may have been lowered for a while: what was refused then says less once a higher one is told, and
	// the floor has risen with it.
	if l := s.limit(g); g.ceilingLimit > 0 && l > reportNoise*g.ceilingLimit {
		near *= l / g.ceilingLimit
		g.pace = math.Max(g.pace, s.paceFloor(g))
	}
	switch {
	case s.limit(g) > 0 && s.sparse(g):
		// Refused with hundreds of others, not for its own rate: that says nothing of what it may send now, and parts
		// add up to the limit.
		g.pace = math.Max(g.pace, s.senderShare(g))
	case g.ceiling > 0 && g.pace > near:
		growth = 1 + paceGrowthNearCeiling
	}
	// Where successes are seconds apart, each counts for the seconds that it stands for.
	steps := min(max(1, (s.now-max(g.grownAt, g.halvedAt)).Seconds()), maxGrowthSteps)
	g.pace, g.grownAt = g.pace*math.Pow(growth, steps), s.now
}

// replaceGuessedPace replaces a guessed pace by what the first delivery has told: this sender's part of the limit, or what a restart owes
// if that is more, or none where there is no limit. Until then one call at a time goes out.
func (s *Sender) replaceGuessedPace(g *routeGroup) {
	if !g.guessed {
		return
	}
	g.guessed, g.pace, g.tokens, g.tokensAt = false, 0, math.Max(0, g.tokens), s.now
	if s.limit(g) > 0 {
		g.pace = math.Max(s.senderShare(g), s.backlogRate(g.dest))
	}
}
