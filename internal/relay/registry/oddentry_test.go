package registry

import (
	"context"
	"math"
	"net/netip"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"github.com/jaytack/jaytack/internal/process/store"
	"github.com/jaytack/jaytack/internal/relay/flow"
	"github.com/jaytack/jaytack/internal/relay/message"
	"github.com/jaytack/jaytack/internal/relay/polling"
)

// nestedGroups returns an unknown field of a message that holds groups nested to a depth.
func nestedGroups(depth int) []byte {
	var b []byte
	for range depth {
		b = protowire.AppendTag(b, 99, protowire.StartGroupType)
	}
	for range depth {
		b = protowire.AppendTag(b, 99, protowire.EndGroupType)
	}
	return b
}

// TestOddEntryOfAnotherWriterIsPassedOver guards against processes that end, no longer follow
// the list, or take up members that do not exist, since another writer left an entry among
// theirs that no process writes.
func TestOddEntryOfAnotherWriterIsPassedOver(t *testing.T) {
	valid := func(change func(r *message.Record)) []byte {
		r := &message.Record{Instance: 9, Service: "padron", DataCentre: "a", Incarnation: 1, Sequence: 1}
		change(r)
		b, err := proto.Marshal(r)
		qt.Assert(t, err, qt.IsNil)
		return b
	}
	nothing := func(*message.Record) {}
	odd := []struct {
		name, key string
		value     []byte
	}{
		{"Empty", "0.0.0.9", nil},
		{"Text", "0.0.0.9", []byte(`{"service":"padron"}`)},
		{"DeeplyNestedText", "0.0.0.9", []byte(strings.Repeat("[", 20_000))},
		{"DeeplyNestedGroups", "0.0.0.9", append(valid(nothing), nestedGroups(20_000)...)},
		{"OtherKey", "0.0.0.10", valid(nothing)},
		{"PortInKey", "0.0.0.9:99999", valid(nothing)},
		{"NoAddress", "0.0.0.0", valid(func(r *message.Record) { r.Instance = 0 })},
		{"Broadcast", "255.255.255.255", valid(func(r *message.Record) { r.Instance = math.MaxUint32 })},
		{"IncarnationTooLarge", "0.0.0.9", valid(func(r *message.Record) { r.Incarnation = math.MaxUint64 })},
		{"SequenceTooLarge", "0.0.0.9", valid(func(r *message.Record) { r.Sequence = math.MaxUint64 })},
		{"SlotsTooLarge", "0.0.0.9", valid(func(r *message.Record) { r.Slots = math.MaxUint32 })},
		{"UnknownState", "0.0.0.9", valid(func(r *message.Record) { r.State = 99 })},
		{"NoDataCentre", "0.0.0.9", valid(func(r *message.Record) { r.DataCentre = "" })},
		{"LongName", "0.0.0.9", valid(func(r *message.Record) { r.Service = strings.Repeat("s", 1<<16) })},
		{"NoIncarnation", "0.0.0.9", valid(func(r *message.Record) { r.Incarnation = 0 })},
		{"IncarnationFarAhead", "0.0.0.9", valid(func(r *message.Record) { r.Incarnation = 1 << 53 })},
		{"NoLease", "0.0.0.9", valid(nothing)},
	}
	for _, test := range odd {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			f := newFixture(t)
			writer := store.New([]netip.AddrPort{f.address}, 10*time.Second)
			put := store.Put{Key: Prefix + store.Key(test.key), Value: test.value}
			if test.name != "NoLease" {
				lease, err := writer.Grant(context.Background(), time.Minute)
				qt.Assert(t, err, qt.IsNil)
				put.Lease = lease
			}
			_, _, err := writer.Commit(context.Background(), nil, []store.Put{put})
			qt.Assert(t, err, qt.IsNil)
			f.start(1, 1)
			f.start(2, 1)
			f.waitForOther(1, 2, 5*time.Second)
			f.waitForOther(2, 1, 5*time.Second)
		})
	}
}

// TestOddOwnEntryRaisesNoIncarnation guards against an incarnation that wraps around, since
// another writer has left one entry under the key of the process: the others would then
// take its reports for old ones.
func TestOddOwnEntryRaisesNoIncarnation(t *testing.T) {
	t.Parallel()
	f := newFixture(t)
	value, err := proto.Marshal(&message.Record{Instance: 1, Service: "padron", DataCentre: "a", Incarnation: math.MaxUint64})
	qt.Assert(t, err, qt.IsNil)
	_, _, err = f.client().Commit(context.Background(), nil, []store.Put{{Key: Prefix + store.Key(flow.IP(1).String()), Value: value}})
	qt.Assert(t, err, qt.IsNil)
	f.start(1, 5)
	f.waitUntil(5*time.Second, func() bool {
		rec := f.entry(1)
		return rec != nil && rec.Incarnation == 5
	})
	f.mu.Lock()
	defer f.mu.Unlock()
	qt.Assert(t, f.ownIncarnations, qt.HasLen, 0)
}

// checkpointFlow returns a flow of a checkpoint.
func checkpointFlow(lastAck uint32) *message.CheckpointFlow {
	id := flow.ID{Caller: flow.Endpoint{IP: 1, Port: 1025}, Address: flow.Endpoint{IP: 9, Port: 443}}
	return &message.CheckpointFlow{Flow: message.FlowOf(id), LastAck: lastAck}
}

// TestOddCheckpointIsPassedOver guards against the reset of open flows by a checkpoint that another
// writer has left: without the start of the upstream every heartbeat seems to be of a later one.
func TestOddCheckpointIsPassedOver(t *testing.T) {
	tests := []struct {
		name  string
		lease bool
		odd   *message.Checkpoint
	}{
		{"NoStart", true, &message.Checkpoint{Flows: []*message.CheckpointFlow{checkpointFlow(9)}}},
		{"NegativeStart", true, &message.Checkpoint{UpstreamBorn: -1, Flows: []*message.CheckpointFlow{checkpointFlow(9)}}},
		{"NoAcknowledgement", true, &message.Checkpoint{UpstreamBorn: 7, Flows: []*message.CheckpointFlow{checkpointFlow(0)}}},
		{"NoFlow", true, &message.Checkpoint{UpstreamBorn: 7, Flows: []*message.CheckpointFlow{{LastAck: 9}}}},
		{"NoLease", false, &message.Checkpoint{UpstreamBorn: 7, Flows: []*message.CheckpointFlow{checkpointFlow(9)}}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			f := newFixture(t)
			first := f.start(1, 1)
			f.waitUntil(time.Second, func() bool { return f.entry(1) != nil })
			first.Close()
			value, err := proto.Marshal(test.odd)
			qt.Assert(t, err, qt.IsNil)
			put := store.Put{Key: CheckpointPrefix + store.Key(flow.IP(1).String()), Value: value}
			if test.lease {
				put.Lease, err = f.client().Grant(context.Background(), time.Minute)
				qt.Assert(t, err, qt.IsNil)
			}
			_, _, err = f.client().Commit(context.Background(), nil, []store.Put{put})
			qt.Assert(t, err, qt.IsNil)
			f.start(1, 2)
			f.waitUntil(time.Second, func() bool {
				f.mu.Lock()
				defer f.mu.Unlock()
				return f.ownIncarnations[1] == 1
			})
			time.Sleep(300 * time.Millisecond)
			qt.Assert(t, f.restoredCheckpoints(), qt.HasLen, 0)
		})
	}
}

// TestOverwrittenEntryIsReplaced guards against a process that others no longer know as it is,
// since another writer has put an entry in place of its own while it runs.
func TestOverwrittenEntryIsReplaced(t *testing.T) {
	t.Parallel()
	f := newFixture(t)
	f.start(1, 5)
	f.waitUntil(time.Second, func() bool { return f.entry(1) != nil })
	value, err := proto.Marshal(&message.Record{Instance: 1, Service: "recuento", DataCentre: "a", Incarnation: 900, State: message.State_StateGone})
	qt.Assert(t, err, qt.IsNil)
	lease, err := f.client().Grant(context.Background(), time.Minute)
	qt.Assert(t, err, qt.IsNil)
	_, _, err = f.client().Commit(context.Background(), nil, []store.Put{{Key: Prefix + store.Key(flow.IP(1).String()), Value: value, Lease: lease}})
	qt.Assert(t, err, qt.IsNil)
	f.waitUntil(polling.ReadIntervalMax+2*time.Second, func() bool {
		rec := f.entry(1)
		return rec != nil && rec.Incarnation == 5
	})
}
