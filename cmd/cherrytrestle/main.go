// Command cherrytrestle is the relay: it takes messages from clients and delivers each by a call to a host of
// its destination. The environment tells it what the platform knows, see package relay; a settings file turns on what is
// off without one, see package settings.
package main

import "onyxroad.dev/onyxroad/internal/program"

func main() { program.Main(program.Components{}) }
