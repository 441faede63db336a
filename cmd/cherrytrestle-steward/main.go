// Command cherrytrestle-steward runs one of the stewards: three or five processes that agree on who holds the fleet's duties.
package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"os/signal"
	"sync"
	"syscall"

	"github.com/alecthomas/kong"

	"onyxroad.dev/onyxroad/internal/duty/steward"
	"onyxroad.dev/onyxroad/internal/settings"
)

// errReported makes the command exit with status 1 without a message, because it has already reported the problem.
var errReported = errors.New("already reported")

var cli struct {
	Run     runCmd     `cmd:"" default:"withargs" help:"Run a steward until SIGTERM."`
	Recover recoverCmd `cmd:"" help:"Recover from a lost majority: make a stopped steward's folder continue alone, in a new era. Without --confirm, show what that would lose, change nothing and exit with status 1."`
}

func main() {
	parser := kong.Must(&cli, kong.Name("cherrytrestle-steward"),
		kong.Description("Run one of the fleet's stewards. Its settings are in the [steward] section of the file given by --config or IVYGAUGE_CONFIG."),
		kong.Exit(func(code int) {
			if code != 0 {
				code = 2
			}
			os.Exit(code)
		}))
	cmd, err := parser.Parse(os.Args[1:])
	parser.FatalIfErrorf(err)
	switch err := cmd.Run(); {
	case errors.Is(err, errReported):
		os.Exit(1)
	case err != nil:
		fmt.Fprintln(os.Stderr, "cherrytrestle-steward:", err)
		os.Exit(2)
	}
}

// loadConfig reads the settings, which must have a [steward] section.
func loadConfig(path string) (steward.Config, error) {
	fileSettings, err := settings.Load(path)
	if err != nil {
		return steward.Config{}, err
	}
	section := fileSettings.Steward
	if section == nil {
		return steward.Config{}, errors.New("the settings have no [steward] section")
	}
	return steward.Config{Name: section.Name, Fleet: section.Fleet, Listen: section.Listen, Advertise: section.Advertise, API: section.API,
		AdvertiseAPI: section.AdvertiseAPI, Dir: section.Dir, Seeds: section.Seeds, Log: fileSettings.Logger()}, nil
}

type runCmd struct {
	Config string `help:"The settings file; IVYGAUGE_CONFIG if not given." placeholder:"FILE"`
}

func (c *runCmd) Run() error {
	cfg, err := loadConfig(c.Config)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	l, err := net.Listen("tcp", cfg.API)
	if err != nil {
		return err
	}
	s, err := steward.Open(cfg)
	if err != nil {
		l.Close()
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var serving sync.WaitGroup
	var served error
	serving.Go(func() { served = s.Serve(ctx, l); cancel() })
	err = s.Run(ctx)
	cancel()
	serving.Wait()
	return errors.Join(err, served)
}

type recoverCmd struct {
	Config  string `help:"The settings file; IVYGAUGE_CONFIG if not given." placeholder:"FILE"`
	Confirm bool   `help:"Make the changes. The other stewards must be stopped for good."`
}

func (c *recoverCmd) Run() error {
	cfg, err := loadConfig(c.Config)
	if err != nil {
		return err
	}
	action := steward.Inspect
	if c.Confirm {
		action = steward.Recover
	}
	found, err := action(cfg)
	if err != nil {
		return err
	}
	fmt.Print(found.Summary())
	if !c.Confirm {
		fmt.Println("Nothing was changed. Run with --confirm to do this.")
		return errReported
	}
	fmt.Println("Done. Start this steward, then the others with emptied folders.")
	return nil
}
