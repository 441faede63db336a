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
	Requested  time.Duration `json:"wished"`  // when the claim was first made
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
	Received, Processed   time.Duration
	Accepted        bool
}

// History is what one fleet did. Times are of the machine's monotonic clock, which all processes share.
type History struct {
	Claims  []Claim
	Ends    []End
	Effects []Effect
}

// AuditResult is what an audit of a history says. It shares no code with the programs that made it.
type AuditResult struct {
	Linearizable bool // by porcupine, every duty
	Unknown      bool // it could not be told in time
	StaleAccepted   int  // effects that were taken after one with a newer epoch, at one receiver
	LeaseOverlaps     int  // effects that were sent under a valid lease after another holder had begun to
	ReusedEpochs       int  // epochs that were granted twice
}

// dutyState is what the model knows of one duty: which epochs were granted, and the highest that each receiver took.
type dutyState struct {
	granted uint64
	accepted   [receiversPerFleet]uint64
}

// operation is one operation: a grant, or an effect at a receiver.
type operation struct {
	effect   bool
	receiver int
	epoch    uint64
}

// model is a duty as it ought to be: epochs grow with each grant, a receiver takes an effect if its epoch was granted and none
// newer was taken there, and refuses it only if one was.
var model = porcupine.Model{
	Init: func() any { return dutyState{} },
	Step: func(s, in, out any) (bool, any) {
		x, op := s.(dutyState), in.(operation)
		switch {
		case !op.effect:
			if op.epoch <= x.granted {
				return false, x
			}
			x.granted = op.epoch
			return true, x
		case !out.(bool):
			return op.epoch < x.accepted[op.receiver], x
		case op.epoch > x.granted || op.epoch < x.accepted[op.receiver]:
			return false, x
		}
		x.accepted[op.receiver] = op.epoch
		return true, x
	},
}

const checkTimeout = 30 * time.Second

// Audit judges a history.
func (h *History) Audit() (result AuditResult) {
	result.Linearizable = true
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
			result.ReusedEpochs++
		}
		granted[c.Epoch] = c
		ops[c.Duty] = append(ops[c.Duty], porcupine.Operation{ClientId: client(c.Worker), Input: operation{epoch: c.Epoch}, Call: int64(c.Requested),
			Output: true, Return: int64(c.Granted)})
	}
	effectsByDuty := map[string][]Effect{}
	for _, e := range h.Effects {
		effectsByDuty[e.Duty] = append(effectsByDuty[e.Duty], e)
		ops[e.Duty] = append(ops[e.Duty], porcupine.Operation{ClientId: client(e.Worker),
			Input: operation{effect: true, receiver: e.Receiver, epoch: e.Epoch}, Call: int64(e.Received), Output: e.Accepted, Return: int64(e.Processed)})
	}
	for _, all := range ops {
		switch porcupine.CheckOperationsTimeout(model, all, checkTimeout) {
		case porcupine.Illegal:
			result.Linearizable = false
		case porcupine.Unknown:
			result.Unknown = true
		}
	}
	for _, all := range effectsByDuty {
		slices.SortFunc(all, func(a, b Effect) int { return cmp.Compare(a.Processed, b.Processed) })
		var highest [receiversPerFleet]uint64
		for _, e := range all {
			if e.Accepted && e.Epoch < highest[e.Receiver] {
				result.StaleAccepted++
			}
			if e.Accepted {
				highest[e.Receiver] = max(highest[e.Receiver], e.Epoch)
			}
		}
		slices.SortFunc(all, func(a, b Effect) int { return cmp.Compare(a.Sent, b.Sent) })
		newest := uint64(0)
		for _, e := range all {
			if e.Epoch < newest {
				result.LeaseOverlaps++
			}
			newest = max(newest, e.Epoch)
		}
	}
	return result
}
