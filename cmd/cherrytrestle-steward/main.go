// Command cherrytrestle-steward is one of the stewards: three or five processes that agree on the fleet's duties.
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

// errBroken ends the command with 1; what is wrong has been said.
var errBroken = errors.New("broken")

var cli struct {
	Run     runCmd     `cmd:"" default:"withargs" help:"Run a steward until SIGTERM."`
	Recover recoverCmd `cmd:"" help:"The way back from a lost majority: have a stopped steward's folder go on alone, in a new era. Without --confirm it says what that would lose, changes nothing and ends with 1."`
}

func main() {
	parser := kong.Must(&cli, kong.Name("cherrytrestle-steward"),
		kong.Description("One of the fleet's stewards. Its settings are [steward] in the file of --config or IVYGAUGE_CONFIG."),
		kong.Exit(func(code int) {
			if code != 0 {
				code = 2
			}
			os.Exit(code)
		}))
	cmd, err := parser.Parse(os.Args[1:])
	parser.FatalIfErrorf(err)
	switch err := cmd.Run(); {
	case errors.Is(err, errBroken):
		os.Exit(1)
	case err != nil:
		fmt.Fprintln(os.Stderr, "cherrytrestle-steward:", err)
		os.Exit(2)
	}
}

// load reads the settings, which have to name a steward.
func load(path string) (steward.Config, error) {
	own, err := settings.Load(path)
	if err != nil {
		return steward.Config{}, err
	}
	x := own.Steward
	if x == nil {
		return steward.Config{}, errors.New("the settings have no [steward]")
	}
	return steward.Config{Name: x.Name, Fleet: x.Fleet, Listen: x.Listen, Advertise: x.Advertise, API: x.API,
		AdvertiseAPI: x.AdvertiseAPI, Dir: x.Dir, Seeds: x.Seeds, Log: own.Logger()}, nil
}

type runCmd struct {
	Config string `help:"The settings file; IVYGAUGE_CONFIG if not given." placeholder:"FILE"`
}

func (c *runCmd) Run() error {
	cfg, err := load(c.Config)
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
	Confirm bool   `help:"Do it. The other stewards must be stopped for good."`
}

func (c *recoverCmd) Run() error {
	cfg, err := load(c.Config)
	if err != nil {
		return err
	}
	look := steward.Inspect
	if c.Confirm {
		look = steward.Recover
	}
	found, err := look(cfg)
	if err != nil {
		return err
	}
	fmt.Print(found.Summary())
	if !c.Confirm {
		fmt.Println("Nothing was changed. With --confirm this is done.")
		return errBroken
	}
	fmt.Println("Done. Start this steward, then the others with emptied folders.")
	return nil
}
