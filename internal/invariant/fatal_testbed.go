//go:build testbed

package invariant

// violationHook ends the process: the testbed's judge takes that for a crash, and the log's last line says why.
var violationHook = func(text string) { panic(text) }
