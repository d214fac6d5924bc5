package fleet

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	qt "github.com/frankban/quicktest"
	"github.com/google/uuid"

	"github.com/jaytack/jaytack/client"
	"github.com/jaytack/jaytack/internal/customer/contract"
	"github.com/jaytack/jaytack/internal/role/operator"
	"github.com/jaytack/jaytack/internal/standin/storage"
	"github.com/jaytack/jaytack/internal/standin/upstream"
)

const historyCheckTimeout = 30 * time.Second

// contractOp is one operation of an operator on a contract.
type contractOp struct {
	change       bool
	baseRevision contract.Revision
}

// contractResult is the result that the operator got.
type contractResult struct {
	revision contract.Revision
	change   contract.ChangeID
	lost     bool
}

// contractModel is a register with compare-and-swap.
var contractModel = porcupine.Model{
	Init: func() any { return contract.Revision(0) },
	Step: func(state, input, output any) (bool, any) {
		now, op, out := state.(contract.Revision), input.(contractOp), output.(contractResult)
		switch {
		case !op.change:
			return now == 0 || out.revision == now, out.revision
		case out.lost:
			return now != op.baseRevision, now
		}
		return now == op.baseRevision || now == 0, out.revision
	},
}

// history collects operations with their times.
type history struct {
	mu    sync.Mutex
	start time.Time
	ops   []porcupine.Operation
}

func (h *history) add(clientID int, in, out any, begin, end time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ops = append(h.ops, porcupine.Operation{
		ClientId: clientID, Input: in, Output: out, Call: begin.Sub(h.start).Nanoseconds(), Return: end.Sub(h.start).Nanoseconds(),
	})
}

// TestContractHistory checks promise P9: while operators change and read one contract
// concurrently and answers of the store are lost, the history is linearizable.
func TestContractHistory(t *testing.T) {
	f := newFleet(t, nil)
	h := &history{start: time.Now()}
	var wg sync.WaitGroup
	for i := range 5 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for k := range 6 {
				f.showAndChange(t, h, i, k)
			}
		}()
	}
	wg.Wait()
	f.Store.SetFaults(storage.Faults{})
	f.fillRevisions(t, h)
	qt.Check(t, porcupine.CheckOperationsTimeout(contractModel, h.ops, historyCheckTimeout), qt.Equals, porcupine.Ok)
}

// fillRevisions sets the revisions of accepted changes from the store. An operator
// cannot know the revision if its answer was lost and its change was overwritten.
func (f *Fleet) fillRevisions(t *testing.T, h *history) {
	revisions := make(map[contract.ChangeID]contract.Revision)
	var last contract.Revision
	for _, kv := range f.Store.History("jaytack/contract/Registro") {
		var s contract.Stored
		qt.Assert(t, json.Unmarshal(kv.Value, &s), qt.IsNil)
		qt.Check(t, s.Revision > last, qt.IsTrue, qt.Commentf("revision %d after %d", s.Revision, last))
		last = s.Revision
		revisions[s.Change] = s.Revision
	}
	accepted := 0
	for i, op := range h.ops {
		out := op.Output.(contractResult)
		if out.change == "" {
			continue
		}
		accepted++
		out.revision = revisions[out.change]
		qt.Check(t, out.revision > 0, qt.IsTrue, qt.Commentf("an accepted change is not in the store"))
		h.ops[i].Output = out
	}
	// The history also holds the creation.
	qt.Check(t, len(revisions), qt.Equals, accepted+1)
}

func (f *Fleet) showAndChange(t *testing.T, h *history, i, k int) {
	ctx := context.Background()
	begin := time.Now()
	before, err := f.Operator.Show(ctx, "Registro")
	if err != nil {
		t.Error(err)
		return
	}
	h.add(i, contractOp{}, contractResult{revision: before.Revision}, begin, time.Now())
	if k%2 == 0 {
		f.Store.SetFaults(storage.Faults{LoseAnswers: 1})
	}
	v := f.Contract("Registro")
	v.Limits.BodyBytes = int64(1000 + 10*i + k)
	begin = time.Now()
	e, err := f.Operator.Change(ctx, v, before.Revision)
	switch {
	case err == nil:
		h.add(i, contractOp{true, before.Revision}, contractResult{change: e.Change}, begin, time.Now())
	case errors.Is(err, operator.ErrConflict):
		h.add(i, contractOp{true, before.Revision}, contractResult{lost: true}, begin, time.Now())
	default:
		t.Error(err)
	}
}

// submissionOp is a run at an upstream, or a caller's whole call of Submit.
type submissionOp struct {
	id  string
	run bool
}

// submissionState is the state of one submission in the model.
type submissionState struct {
	runs       int
	toldNotRun bool // a caller got NotRun
}

// submissionModel allows a submission to run at most once and never after a caller got
// NotRun, and allows Answered only after a run.
var submissionModel = porcupine.Model{
	Partition: func(ops []porcupine.Operation) [][]porcupine.Operation {
		byID := make(map[string][]porcupine.Operation)
		for _, op := range ops {
			id := op.Input.(submissionOp).id
			byID[id] = append(byID[id], op)
		}
		var out [][]porcupine.Operation
		for _, p := range byID {
			out = append(out, p)
		}
		return out
	},
	Init: func() any { return submissionState{} },
	Step: func(state, input, output any) (bool, any) {
		s := state.(submissionState)
		if input.(submissionOp).run {
			s.runs++
			return s.runs == 1 && !s.toldNotRun, s
		}
		switch output.(client.Outcome) {
		case client.Answered:
			return s.runs == 1, s
		case client.NotRun:
			s.toldNotRun = true
			return s.runs == 0, s
		}
		return true, s
	},
}

// TestSubmissionHistory checks promises P4 and P5 by history checking: submissions
// continue while agents are killed and replaced, and upstreams shed requests, cut
// connections and answer late.
func TestSubmissionHistory(t *testing.T) {
	f := newFleet(t, map[contract.ServiceName]int{"recuento": 3})
	for _, target := range f.Targets {
		target.Upstream.SetFaults(upstream.Faults{ShedPerMille: 200, CutPerMille: 50, CutBodyPerMille: 50, FewBytesPerMille: 50, LatePerMille: 20, LateMillis: 100})
	}
	h := &history{start: time.Now()}
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for i := range 30 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			f.submitUntilStopped(stop, h, i)
		}()
	}
	for _, target := range f.Targets[:2] {
		time.Sleep(time.Second)
		target.Agent.Close()
		time.Sleep(200 * time.Millisecond)
		qt.Assert(t, f.StartAgent(target), qt.IsNil)
	}
	time.Sleep(time.Second)
	close(stop)
	wg.Wait()
	told := make(map[client.Outcome]int)
	for _, op := range h.ops {
		told[op.Output.(client.Outcome)]++
	}
	for i, target := range f.Targets {
		for _, r := range target.Upstream.Log() {
			h.add(1000+i, submissionOp{r.ID, true}, client.Answered, r.Begin, r.End)
		}
	}
	t.Logf("told %v", told)
	qt.Check(t, told[client.Answered] > 0, qt.IsTrue)
	qt.Check(t, told[client.Unknown] > 0, qt.IsTrue)
	qt.Check(t, porcupine.CheckOperationsTimeout(submissionModel, h.ops, historyCheckTimeout), qt.Equals, porcupine.Ok)
}

func (f *Fleet) submitUntilStopped(stop chan struct{}, h *history, i int) {
	c := client.New(client.Config{Address: f.Address("recuento"), TLS: f.TLS, Deadline: 3 * time.Second, Tries: 2, Patience: 300 * time.Millisecond})
	defer c.Close()
	for {
		select {
		case <-stop:
			return
		default:
		}
		id := uuid.NewString()
		begin := time.Now()
		a, _ := c.Submit(context.Background(), "/counts", []byte("3 head"), http.Header{upstream.HeaderSubmission: {id}})
		h.add(i, submissionOp{id: id}, a.Outcome, begin, time.Now())
	}
}
