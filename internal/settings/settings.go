// Package settings reads the project's own settings file: one TOML file, read strictly, that turns on what is off without
// it. The platform's own configuration stays where it is; see package relay.
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

// Env names the variable that names the file where no argument does.
const Env = "IVYGAUGE_CONFIG"

// Settings is the file. Its zero value has every part off.
type Settings struct {
	LogFormat string     `toml:"log_format"` // "text" (default) or "json"
	LogLevel  slog.Level `toml:"log_level"`  // "info" (default), "debug", "warn" or "error"
	State     *State     `toml:"state"`      // none: the state folder is kept in one file, as ever

	Backlog    *Backlog    `toml:"backlog"`    // none: all that is owed is held in memory
	Membership *Membership `toml:"membership"` // none: the relay knows nothing of others
	Duties     *Duties     `toml:"duties"`     // none: the relay holds none
	Steward    *Steward    `toml:"steward"`    // of a steward alone
}

// Duties is the relay's part in what one process of the fleet does at a time.
type Duties struct {
	Stewards []string `toml:"stewards"` // hosts and ports of their APIs
	Lease    Duration `toml:"lease"`    // for which a duty is held without a word of its holder, 0.5 s to 5 min; 3 s by default
	Figures  bool     `toml:"figures"`  // it may add up the fleet's figures
}

// Steward is one of the stewards.
type Steward struct {
	Name         string   `toml:"name"`
	Fleet        string   `toml:"fleet"`         // the fleet's label
	Listen       string   `toml:"listen"`        // host and port for the other stewards
	Advertise    string   `toml:"advertise"`     // where they find it, if not at listen
	API          string   `toml:"api"`           // host and port for relays, tools and operators
	AdvertiseAPI string   `toml:"advertise_api"` // where they find it, if not at api
	Dir          string   `toml:"dir"`           // the folder that lasts
	Seeds        []string `toml:"seeds"`         // hosts and ports of other stewards' APIs, to join by
}

// Membership is the relay's part in its fleet.
type Membership struct {
	Fleet     string   `toml:"fleet"`     // the fleet's label: relays of another one are turned away
	Bind      string   `toml:"bind"`      // host and port, for TCP and UDP
	Advertise string   `toml:"advertise"` // where others find it, if not at bind
	Seeds     []string `toml:"seeds"`     // hosts and ports of members to join by
	Allow     []string `toml:"allow"`     // names of members, or beginnings of names with a * behind them; none: any
}

// State is how the state folder is kept.
type State struct {
	// Durability is "process" (default): what was taken on survives the process; or "power": the machine's power too.
	Durability string `toml:"durability"`
	// Memories has what is known of partners put down, so that a restart knows it. On by default.
	Memories *bool `toml:"memories"`
	// MemoriesEvery is the time from one putting down to the next, 100 ms to 1 min; 1 s by default.
	MemoriesEvery Duration `toml:"memories_every"`
}

// Backlog is how what is owed beyond a window in memory is kept on disk.
type Backlog struct {
	Dir    string  `toml:"dir"`     // a folder of its own, not the state folder
	DiskMB float64 `toml:"disk_mb"` // that it may take, in millions of bytes; 64 at least
	Window int     `toml:"window"`  // messages in memory that were never sent; 4096 by default
	Share  float64 `toml:"share"`   // of the window, for each destination; 0.0625 by default
}

func (b *Backlog) validate(s *Settings) (errs []error) {
	if b.Window == 0 {
		b.Window = 4096
	}
	if b.Share == 0 {
		b.Share = 1.0 / 16
	}
	if b.Dir == "" {
		errs = append(errs, errors.New("backlog.dir: the backlog needs a folder of its own"))
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
		errs = append(errs, errors.New("backlog: it goes with a log in segments: [state] is missing"))
	}
	return errs
}

// SurvivesPowerLoss tells whether messages outlast a loss of power.
func (s *State) SurvivesPowerLoss() bool { return s.Durability == "power" }

// KeepsMemories tells whether what is known of partners is put down.
func (s *State) KeepsMemories() bool { return s.Memories == nil || *s.Memories }

// Duration is a time written as in Go, "250ms" say.
type Duration time.Duration

// UnmarshalText reads one.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("not a duration such as \"250ms\": %q", text)
	}
	*d = Duration(v)
	return nil
}

// Load reads the file at path, or the one that the environment names; without either every part is off.
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

// Parse reads the text of the file at path.
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

// WithPosition puts line and key before what the library says of an error.
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

// validate tells what makes no sense, and fills in what is left out.
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
			errs = append(errs, errors.New("state.memories_every: without memories nothing is put down"))
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
			errs = append(errs, errors.New("duties.stewards: name one at least"))
		}
		errs = append(errs, checkAddresses("duties.stewards", d.Stewards...)...)
		if d.Lease == 0 {
			d.Lease = Duration(3 * time.Second)
		}
		if l := time.Duration(d.Lease); l < 500*time.Millisecond || l > 5*time.Minute {
			errs = append(errs, fmt.Errorf("duties.lease: %v is not between 500ms and 5m", l))
		}
		if s.Membership == nil {
			errs = append(errs, errors.New("duties: a relay that takes part is a member of its fleet: [membership] is missing"))
		}
	}
	if x := s.Steward; x != nil {
		errs = append(errs, x.validate()...)
		if s.State != nil || s.Membership != nil || s.Duties != nil || s.Backlog != nil {
			errs = append(errs, errors.New("steward: a steward is no relay: [state], [backlog], [membership] and [duties] belong in another file"))
		}
	}
	return errors.Join(errs...)
}

func (x *Steward) validate() (errs []error) {
	for key, value := range map[string]string{"name": x.Name, "fleet": x.Fleet} {
		if value == "" || strings.ContainsAny(value, ",/ ") {
			errs = append(errs, fmt.Errorf("steward.%s: %q is none", key, value))
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

// checkAddresses tells which are none.
func checkAddresses(key string, all ...string) (errs []error) {
	for _, a := range all {
		if _, err := netip.ParseAddrPort(a); err != nil {
			errs = append(errs, fmt.Errorf("%s: %q is not an IP address with a port", key, a))
		}
	}
	return errs
}

// Logger is the logger that the settings ask for.
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
