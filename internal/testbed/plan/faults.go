package plan

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"onyxroad.dev/onyxroad/internal/testbed/experiment"
)

const (
	// The successor of a replaced endpoint is listed this long before the old endpoint starts to drain.
	successorLead = 1500 * time.Millisecond
	// A draining endpoint ends after this time.
	drainTime = 3500 * time.Millisecond
	// Steps of the fault "hang-gone", from its start: the endpoint drains, leaves the list, and relays are replaced. News of
	// the list takes hangNews to reach an agent.
	hangDrains   = 500 * time.Millisecond
	hangLeaves   = time.Second
	hangReplaced = 1300 * time.Millisecond
	hangNews     = 100 * time.Millisecond
	// faultsEnd is the share of the run's length by which every fault has started and, if it has a duration, ended, so that
	// the run shows the recovery from it.
	faultsEnd = 0.9
)

// TornWriteTail is how long the files of a torn write keep failing after the kill.
const TornWriteTail = 300 * time.Millisecond

// drawFaults draws each fault's time, targets and size.
func (p *Plan) drawFaults(rng *rand.Rand) {
	for i, spec := range p.Experiment.Faults {
		from := len(p.Faults)
		times := 1
		if n := spec.Times.Draw(rng); n > 0 {
			times = max(1, int(n*float64(p.Length)/float64(p.Experiment.Length.D())+0.5))
		}
		for range times {
			p.drawFault(rng, spec)
		}
		for k := range p.Faults[from:] {
			p.Faults[from+k].Origin = i
		}
	}
	slices.SortStableFunc(p.Faults, func(a, b Fault) int { return cmp.Compare(a.At, b.At) })
}

// drawFault draws one fault.
func (p *Plan) drawFault(rng *rand.Rand, spec experiment.Fault) {
	f := Fault{Kind: spec.Kind, At: time.Duration((spec.At.Draw(rng) + rng.Float64()*spec.Over.Draw(rng)) * float64(p.Length)), For: spec.For.Draw(rng), Size: spec.Size.Draw(rng),
		Building: -1}
	end := time.Duration(faultsEnd * float64(p.Length))
	f.For = max(0, min(f.For, end-f.At))
	share := spec.Share.Draw(rng)
	if spec.In == "building" {
		f.Building = rng.IntN(len(p.Buildings))
	}
	switch spec.Kind {
	case "power", "disk-full", "disk-sick", "disk-slow", "kill", "term", "pause", "replace", "starve", "hostile", "move", "series", "kill-series", "wall-step", "calls", "files", "short", "torn-write":
		if share == 0 {
			share = 1
		}
		f.Relays = p.pickRelays(rng, share, f.Building)
		f.Rules = drawInjectionRules(rng, spec.Kind)
		if spec.Kind == "kill" {
			for _, r := range f.Relays {
				if rng.Float64() < f.Size {
					f.Emptied = append(f.Emptied, r)
				}
			}
		}
	case "roll", "upgrade":
		p.drawRollingRestart(rng, f)
		return
	case "cut", "one-way":
		if f.Building < 0 {
			f.Building = rng.IntN(len(p.Buildings))
		}
		for i := range p.Relays {
			if p.Relays[i].Building == f.Building {
				f.Relays = append(f.Relays, i)
			}
		}
	case "release":
		p.drawRelease(rng, &f, share)
	case "hang-gone":
		p.drawHangGone(rng, f, share)
		return
	case "loss", "delay", "reset", "answers", "silent", "surplus":
		f.Relays = p.pickRelays(rng, cmp.Or(share, 1), f.Building)
	case "slow", "errors", "shut", "down", "hang", "limits":
		f.Partners, f.Endpoints = p.pickPartners(rng, spec, share, f.Building)
	}
	p.Faults = append(p.Faults, f)
}

// The calls that may be made to fail, and their errors.
var (
	socketCalls = []string{"accept", "accept", "connect", "socket", "recv", "send", "listen"}
	socketErrs  = map[string][]string{
		"accept": {"ECONNABORTED", "ENFILE", "ENOBUFS", "ENOMEM", "EPROTO"}, "socket": {"ENFILE", "ENOBUFS", "ENOMEM"},
		"connect": {"EADDRNOTAVAIL", "ENETUNREACH", "ENOBUFS", "ECONNABORTED", "ETIMEDOUT", "EHOSTUNREACH"},
		"listen":  {"EADDRNOTAVAIL", "ENOBUFS"}, "recv": {"ETIMEDOUT", "EHOSTUNREACH", "ECONNRESET"},
		"send": {"ETIMEDOUT", "EHOSTUNREACH", "ECONNRESET"},
	}
	fileCalls      = []string{"write", "write", "write", "open", "truncate", "rename", "remove", "read", "names"}
	fileErrs       = []string{"EIO", "ENOSPC"}
	failureEffects = []string{"", "part", "all"}
	wallSteps      = []int{-3600, -5, 5, 3600}
	shortSizes     = []int{1, 7, 64}
	// Writes that fail until a kill: without effect, with an effect that a truncation can or cannot undo, or only some of them.
	tornWrites = [][]string{{"write EIO 1 "}, {"write EIO 1 part"}, {"write EIO 1 all", "truncate EIO 1 "}, {"write ENOSPC 1 part", "truncate EIO 1 "},
		{"write EIO 2 "}, {"write EIO 3 all"}}
)

// failureInterval draws n, where one in n calls fails. Broken connections are rare, or no request would get through.
func failureInterval(rng *rand.Rand, call string) int {
	if call == "recv" || call == "send" {
		return pickOne(rng, []int{20, 60})
	}
	return pickOne(rng, []int{1, 1, 3, 9})
}

// pickOne draws one of the values.
func pickOne[T any](rng *rand.Rand, values []T) T { return values[rng.IntN(len(values))] }

// drawInjectionRules draws the rules of the failures to inject into relays; none for other kinds of fault.
func drawInjectionRules(rng *rand.Rand, kind string) []string {
	switch kind {
	case "wall-step":
		return []string{fmt.Sprintf("wall %d", pickOne(rng, wallSteps))}
	case "short":
		return []string{fmt.Sprintf("short %d", pickOne(rng, shortSizes))}
	case "calls":
		call := pickOne(rng, socketCalls)
		return []string{fmt.Sprintf("%s %s %d", call, pickOne(rng, socketErrs[call]), failureInterval(rng, call))}
	case "torn-write":
		return pickOne(rng, tornWrites)
	case "files":
		var rules []string
		for range 1 + rng.IntN(2) { // a second rule may also fail the cleanup after the first failure
			rules = append(rules, fmt.Sprintf("%s %s %d %s", pickOne(rng, fileCalls), pickOne(rng, fileErrs), failureInterval(rng, ""), pickOne(rng, failureEffects)))
		}
		return rules
	}
	return nil
}

// pickRelays draws a share of the relays, at least one.
func (p *Plan) pickRelays(rng *rand.Rand, share float64, building int) []int {
	var candidates []int
	for i := range p.Relays {
		if building < 0 || p.Relays[i].Building == building {
			candidates = append(candidates, i)
		}
	}
	rng.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	candidates = candidates[:min(len(candidates), max(1, int(share*float64(len(candidates))+0.5)))]
	slices.Sort(candidates)
	return candidates
}

// pickPartners draws partners that receive about the given share of the traffic, at least one, and the affected endpoints:
// all of theirs, or those in one building.
func (p *Plan) pickPartners(rng *rand.Rand, x experiment.Fault, share float64, building int) (partners, endpoints []int) {
	sum := 0.0
	for _, i := range rng.Perm(len(p.Partners)) {
		var in []int
		for _, e := range p.Partners[i].Endpoints {
			if building < 0 || p.Endpoints[e].Building == building {
				in = append(in, e)
			}
		}
		if len(in) == 0 || len(partners) > 0 && sum+p.Partners[i].Share > share*1.2 {
			continue
		}
		// Separate routes can fail independently, but most outages affect all endpoints of a partner.
		partners, endpoints = append(partners, i), append(endpoints, in...)
		if sum += p.Partners[i].Share; sum >= share*0.8 {
			break
		}
	}
	slices.Sort(partners)
	slices.Sort(endpoints)
	return partners, endpoints
}

// drawRollingRestart turns a rolling restart or upgrade into one fault for each relay, in a drawn order, spread over its
// duration. Every second relay of a rolling restart is killed.
func (p *Plan) drawRollingRestart(rng *rand.Rand, f Fault) {
	order := rng.Perm(len(p.Relays))
	for k, r := range order {
		restart := Fault{Kind: "term", At: f.At + time.Duration(float64(f.For)*float64(k)/float64(len(order))), Relays: []int{r}, Building: -1}
		switch {
		case f.Kind == "upgrade":
			restart.Kind = "replace"
		case k%2 == 1:
			restart.Kind, restart.For = "kill", 600*time.Millisecond
		}
		p.Faults = append(p.Faults, restart)
	}
}

// drawRelease replaces a share of the endpoints step by step.
func (p *Plan) drawRelease(rng *rand.Rand, f *Fault, share float64) {
	candidates := p.pickEndpoints(rng, share, p.Length)
	for k, i := range candidates {
		at := f.At + time.Duration(float64(f.For)*float64(k)/float64(len(candidates)))
		old := &p.Endpoints[i]
		old.Drains, old.Gone = at+successorLead, at+successorLead+drainTime
		f.Endpoints = append(f.Endpoints, i)
		p.addSuccessor(rng, i, at)
	}
}

// drawHangGone has a share of the endpoints hang and leave the list meanwhile, and replaces relays once they have been told.
// Calls that were sent just before are then out at an endpoint that no list names.
func (p *Plan) drawHangGone(rng *rand.Rand, f Fault, share float64) {
	for _, i := range p.pickEndpoints(rng, share, 0) {
		old := &p.Endpoints[i]
		old.Drains, old.Gone, old.Ends, old.News = f.At+hangDrains, f.At+hangLeaves, f.At+f.For, hangNews
		f.Endpoints = append(f.Endpoints, i)
		next := p.addSuccessor(rng, i, f.At)
		next.News = hangNews
	}
	p.Faults = append(p.Faults, f)
	replace := Fault{Kind: "replace", At: f.At + hangReplaced, Building: -1}
	replace.Relays = p.pickRelays(rng, f.Size, -1)
	p.Faults = append(p.Faults, replace)
}

// pickEndpoints draws a share, at least one, of the endpoints that nothing else replaces and that are added by a time.
func (p *Plan) pickEndpoints(rng *rand.Rand, share float64, addedBy time.Duration) []int {
	var candidates []int
	for i := range p.Endpoints {
		if p.Endpoints[i].Drains == 0 && p.Endpoints[i].Added <= addedBy {
			candidates = append(candidates, i)
		}
	}
	rng.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	return candidates[:min(len(candidates), max(1, int(share*float64(len(candidates))+0.5)))]
}

// addSuccessor adds an endpoint that takes the place of another one from a time on.
func (p *Plan) addSuccessor(rng *rand.Rand, old int, at time.Duration) *Endpoint {
	next := p.Endpoints[old]
	next.ID, next.Added, next.Drains, next.Gone, next.Ends, next.News = fmt.Sprintf("s-%08x", rng.Uint32()), max(at, 1), 0, 0, 0, 0
	d := &p.Partners[next.Partner]
	d.Endpoints = append(d.Endpoints, len(p.Endpoints))
	p.Endpoints = append(p.Endpoints, next)
	return &p.Endpoints[len(p.Endpoints)-1]
}
