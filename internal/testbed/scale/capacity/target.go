// Package capacity computes what each role costs at the target, from the laws that slopes measured, and checks or fills the
// tables of the capacity page. The formulas are data in formulas.go, budgets.go and scenarios.go.
package capacity

import (
	"bytes"
	"errors"
	"fmt"
	"maps"
	"math"
	"os"
	"slices"
	"strings"

	"github.com/pelletier/go-toml/v2"

	"onyxroad.dev/onyxroad/internal/settings"
)

// Quantity is a value of the target with its unit.
type Quantity struct {
	Value  *float64 `toml:"value"`
	Unit   string   `toml:"unit"`
	Reason string   `toml:"reason"` // the reason for an assumption
}

// Target is the load that the system has to carry, by key, for example "target.relays".
type Target map[string]Quantity

// targetKeys lists the keys of a target with their units, in the page's order. All are required.
var targetKeys = []struct{ name, unit string }{
	{"target.relays", "relays"}, {"target.events", "1/s"}, {"target.destinations", "destinations"}, {"target.down", "share"},
	{"target.owed", "messages"}, {"target.regions", "regions"}, {"target.zones", "zones"}, {"target.changes", "1/day"},
	{"target.in_force", "s"},
	{"control.cores", "cores"}, {"control.memory", "MB"}, {"control.network", "KB/s"}, {"control.machines", "machines"},
	{"faults.machines", "1/day"}, {"faults.restarts", "1/day"}, {"faults.racks", "1/week"}, {"faults.zones", "1/month"},
	{"faults.cut", "h"},
	{"assumptions.routes", "routes"}, {"assumptions.body", "bytes"}, {"assumptions.relay_cores", "cores"},
	{"assumptions.relay_memory", "MB"}, {"assumptions.relay_disk", "MB"}, {"assumptions.relay_start", "s"},
	{"assumptions.step_cores", "cores"}, {"assumptions.view_told", "s"},
	{"assumptions.relays_in_machine", "relays"}, {"assumptions.relays_in_rack", "relays"},
	{"assumptions.restart_hours", "h"}, {"assumptions.restart_peak_hours", "h"}, {"assumptions.release_hours", "h"},
	{"assumptions.used", "share"}, {"assumptions.duties_down", "duties"}, {"assumptions.duties_most", "duties"}, {"assumptions.list_most", "destinations"},
	{"assumptions.stewards", "machines"}, {"assumptions.steward_cores", "cores"}, {"assumptions.steward_memory", "MB"},
	{"assumptions.steward_network", "KB/s"}, {"assumptions.member_line", "bytes"},
}

// unitFactors convert units of the target to seconds, bytes and bytes a second.
var unitFactors = map[string]float64{
	"MB": 1e6, "KB/s": 1e3, "h": 3600, "1/day": 1 / 86400.0, "1/week": 1 / (7 * 86400.0), "1/month": 12 / (365 * 86400.0),
}

// value returns a figure in seconds or bytes, or in its own unit. It panics if the name is unknown; a test checks that every
// formula uses known names.
func (t Target) value(name string) float64 {
	q, ok := t[name]
	if !ok {
		panic("capacity: the target has no key " + name)
	}
	if f, ok := unitFactors[q.Unit]; ok {
		return *q.Value * f
	}
	return *q.Value
}

// ReadTarget reads a target from the file at path.
func ReadTarget(path string) (Target, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("capacity: %w", err)
	}
	return ParseTarget(path, data)
}

// ParseTarget parses the content of the file at path strictly. A key that is unknown, missing or without a line of its own, a
// wrong unit and an invalid value are errors that name file, line and key.
func ParseTarget(path string, data []byte) (Target, error) {
	var file map[string]map[string]Quantity
	if err := toml.NewDecoder(bytes.NewReader(data)).DisallowUnknownFields().Decode(&file); err != nil {
		return nil, fmt.Errorf("%s%w", path, settings.WithPosition(err))
	}
	lines, sections := keyLines(data)
	known := map[string]bool{}
	for _, k := range targetKeys {
		section, _, _ := strings.Cut(k.name, ".")
		known[k.name], known[section] = true, true
	}
	for _, section := range slices.Sorted(maps.Keys(file)) {
		if !known[section] {
			return nil, fmt.Errorf("%s:%d: unknown key %s", path, max(1, sections[section]), section)
		}
		for _, key := range slices.Sorted(maps.Keys(file[section])) {
			if name := section + "." + key; !known[name] {
				return nil, fmt.Errorf("%s:%d: unknown key %s", path, max(1, lines[name], sections[section]), name)
			}
		}
	}
	t := Target{}
	for _, k := range targetKeys {
		section, key, _ := strings.Cut(k.name, ".")
		q, ok := file[section][key]
		if !ok {
			return nil, fmt.Errorf("%s:%d: %s: missing", path, max(1, sections[section]), k.name)
		}
		if lines[k.name] == 0 {
			return nil, fmt.Errorf("%s:%d: %s: not on a line of its own", path, max(1, sections[section]), k.name)
		}
		if err := q.check(k.unit, section == "assumptions"); err != nil {
			return nil, fmt.Errorf("%s:%d: %s: %w", path, lines[k.name], k.name, err)
		}
		t[k.name] = q
	}
	return t, nil
}

// check checks a figure's value, unit and reason.
func (q Quantity) check(unit string, assumed bool) error {
	switch {
	case q.Value == nil:
		return errors.New("missing value")
	case q.Unit != unit:
		return fmt.Errorf("wrong unit %q, want %q", q.Unit, unit)
	case !(*q.Value > 0) || math.IsInf(*q.Value, 0):
		return fmt.Errorf("value %g is not positive and finite", *q.Value)
	case unit == "share" && *q.Value > 1:
		return fmt.Errorf("share %g is above 1", *q.Value)
	case assumed && q.Reason == "":
		return errors.New("missing reason: required for an assumption")
	case !assumed && q.Reason != "":
		return errors.New("unknown key reason: only assumptions have one")
	}
	return nil
}

// keyLines returns the lines of the keys and of the sections, counted from 1.
func keyLines(data []byte) (lines, sections map[string]int) {
	lines, sections = map[string]int{}, map[string]int{}
	section, n := "", 0
	for line := range strings.Lines(string(data)) {
		n++
		line = strings.TrimSpace(line)
		if rest, ok := strings.CutPrefix(line, "["); ok {
			section, _, _ = strings.Cut(rest, "]")
			sections[section] = n
		} else if key, _, ok := strings.Cut(line, "="); ok && !strings.HasPrefix(line, "#") {
			lines[section+"."+strings.TrimSpace(key)] = n
		}
	}
	return lines, sections
}
