// Command cherrytrestle-fleet is the relay with what it takes to be a member of its fleet. It is started by cherrytrestle in
// its own place where the settings name a fleet, so that a relay by itself does not pay for the library at its start.
package main

import (
	"onyxroad.dev/onyxroad/internal/membership/gossip"
	"onyxroad.dev/onyxroad/internal/program"
)

func main() { program.Main(gossip.Join) }
