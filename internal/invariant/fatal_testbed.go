//go:build testbed

package invariant

// violationHook ends the process: the testbed treats that as a crash, and the last line of the log names the violation.
var violationHook = func(text string) { panic(text) }
