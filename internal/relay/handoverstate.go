package relay

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"iter"
	"slices"
	"time"

	"onyxroad.dev/onyxroad/internal/clock"
	"onyxroad.dev/onyxroad/policy"
)

// The state that a process hands over in addition to the log: a JSON object with the fields of handoverState. It is written and read
// element by element, because with a long list a copy of it is as large as what both processes need besides.

// handoverState is the state as the new process receives it.
type handoverState struct {
	Began    time.Time // zero of the module's clock on the wall clock; used if Clock is not comparable
	Clock    clockReading
	LastID   uint32
	Members  []json.RawMessage // the list's entries
	Seen     []string          // ids of all endpoints that the list has ever contained
	Memories []json.RawMessage // a policy.RouteState each
	Out      []outstandingAttempt
}

// stateWriter writes a JSON object field by field. The first error sticks in the buffer.
type stateWriter struct {
	*bufio.Writer
	encoder *json.Encoder
	fields  int
}

func newStateWriter(w io.Writer) *stateWriter {
	buffered := bufio.NewWriter(w)
	return &stateWriter{Writer: buffered, encoder: json.NewEncoder(buffered)}
}

// name begins a field.
func (w *stateWriter) name(name string) {
	separator := ","
	if w.fields == 0 {
		separator = "{"
	}
	w.fields++
	fmt.Fprintf(w, "%s%q:", separator, name)
}

// field writes a field.
func (w *stateWriter) field(name string, value any) error {
	w.name(name)
	return w.encoder.Encode(value)
}

// writeArray writes a field whose value is an array.
func writeArray[T any](w *stateWriter, name string, elements iter.Seq[T]) error {
	w.name(name)
	separator := "["
	for element := range elements {
		w.WriteString(separator)
		if err := w.encoder.Encode(element); err != nil {
			return err
		}
		separator = ","
	}
	if separator == "[" {
		w.WriteString("[")
	}
	_, err := w.WriteString("]")
	return err
}

// end ends the object and writes what is buffered.
func (w *stateWriter) end() error {
	w.WriteString("}\n")
	return w.Flush()
}

// sendState writes the state that the new process needs in addition to the log.
func (r *Relay) sendState(l *handoverLink) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.SetWriteDeadline(clock.Now().Add(frameWriteTimeout))
	w := newStateWriter(l.UnixConn)
	for _, write := range []func() error{
		func() error { return w.field("Began", r.started) },
		func() error { return w.field("Clock", r.readClock()) },
		func() error { return w.field("LastID", r.lastID) },
		func() error { return writeArray(w, "Members", r.members()) },
		func() error { return writeArray(w, "Seen", slices.Values(r.exclusions.seenOrder)) },
		func() error { return writeArray(w, "Memories", r.sender.EachRouteState()) },
		func() error { return w.field("Out", r.outstandingAttempts()) },
	} {
		if err := write(); err != nil {
			return err
		}
	}
	return w.end()
}

// members are the entries of the list.
func (r *Relay) members() iter.Seq[member] {
	return func(yield func(member) bool) {
		for _, t := range r.routes {
			cell, state := t.Destination, "draining"
			if t.InService {
				state = "ready"
			}
			entry := member{
				ID: t.Route, Addr: t.addr, Zone: r.cfg.Zones[t.Zone], Kind: r.cfg.Kinds[t.Kind], Cell: &cell, State: state, Weight: t.Weight,
			}
			if !yield(entry) {
				return
			}
		}
	}
}

// readState reads a state. Fields of later versions are ignored.
func readState(decoder *json.Decoder) (state handoverState, err error) {
	if err := expectDelim(decoder, '{'); err != nil {
		return state, err
	}
	for decoder.More() {
		name, err := decoder.Token()
		if err != nil {
			return state, err
		}
		switch name {
		case "Began":
			err = decoder.Decode(&state.Began)
		case "Clock":
			err = decoder.Decode(&state.Clock)
		case "LastID":
			err = decoder.Decode(&state.LastID)
		case "Members":
			state.Members, err = readArray[json.RawMessage](decoder)
		case "Seen":
			state.Seen, err = readArray[string](decoder)
		case "Memories":
			state.Memories, err = readArray[json.RawMessage](decoder)
		case "Out":
			state.Out, err = readArray[outstandingAttempt](decoder)
		default:
			var ignored json.RawMessage
			err = decoder.Decode(&ignored)
		}
		if err != nil {
			return state, err
		}
	}
	return state, expectDelim(decoder, '}')
}

// readArray reads an array, or null.
func readArray[T any](decoder *json.Decoder) (elements []T, err error) {
	begin, err := decoder.Token()
	if err != nil || begin == nil {
		return nil, err
	}
	if begin != json.Delim('[') {
		return nil, fmt.Errorf("relay: %v in place of an array", begin)
	}
	for decoder.More() {
		var element T
		if err := decoder.Decode(&element); err != nil {
			return nil, err
		}
		elements = append(elements, element)
	}
	return elements, expectDelim(decoder, ']')
}

// expectDelim reads a delimiter.
func expectDelim(decoder *json.Decoder, want json.Delim) error {
	got, err := decoder.Token()
	if err == nil && got != want {
		err = fmt.Errorf("relay: %v in place of %v", got, want)
	}
	return err
}

// loadRouteStates gives the module what the old process knew of the routes.
func (r *Relay) loadRouteStates(encoded []json.RawMessage) {
	r.sender.LoadEachRouteState(func(yield func(policy.RouteState) bool) {
		for _, text := range encoded {
			var state policy.RouteState
			if err := json.Unmarshal(text, &state); err != nil {
				r.log.Warn("unreadable state of a route", "state", string(text), "err", err)
				continue
			}
			if !yield(state) {
				return
			}
		}
	})
}
