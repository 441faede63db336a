package policy

import "math"

// The pace of a route group limits its calls a second. It is unlimited at first, halved by a refusal and raised again
// step by step with each success.

// halvePace sets the pace to half the rate of the last second, once for all calls that were out at the same time.
func (s *Sender) halvePace(r *route, o sample) {
	g := r.group
	if o.sent < g.halvedAt {
		return
	}
	rate := s.callsLastSecond(g)
	if g.pace > 0 {
		rate = math.Min(rate, g.pace)
	}
	// A single call in the last second gives no rate: half of it, times hundreds of senders, is several times the limit.
	if s.limit(g) > 0 && s.sparse(g) {
		rate = math.Min(rate, 2*s.senderShare(g))
	}
	least := s.paceFloor(g)
	g.ceiling, g.ceilingLimit, g.pace = math.Max(rate, least), s.limit(g), math.Max(rate/2, least)
	g.tokens, g.tokensAt, g.halvedAt, g.guessed = 0, s.now, s.now, false
	// A burst refused at hundreds of senders is retried over several times its own length.
	if s.sparse(g) {
		g.tokens = 0.5 - sparseSpread*s.rng.Float64()
	}
}

// paceFloor is the lowest pace of a route group. Rates measured from a few calls a second are rough, so repeated halving
// must not starve a group whose limit is known.
func (s *Sender) paceFloor(g *routeGroup) float64 {
	return math.Max(minPace, minPaceShare*s.limit(g)/float64(s.settings.Senders))
}

// growPace raises the pace after a success, and more slowly near the rate that was refused last.
func (s *Sender) growPace(g *routeGroup) {
	if g.pace == 0 {
		return
	}
	s.refillTokens(g, paceBurst)
	if g.pace > maxPaceOverUse*math.Max(1, s.callsLastSecond(g)) {
		return
	}
	growth, near := 1+paceGrowth, nearCeiling*g.ceiling
	// A refusal under a limit that was lowered for a while says less once a higher limit is reported. The floor has
	// risen with the limit.
	if l := s.limit(g); g.ceilingLimit > 0 && l > reportNoise*g.ceilingLimit {
		near *= l / g.ceilingLimit
		g.pace = math.Max(g.pace, s.paceFloor(g))
	}
	switch {
	case s.limit(g) > 0 && s.sparse(g):
		// The sender was refused along with hundreds of others, not for its own rate. That says nothing about what
		// it may send now, and the shares of all senders add up to the limit.
		g.pace = math.Max(g.pace, s.senderShare(g))
	case g.ceiling > 0 && g.pace > near:
		growth = 1 + paceGrowthNearCeiling
	}
	// If successes are seconds apart, each counts for the seconds since the last.
	steps := min(max(1, (s.now-max(g.grownAt, g.halvedAt)).Seconds()), maxGrowthSteps)
	g.pace, g.grownAt = g.pace*math.Pow(growth, steps), s.now
}

// replaceGuessedPace replaces a guessed pace after the first delivery: by this sender's share of the limit, or by the
// rate that resumed messages need if that is higher; by no pace if no limit is known. Until then one call at a time
// goes out.
func (s *Sender) replaceGuessedPace(g *routeGroup) {
	if !g.guessed {
		return
	}
	g.guessed, g.pace, g.tokens, g.tokensAt = false, 0, math.Max(0, g.tokens), s.now
	if s.limit(g) > 0 {
		g.pace = math.Max(s.senderShare(g), s.backlogRate(g.dest))
	}
}
