package settings

import (
	"strings"
	"testing"
	"time"
)

func TestParse(t *testing.T) {
	s, err := Parse("x.toml", []byte("log_level = \"warn\"\n[state]\ndurability = \"power\"\nmemories_every = \"250ms\"\n"))
	if err != nil || !s.State.SurvivesPowerLoss() || !s.State.KeepsMemories() || time.Duration(s.State.MemoriesEvery) != 250*time.Millisecond {
		t.Errorf("%+v, %v", s.State, err)
	}
	if s, err := Parse("x.toml", []byte("[state]\n")); err != nil || s.State.SurvivesPowerLoss() || s.State.MemoriesEvery == 0 {
		t.Errorf("%+v, %v", s.State, err)
	}
	for text, message := range map[string]string{
		"[state]\ndurability = \"disk\"":                        "state.durability",
		"[state]\n\ndurabilty = \"power\"":                      "x.toml:3: unknown key state.durabilty",
		"[state]\nmemories_every = 5":                           "memories_every",
		"[state]\nmemories_every = \"5 s\"":                     "duration",
		"[state]\nmemories_every = \"1h\"":                      "between",
		"[state]\nmemories = false\nmemories_every = \"500ms\"": "without memories",
		"[membership]\nfleet = \"lab\"\nbind = \"10.0.0.4\"":    "membership.bind",
		"[membership]\nbind = \"10.0.0.4:7946\"":                "membership.fleet",
		"log_format = \"xml\"":                                  "log_format",
		"log_level = \"loud\"":                                  "x.toml:1",
	} {
		if _, err := Parse("x.toml", []byte(text)); err == nil || !strings.Contains(err.Error(), message) {
			t.Errorf("%q: %v", text, err)
		}
	}
}
