package duties

import (
	"cmp"
	"slices"
	"time"

	"github.com/anishathalye/porcupine"
)

// Claim is the beginning of a term. The worker records it before the term's first effect.
type Claim struct {
	Worker    string        `json:"worker"`
	Duty      string        `json:"duty"`
	Epoch     uint64        `json:"epoch"`
	Requested time.Duration `json:"wished"`  // when the claim was first made
	Granted   time.Duration `json:"granted"` // when the worker learned of the grant
}

// End is the end of a term as the worker recorded it.
type End struct {
	Worker string        `json:"worker"`
	Duty   string        `json:"duty"`
	Epoch  uint64        `json:"epoch"`
	At     time.Duration `json:"at"`
	Lost   bool          `json:"lost"` // the lease expired
}

// Effect is an effect as its receiver recorded it.
type Effect struct {
	Worker, Duty        string
	Receiver            int
	Epoch               uint64
	Sent                time.Duration // by the worker, which checked its lease after taking this time
	Received, Processed time.Duration
	Accepted            bool
}

// History is everything that one fleet recorded. Times are from the machine's monotonic clock, which all processes share.
type History struct {
	Claims  []Claim
	Ends    []End
	Effects []Effect
}

// AuditResult is the result of auditing a history. The audit shares no code with the programs under test.
type AuditResult struct {
	Linearizable  bool // porcupine's verdict over all duties
	Unknown       bool // porcupine reached checkTimeout
	StaleAccepted int  // effects accepted after one with a newer epoch at the same receiver
	LeaseOverlaps int  // effects sent under a valid lease after a newer holder had sent one
	ReusedEpochs  int  // epochs granted more than once
}

// dutyState is the model's state of one duty: the highest epoch granted, and the highest that each receiver accepted.
type dutyState struct {
	granted  uint64
	accepted [receiversPerFleet]uint64
}

// operation is the input of a step of the model: a grant, or an effect at a receiver.
type operation struct {
	effect   bool
	receiver int
	epoch    uint64
}

// model is the sequential specification of a duty: epochs grow with each grant; a receiver accepts an effect if its epoch was
// granted and it has accepted none with a newer one, and refuses it only if it has.
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

// Audit checks a history against the model and counts violations of the rules for epochs and leases.
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
