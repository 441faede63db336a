package relay

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// An invalid configuration is rejected with an error that names the file and the reason, both at start and at a reload.
func TestInvalidConfigErrorNamesFileAndReason(t *testing.T) {
	const good = `{"discovery":"127.0.0.1:8500","listen":"127.0.0.1:0","settings":{"services":[{"name":"a"}]}}`
	path := filepath.Join(t.TempDir(), "config.json")
	getenv := func(name string) string {
		return map[string]string{"ROUTER_CONFIG": path, "ROUTER_STATE": t.TempDir()}[name]
	}
	for name, c := range map[string]struct{ text, reason string }{
		"good":                {good, ""},
		"empty":               {"", "unexpected end"},
		"half a file":         {good[:len(good)/2], "unexpected end"},
		"settings of no kind": {`{"settings":7}`, "settings"},
		"no class":            {`{"settings":{}}`, "no class"},
		"a negative count":    {strings.Replace(good, `"settings":{`, `"settings":{"bounds":{"send_cap":-1},`, 1), "negative count"},
		"no address":          {strings.Replace(good, "127.0.0.1:8500", "nowhere", 1), "nowhere"},
	} {
		if err := os.WriteFile(path, []byte(c.text), 0o600); err != nil {
			t.Fatal(err)
		}
		for _, read := range []func(func(string) string) (Config, error){LoadConfig, ReloadConfig} {
			_, err := read(getenv)
			if c.reason == "" {
				if err != nil {
					t.Errorf("%s: %v", name, err)
				}
			} else if err == nil || !strings.Contains(err.Error(), path) || !strings.Contains(err.Error(), c.reason) {
				t.Errorf("%s: %v, want %s and %q in it", name, err, path, c.reason)
			}
		}
	}
}

// A reload that finds a partly written file retries, since SIGHUP is sent only once.
func TestReloadRetriesPartlyWrittenFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "config.json")
	whole := `{"listen":"127.0.0.1:1","discovery":"127.0.0.1:2","settings":` + settingsJSON + `}`
	if err := os.WriteFile(path, []byte(whole[:len(whole)/2]), 0o600); err != nil {
		t.Fatal(err)
	}
	read := 0
	getenv := func(name string) string {
		if name != "ROUTER_CONFIG" {
			return ""
		}
		if read++; read == 3 {
			if err := os.WriteFile(path, []byte(whole), 0o600); err != nil {
				t.Fatal(err)
			}
		}
		return path
	}
	c, err := ReloadConfigWithRetry(t.Context(), getenv)
	if err != nil || c.Discovery != "127.0.0.1:2" {
		t.Errorf("discovery %q, %v", c.Discovery, err)
	}
}
