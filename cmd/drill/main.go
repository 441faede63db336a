// Command drill connects the decision module to the simulator. It reads batches of events from standard input, passes
// them to one policy.Sender per simulated relay, and writes the resulting actions to standard output.
package main

import (
	"fmt"
	"io"
	"os"
	"time"

	"onyxroad.dev/onyxroad/internal/wire"
	"onyxroad.dev/onyxroad/policy"
)

func main() {
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "drill:", err)
		os.Exit(1)
	}
}

// instance is a simulated relay: its Sender and its events in the current batch.
type instance struct {
	number int
	sender *policy.Sender
	events []policy.Event
	active bool // has items in the current batch
}

func run(in io.Reader, out io.Writer) error {
	r, w := wire.NewReader(in), wire.NewWriter(out)
	instances := map[int]*instance{}
	var b wire.Batch
	var active []*instance
	for {
		if err := r.Next(&b); err == io.EOF {
			return nil
		} else if err != nil {
			return err
		}
		active = active[:0]
		for i := range b.Items {
			it := &b.Items[i]
			inst := instances[it.Instance]
			if inst == nil {
				inst = &instance{number: it.Instance}
				instances[it.Instance] = inst
			}
			if !inst.active {
				inst.active = true
				active = append(active, inst)
			}
			switch it.Kind {
			case wire.Start:
				s, err := policy.New(it.Settings, it.Seed)
				if err != nil {
					return fmt.Errorf("instance %d: %v", it.Instance, err)
				}
				inst.sender, inst.events = s, inst.events[:0]
			case wire.Stop:
				inst.sender, inst.events = nil, inst.events[:0]
			case wire.Event:
				inst.events = append(inst.events, it.Event)
			}
		}
		for _, n := range active {
			n.active = false
			if n.sender != nil {
				step(w, n, b.Now)
			}
			n.events = n.events[:0]
		}
		if err := w.End(b.Number); err != nil {
			return err
		}
	}
}

// step runs the decision module of one instance. A panic is reported to the simulator and ends the instance.
func step(w *wire.Writer, inst *instance, now time.Duration) {
	defer func() {
		if p := recover(); p != nil {
			w.Crashed(inst.number, fmt.Sprint(p))
			inst.sender = nil
		}
	}()
	w.Actions(inst.number, inst.sender.Step(now, inst.events))
}
