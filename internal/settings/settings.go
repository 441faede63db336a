// Package settings reads this project's settings file, a TOML file in which unknown keys are errors. It enables features that
// are disabled by default. The platform's configuration is a separate file; see package relay.
package settings

import (
	"bytes"
	"errors"
	"fmt"
	"log/slog"
	"net/netip"
	"os"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"
)

// Env is the environment variable with the path of the settings file, which is used if no argument gives one.
const Env = "IVYGAUGE_CONFIG"

// Settings is the content of the settings file. The zero value has all features disabled.
type Settings struct {
	LogFormat string     `toml:"log_format"` // "text" (default) or "json"
	LogLevel  slog.Level `toml:"log_level"`  // "info" (default), "debug", "warn" or "error"
	State     *State     `toml:"state"`      // nil: the state folder holds a single log file instead of segments

	Backlog    *Backlog    `toml:"backlog"`    // nil: all accepted messages are held in memory
	Membership *Membership `toml:"membership"` // nil: the relay does not know other relays
	Duties     *Duties     `toml:"duties"`     // nil: the relay holds no duties
	Steward    *Steward    `toml:"steward"`    // only for a steward
}

// Duties configures how a relay takes part in the fleet's duties, each of which one process holds at a time.
type Duties struct {
	Stewards []string `toml:"stewards"` // IP:port of the stewards' APIs
	Lease    Duration `toml:"lease"`    // how long a duty is held without renewal, 0.5 s to 5 min; default 3 s
	Figures  bool     `toml:"figures"`  // the relay may hold the duty of aggregating the fleet's metrics
}

// Steward configures a steward.
type Steward struct {
	Name         string   `toml:"name"`
	Fleet        string   `toml:"fleet"`         // label of the fleet
	Listen       string   `toml:"listen"`        // IP:port for the other stewards
	Advertise    string   `toml:"advertise"`     // IP:port to give to them, if different from listen
	API          string   `toml:"api"`           // IP:port for relays, tools and operators
	AdvertiseAPI string   `toml:"advertise_api"` // IP:port to give to them, if different from api
	Dir          string   `toml:"dir"`           // folder of the persistent state
	Seeds        []string `toml:"seeds"`         // IP:port of the APIs of other stewards to join through
}

// Membership configures a relay as a member of its fleet.
type Membership struct {
	Fleet     string   `toml:"fleet"`     // label of the fleet; relays with another label are rejected
	Bind      string   `toml:"bind"`      // IP:port for TCP and UDP
	Advertise string   `toml:"advertise"` // IP:port to give to others, if different from bind
	Seeds     []string `toml:"seeds"`     // IP:port of members to join through
	Allow     []string `toml:"allow"`     // names of allowed members, or prefixes of names followed by *; empty: all
}

// State configures the state folder.
type State struct {
	// Durability is "process" (default): accepted messages survive the end of the process; or "power": they also survive a
	// power loss of the machine.
	Durability string `toml:"durability"`
	// Memories enables saving what the relay has learned about partners, so that it is known after a restart. Default true.
	Memories *bool `toml:"memories"`
	// MemoriesEvery is the interval between saves, 100 ms to 1 min; default 1 s.
	MemoriesEvery Duration `toml:"memories_every"`
}

// Backlog configures the storage on disk of accepted messages that do not fit into a window in memory.
type Backlog struct {
	Dir    string  `toml:"dir"`     // dedicated folder, separate from the state folder
	DiskMB float64 `toml:"disk_mb"` // limit of its size on disk in MB, at least 64
	Window int     `toml:"window"`  // maximum number of never sent messages in memory; default 4096
	Share  float64 `toml:"share"`   // share of the window that each destination may take; default 0.0625
}

func (b *Backlog) validate(s *Settings) (errs []error) {
	if b.Window == 0 {
		b.Window = 4096
	}
	if b.Share == 0 {
		b.Share = 1.0 / 16
	}
	if b.Dir == "" {
		errs = append(errs, errors.New("backlog.dir: the backlog needs a dedicated folder"))
	}
	if !(b.DiskMB >= 64 && b.DiskMB <= 1e9) {
		errs = append(errs, fmt.Errorf("backlog.disk_mb: %v is not between 64 and 1e9", b.DiskMB))
	}
	if b.Window < 64 || b.Window > 1<<20 {
		errs = append(errs, fmt.Errorf("backlog.window: %d is not between 64 and %d", b.Window, 1<<20))
	}
	if !(b.Share > 0 && b.Share <= 1) {
		errs = append(errs, fmt.Errorf("backlog.share: %v is not above 0 and at most 1", b.Share))
	}
	if s.State == nil {
		errs = append(errs, errors.New("backlog: it requires a log in segments: [state] is missing"))
	}
	return errs
}

// SurvivesPowerLoss reports whether accepted messages survive a power loss.
func (s *State) SurvivesPowerLoss() bool { return s.Durability == "power" }

// KeepsMemories reports whether what was learned about partners is saved.
func (s *State) KeepsMemories() bool { return s.Memories == nil || *s.Memories }

// Duration is a duration in Go syntax, such as "250ms".
type Duration time.Duration

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("not a duration such as \"250ms\": %q", text)
	}
	*d = Duration(v)
	return nil
}

// Load reads the file at path or, if path is empty, the one that the environment variable Env names. Without either, all
// features are disabled.
func Load(path string) (Settings, error) {
	if path == "" {
		if path = os.Getenv(Env); path == "" {
			return Settings{}, nil
		}
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, fmt.Errorf("settings: %w", err)
	}
	return Parse(path, data)
}

// Parse parses the content of a settings file. path is used in error messages.
func Parse(path string, data []byte) (s Settings, err error) {
	d := toml.NewDecoder(bytes.NewReader(data)).DisallowUnknownFields()
	if err := d.Decode(&s); err != nil {
		return Settings{}, fmt.Errorf("%s%w", path, WithPosition(err))
	}
	if err := s.validate(); err != nil {
		return Settings{}, fmt.Errorf("%s: %w", path, err)
	}
	return s, nil
}

// WithPosition prefixes an error of the TOML library with the line and the key.
func WithPosition(err error) error {
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) && len(strict.Errors) > 0 {
		e := strict.Errors[0]
		line, _ := e.Position()
		return fmt.Errorf(":%d: unknown key %s", line, strings.Join(e.Key(), "."))
	}
	var dec *toml.DecodeError
	if errors.As(err, &dec) {
		line, _ := dec.Position()
		return fmt.Errorf(":%d: %s: %w", line, strings.Join(dec.Key(), "."), err)
	}
	return fmt.Errorf(": %w", err)
}

// validate reports invalid settings, and sets defaults.
func (s *Settings) validate() error {
	var errs []error
	switch s.LogFormat {
	case "", "text", "json":
	default:
		errs = append(errs, fmt.Errorf("log_format: %q is not text or json", s.LogFormat))
	}
	if st := s.State; st != nil {
		switch st.Durability {
		case "":
			st.Durability = "process"
		case "process", "power":
		default:
			errs = append(errs, fmt.Errorf("state.durability: %q is not process or power", st.Durability))
		}
		if st.MemoriesEvery == 0 {
			st.MemoriesEvery = Duration(time.Second)
		} else if !st.KeepsMemories() {
			errs = append(errs, errors.New("state.memories_every: without memories nothing is saved"))
		}
		if every := time.Duration(st.MemoriesEvery); every < 100*time.Millisecond || every > time.Minute {
			errs = append(errs, fmt.Errorf("state.memories_every: %v is not between 100ms and 1m", every))
		}
	}
	if s.Backlog != nil {
		errs = append(errs, s.Backlog.validate(s)...)
	}
	if m := s.Membership; m != nil {
		if m.Fleet == "" {
			errs = append(errs, errors.New("membership.fleet: the fleet needs a label"))
		}
		for key, addrs := range map[string][]string{"bind": {m.Bind}, "advertise": {m.Advertise}, "seeds": m.Seeds} {
			for _, a := range addrs {
				if key == "advertise" && a == "" {
					continue
				}
				errs = append(errs, checkAddresses("membership."+key, a)...)
			}
		}
	}
	if d := s.Duties; d != nil {
		if len(d.Stewards) == 0 {
			errs = append(errs, errors.New("duties.stewards: at least one address is required"))
		}
		errs = append(errs, checkAddresses("duties.stewards", d.Stewards...)...)
		if d.Lease == 0 {
			d.Lease = Duration(3 * time.Second)
		}
		if l := time.Duration(d.Lease); l < 500*time.Millisecond || l > 5*time.Minute {
			errs = append(errs, fmt.Errorf("duties.lease: %v is not between 500ms and 5m", l))
		}
		if s.Membership == nil {
			errs = append(errs, errors.New("duties: they require a member of the fleet: [membership] is missing"))
		}
	}
	if x := s.Steward; x != nil {
		errs = append(errs, x.validate()...)
		if s.State != nil || s.Membership != nil || s.Duties != nil || s.Backlog != nil {
			errs = append(errs, errors.New("steward: [state], [backlog], [membership] and [duties] are for relays and not allowed in a steward's file"))
		}
	}
	return errors.Join(errs...)
}

func (x *Steward) validate() (errs []error) {
	for key, value := range map[string]string{"name": x.Name, "fleet": x.Fleet} {
		if value == "" || strings.ContainsAny(value, ",/ ") {
			errs = append(errs, fmt.Errorf("steward.%s: %q is empty or contains a comma, slash or space", key, value))
		}
	}
	if x.Dir == "" {
		errs = append(errs, errors.New("steward.dir: the steward needs a folder"))
	}
	errs = append(errs, checkAddresses("steward.listen", x.Listen)...)
	errs = append(errs, checkAddresses("steward.api", x.API)...)
	errs = append(errs, checkAddresses("steward.seeds", x.Seeds...)...)
	for key, a := range map[string]string{"advertise": x.Advertise, "advertise_api": x.AdvertiseAPI} {
		if a != "" {
			errs = append(errs, checkAddresses("steward."+key, a)...)
		}
	}
	return errs
}

// checkAddresses returns an error for each invalid address.
func checkAddresses(key string, all ...string) (errs []error) {
	for _, a := range all {
		if _, err := netip.ParseAddrPort(a); err != nil {
			errs = append(errs, fmt.Errorf("%s: %q is not an IP address with a port", key, a))
		}
	}
	return errs
}

// Logger returns the logger that the settings configure.
func (s *Settings) Logger() *slog.Logger {
	o := &slog.HandlerOptions{Level: s.LogLevel}
	switch {
	case s.LogFormat == "json":
		return slog.New(slog.NewJSONHandler(os.Stderr, o))
	case s.LogFormat == "text" || s.LogLevel != slog.LevelInfo:
		return slog.New(slog.NewTextHandler(os.Stderr, o))
	}
	return slog.Default()
}
