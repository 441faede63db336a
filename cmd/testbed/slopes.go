package main

import (
	"context"
	"os"

	"onyxroad.dev/onyxroad/internal/testbed/scale"
	"onyxroad.dev/onyxroad/internal/testbed/scale/fleetslope"
	"onyxroad.dev/onyxroad/internal/testbed/scale/relayslope"
)

// slopes holds the functions that return the slopes known to the command.
var slopes = []func() []scale.Slope{
	func() []scale.Slope { return []scale.Slope{scale.Rig()} },
	relayslope.Slopes,
	fleetslope.Slopes,
}

type relayChildCmd struct {
	Job string `arg:"" help:"The file that describes the job."`
}

func (c *relayChildCmd) Run(ctx context.Context) error {
	return relayslope.Child(ctx, c.Job, os.Stdin, os.Stdout)
}
