package process

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"

	"onyxroad.dev/onyxroad/internal/testbed/experiment"
)

// writeConfig writes the current configuration file of relay r.
func (f *Fleet) writeConfig(r int) error {
	p := f.plan
	data, err := json.MarshalIndent(map[string]any{
		"name": p.Relays[r].Name, "listen": f.ports.Relay(r), "discovery": f.platform.AgentAddr(r),
		"seed": fmt.Sprintf("%016x", p.Relays[r].Seed+uint64(f.relays[r].starts)),
		"limits": map[string]any{"cores": p.Experiment.Fleet.Cores, "memory_mb": p.Experiment.Fleet.MemoryMB,
			"sockets": p.Experiment.Fleet.Sockets, "disk_mb": p.Experiment.Fleet.DiskMB},
		"known": f.platform.KnownList(r), "settings": f.siteSettings(r),
	}, "", " ")
	if err != nil {
		return fmt.Errorf("process: encode configuration: %w", err)
	}
	// Write to a temporary file and rename it, so that a relay that reads it concurrently gets a whole configuration.
	path := f.configPath(r)
	if err := os.WriteFile(path+".new", data, 0o600); err != nil {
		return fmt.Errorf("process: write configuration: %w", err)
	}
	if err := os.Rename(path+".new", path); err != nil {
		return fmt.Errorf("process: write configuration: %w", err)
	}
	return nil
}

func (f *Fleet) configPath(r int) string {
	return filepath.Join(f.dir, f.plan.Relays[r].Name, "config.json")
}

// siteSettings returns the settings of the site for relay r, with the names and units of the platform's protocol.
func (f *Fleet) siteSettings(r int) map[string]any {
	p := f.plan
	exp := p.Experiment
	var services, realms []any
	for _, c := range p.Classes {
		semantics := map[string]string{"safe": "read_like", "keyed": "idempotency_key", "unsafe": "non_idempotent"}[c.Effect]
		group, window := "all", 5000.0
		if c.Effect == "keyed" {
			group, window = "zone", ms(c.Window)
		}
		services = append(services, map[string]any{"name": c.Name, "goal_time_ms": ms(c.Aim), "give_up_ms": ms(c.Deadline),
			"semantics": semantics, "group": group, "repeat_window_ms": window, "late_worth": c.LateWorth, "value": c.Worth, "stream": false})
	}
	for _, c := range exp.Load.Customers {
		realms = append(realms, map[string]any{"name": c.Name, "share": c.Share, "quota_per_s": c.Share * p.FullRate * 0.85})
	}
	var kinds []string
	var batch []int
	var separateRoutes []bool
	warm, cold := 0.0, 1.0
	for _, k := range exp.Partners.Kinds {
		kinds, batch, separateRoutes = append(kinds, k.Name), append(batch, max(1, k.Batch)), append(separateRoutes, k.SeparateRoutes)
	}
	for _, d := range p.Partners {
		warm, cold = max(warm, d.Warm.Seconds()*1000), min(cold, d.Cold)
	}
	fees := make([]float64, len(p.Buildings))
	return map[string]any{
		"fleet_size": p.Members(), "me": r % p.Members(), "zone": p.Relays[r].Building, "zones": p.Buildings, "kinds": kinds, "domain_type": "deliver",
		"membership_mode": "push", "weight_kind": "none", "tick_ms": 5, "tiers": []string{"partner-systems"}, "value_by": "request",
		"over_share_worth": 0.1, "services": services, "realms": realms,
		"clients": map[string]any{"marks_retry": false},
		"extra": map[string]any{"call_slots": p.Relays[r].Slots, "per_call": batch, "separate_routes": separateRoutes, "carriage": fees,
			"loses_worth": "even", "report_x0": "share of the allowance that is left",
			"report_x1":         "calls a second that the limit allows; 0 where there is none",
			"turned_away_price": 0, "notes": "full: milliseconds to wait, 0 if none is told; moot: 1 no slot was free"},
		"bounds": map[string]any{"cancel": true, "connect_timeout_ms": 1500, "cpu_us_per_s": 50000, "cpu_us_per_request": 0,
			"keepalive_ms": exp.Partners.IdleSeconds * 1000, "max_retry_after_ms": 3000, "may_duplicate": true,
			"open_cap": p.Relays[r].MaxHeld, "peers": false, "probes": true, "retry_after": false, "send_cap": 12, "streams_per_conn": 1},
		"rules": map[string]any{"answer_slack_ms": 20, "ask_within_ms": 10000, "cold_from": cold, "warm_within_ms": warm,
			"fall_ms": exp.Partners.CollapseSeconds * 1000, "overload_factor": exp.Partners.CollapseFactor, "stop_sending_within_ms": 500},
		"stats": map[string]any{"fields": []string{"x0", "x1"}, "how": "answers"},
		"goal":  map[string]any{"whole": 0.4, "worst_window": 0.3, "worst_class": 0.2, "worst_tenant": 0.1},
	}
}

func ms(d experiment.Duration) float64 { return d.D().Seconds() * 1000 }
