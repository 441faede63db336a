// Package capacity works out what each role costs at the target, from the laws that slopes measured, and keeps the tables
// of the page in agreement with them. What is reckoned from what stands as data in formulas.go.
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

// Quantity is one figure of the target.
type Quantity struct {
	Value  *float64 `toml:"value"`
	Unit   string   `toml:"unit"`
	Reason string   `toml:"reason"` // of an assumption: why this much
}

// Target is what the system has to carry, by "target.relays" and so on.
type Target map[string]Quantity

// targetKeys are those that a target has, with their units, in the page's order. Each has to be there.
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

// unitFactors bring a unit of the target to the one that is reckoned in: seconds, bytes and bytes a second.
var unitFactors = map[string]float64{
	"MB": 1e6, "KB/s": 1e3, "h": 3600, "1/day": 1 / 86400.0, "1/week": 1 / (7 * 86400.0), "1/month": 12 / (365 * 86400.0),
}

// value is a figure in seconds, bytes, or the unit that it has. There is a test that every formula names one that is there.
func (t Target) value(name string) float64 {
	q, ok := t[name]
	if !ok {
		panic("capacity: the target has no " + name)
	}
	if f, ok := unitFactors[q.Unit]; ok {
		return *q.Value * f
	}
	return *q.Value
}

// ReadTarget reads the file at path.
func ReadTarget(path string) (Target, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("capacity: %w", err)
	}
	return ParseTarget(path, data)
}

// ParseTarget reads the text of the file at path, strictly: a key that is unknown, missing or on no line of its own, a unit
// that is not the key's, or a value that makes no sense is an error that names file, line and key.
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
			return nil, fmt.Errorf("%s:%d: %s: is missing", path, max(1, sections[section]), k.name)
		}
		if lines[k.name] == 0 {
			return nil, fmt.Errorf("%s:%d: %s: has no line of its own", path, max(1, sections[section]), k.name)
		}
		if err := q.check(k.unit, section == "assumptions"); err != nil {
			return nil, fmt.Errorf("%s:%d: %s: %w", path, lines[k.name], k.name, err)
		}
		t[k.name] = q
	}
	return t, nil
}

// check tells what makes no sense of a figure that has to be in a unit.
func (q Quantity) check(unit string, assumed bool) error {
	switch {
	case q.Value == nil:
		return errors.New("value is missing")
	case q.Unit != unit:
		return fmt.Errorf("unit %q makes no sense, it is in %q", q.Unit, unit)
	case !(*q.Value > 0) || math.IsInf(*q.Value, 0):
		return fmt.Errorf("value %g is not above 0", *q.Value)
	case unit == "share" && *q.Value > 1:
		return fmt.Errorf("value %g is more than all", *q.Value)
	case assumed && q.Reason == "":
		return errors.New("reason is missing: it is an assumption")
	case !assumed && q.Reason != "":
		return errors.New("unknown key reason: it is no assumption")
	}
	return nil
}

// keyLines finds the lines of the keys and of the sections, from 1.
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
