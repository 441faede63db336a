package wire

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"onyxroad.dev/onyxroad/policy"
)

// settingValues holds the path=value pairs of a CONFIGURE line, and the first error.
type settingValues struct {
	values map[string]string
	err    error
}

func parseSettings(text string) (policy.Settings, *reportSchema, error) {
	p := &settingValues{values: map[string]string{}}
	for _, f := range strings.Fields(text) {
		k, v, ok := strings.Cut(f, "=")
		if !ok {
			return policy.Settings{}, nil, fmt.Errorf("bad setting %q", truncate(f))
		}
		if v != "-" {
			p.values[k] = v
		}
	}
	set, err := PolicySettings(p.values)
	return set, p.reportSchema(), err
}

// PolicySettings converts settings, given by their paths, to those of the decision module. The relay also uses it for its own
// configuration, which holds the same settings as JSON, so that the meaning of each setting is defined once.
func PolicySettings(values map[string]string) (policy.Settings, error) {
	p := &settingValues{values: values}
	set := policy.Settings{
		Senders:        p.integer("fleet_size"),
		Zone:           p.integer("zone"),
		Slots:          p.integer("extra.call_slots"),
		MaxHeld:        p.integer("bounds.open_cap"),
		MaxAttempts:    p.integer("bounds.send_cap"),
		RoughWeights:   p.values["weight_kind"] == "rough",
		NoWeights:      p.values["weight_kind"] == "none",
		WatchRequired:  p.values["membership_mode"] == "ask",
		ColdShare:      p.float("rules.cold_from"),
		WarmWithin:     p.duration("rules.warm_within_ms"),
		OverloadFactor: p.float("rules.overload_factor"),
		OverloadWindow: p.duration("rules.fall_ms"),
		OrderPause:     p.duration("rules.order_pause_ms"),
	}
	if p.boolean("bounds.retry_after") {
		set.MaxRetryAfter = p.duration("bounds.max_retry_after_ms")
	}
	for _, x := range p.list("extra.carriage") {
		set.ZoneFees = append(set.ZoneFees, p.parseFloat("extra.carriage", x))
	}
	for i := range p.count("services") {
		set.Classes = append(set.Classes, p.class(fmt.Sprintf("services.%d.", i)))
	}
	for i := range p.count("realms") {
		set.Customers = append(set.Customers, policy.Customer{
			Quota: p.float(fmt.Sprintf("realms.%d.quota_per_s", i)),
		})
	}
	per, separate := p.list("extra.per_call"), p.list("extra.separate_routes")
	for i := range max(len(p.list("kinds")), len(per), len(separate)) {
		k := policy.Kind{PerCall: 1}
		if i < len(per) {
			k.PerCall = int(p.parseFloat("extra.per_call", per[i]))
		}
		if i < len(separate) {
			k.Separate = separate[i] == "true"
		}
		set.Kinds = append(set.Kinds, k)
	}
	return set, p.err
}

func (p *settingValues) class(at string) policy.Class {
	c := policy.Class{
		GroupAll: p.values[at+"group"] == "all",
		Window:   p.duration(at + "repeat_window_ms"),
		Ordered:  p.boolean(at + "by_arrival"),
		Aim:      p.duration(at + "goal_time_ms"),
		GiveUp:   p.duration(at + "give_up_ms"),
		Value:    1,
	}
	if _, ok := p.values[at+"value"]; ok {
		c.Value = p.float(at + "value")
	}
	switch p.values[at+"semantics"] {
	case "read_like":
		c.Effect = policy.Safe
	case "idempotency_key":
		c.Effect = policy.Keyed
	default: // an unknown kind of service must be assumed not to tolerate repeats
		c.Effect = policy.Unsafe
	}
	return c
}

// reportSchema returns the names of the reported values that hold a load limit.
func (p *settingValues) reportSchema() *reportSchema {
	sc := &reportSchema{}
	for _, name := range p.list("stats.fields") {
		switch name {
		case "x0":
			sc.left = name
		case "x1":
			sc.limit = name
		}
	}
	return sc
}

func (p *settingValues) parseFloat(key, value string) float64 {
	x, err := strconv.ParseFloat(value, 64)
	if err != nil && p.err == nil {
		p.err = fmt.Errorf("bad setting %s", key)
	}
	return x
}

func (p *settingValues) float(key string) float64 {
	if v, ok := p.values[key]; ok {
		return p.parseFloat(key, v)
	}
	return 0
}

func (p *settingValues) integer(key string) int { return int(p.float(key)) }

func (p *settingValues) count(path string) int { return min(1000, p.integer(path+".count")) }

func (p *settingValues) duration(key string) time.Duration {
	return time.Duration(p.float(key)*1000) * time.Microsecond
}

func (p *settingValues) boolean(key string) bool {
	return p.values[key] == "true" || p.values[key] == "1"
}

func (p *settingValues) list(key string) []string {
	if p.values[key] == "" {
		return nil
	}
	return strings.Split(p.values[key], ",")
}
