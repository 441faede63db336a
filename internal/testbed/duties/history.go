package duties

import (
	"cmp"
	"slices"
	"time"

	"github.com/anishathalye/porcupine"
)

// Claim is a term that a worker began, as the worker wrote it down before its first effect.
type Claim struct {
	Worker  string        `json:"worker"`
	Duty    string        `json:"duty"`
	Epoch   uint64        `json:"epoch"`
	Wished  time.Duration `json:"wished"`  // when the claim was first made
	Granted time.Duration `json:"granted"` // when its holder began
}

// End is how a term ended, as the worker saw it.
type End struct {
	Worker string        `json:"worker"`
	Duty   string        `json:"duty"`
	Epoch  uint64        `json:"epoch"`
	At     time.Duration `json:"at"`
	Lost   bool          `json:"lost"` // its lease was over
}

// Effect is one effect as its receiver saw it.
type Effect struct {
	Worker, Duty string
	Receiver     int
	Epoch        uint64
	Sent         time.Duration // by the worker, which found its lease valid after that moment
	Came, Done   time.Duration
	Taken        bool
}

// History is what one fleet did. Times are of the machine's monotonic clock, which all processes share.
type History struct {
	Claims  []Claim
	Ends    []End
	Effects []Effect
}

// Verdict is what an audit of a history says. It shares no code with the programs that made it.
type Verdict struct {
	Linearizable bool // by porcupine, every duty
	Unknown      bool // it could not be told in time
	OlderTaken   int  // effects that were taken after one with a newer epoch, at one receiver
	Overlaps     int  // effects that were sent under a valid lease after another holder had begun to
	Reused       int  // epochs that were granted twice
}

// state is what the model knows of one duty: which epochs were granted, and the highest that each receiver took.
type state struct {
	granted uint64
	taken   [receivers]uint64
}

// input is one operation: a grant, or an effect at a receiver.
type input struct {
	effect   bool
	receiver int
	epoch    uint64
}

// model is a duty as it ought to be: epochs grow with each grant, a receiver takes an effect if its epoch was granted and none
// newer was taken there, and refuses it only if one was.
var model = porcupine.Model{
	Init: func() any { return state{} },
	Step: func(s, in, out any) (bool, any) {
		x, op := s.(state), in.(input)
		switch {
		case !op.effect:
			if op.epoch <= x.granted {
				return false, x
			}
			x.granted = op.epoch
			return true, x
		case !out.(bool):
			return op.epoch < x.taken[op.receiver], x
		case op.epoch > x.granted || op.epoch < x.taken[op.receiver]:
			return false, x
		}
		x.taken[op.receiver] = op.epoch
		return true, x
	},
}

const checkFor = 30 * time.Second

// Audit judges a history.
func (h *History) Audit() (v Verdict) {
	v.Linearizable = true
	ops := map[string][]porcupine.Operation{}
	clients := map[string]int{}
	client := func(name string) int {
		if _, ok := clients[name]; !ok {
			clients[name] = len(clients)
		}
		return clients[name]
	}
	granted := map[uint64]Claim{}
	for _, c := range h.Claims {
		if o, ok := granted[c.Epoch]; ok && (o.Worker != c.Worker || o.Duty != c.Duty) {
			v.Reused++
		}
		granted[c.Epoch] = c
		ops[c.Duty] = append(ops[c.Duty], porcupine.Operation{ClientId: client(c.Worker), Input: input{epoch: c.Epoch}, Call: int64(c.Wished),
			Output: true, Return: int64(c.Granted)})
	}
	by := map[string][]Effect{}
	for _, e := range h.Effects {
		by[e.Duty] = append(by[e.Duty], e)
		ops[e.Duty] = append(ops[e.Duty], porcupine.Operation{ClientId: client(e.Worker),
			Input: input{effect: true, receiver: e.Receiver, epoch: e.Epoch}, Call: int64(e.Came), Output: e.Taken, Return: int64(e.Done)})
	}
	for _, all := range ops {
		switch porcupine.CheckOperationsTimeout(model, all, checkFor) {
		case porcupine.Illegal:
			v.Linearizable = false
		case porcupine.Unknown:
			v.Unknown = true
		}
	}
	for _, all := range by {
		slices.SortFunc(all, func(a, b Effect) int { return cmp.Compare(a.Done, b.Done) })
		var high [receivers]uint64
		for _, e := range all {
			if e.Taken && e.Epoch < high[e.Receiver] {
				v.OlderTaken++
			}
			if e.Taken {
				high[e.Receiver] = max(high[e.Receiver], e.Epoch)
			}
		}
		slices.SortFunc(all, func(a, b Effect) int { return cmp.Compare(a.Sent, b.Sent) })
		newest := uint64(0)
		for _, e := range all {
			if e.Epoch < newest {
				v.Overlaps++
			}
			newest = max(newest, e.Epoch)
		}
	}
	return v
}
