// Command cherrytrestle is the relay: it accepts messages from clients and delivers each by a call to a host of its
// destination. The platform configures it by environment variables, see package relay; an optional settings file enables
// features that are off by default, see package settings.
package main

import "onyxroad.dev/onyxroad/internal/program"

func main() { program.Main(program.Components{}) }
