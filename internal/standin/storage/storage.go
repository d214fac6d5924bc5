// Package storage is a stand-in for the platform's key-value store.
//
// It serves the parts of the etcd v3 JSON gateway that jaytack uses: Range, Txn
// with comparisons of mod revisions, leases, and Watch. It keeps all data in
// memory, can inject faults and can be put back to an earlier copy of itself.
//
// # Usage
//
//	s := storage.New(time.Now)
//	srv := http.Server{Handler: s.Handler()}
//	s.SetFaults(storage.Faults{Down: true})
//
// POST /standin/faults also sets the faults. GET /standin/calls returns the number of
// calls served.
package storage

import (
	"bytes"
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"sort"
	"sync"
	"time"
)

// Faults are the injected faults.
type Faults struct {
	// Down makes every call fail before it takes effect and ends watches.
	Down bool
	// DelayMillis is the delay before each call takes effect.
	DelayMillis int
	// LoseAnswers is the number of further writes that take effect but whose
	// connection is closed without an answer.
	LoseAnswers int
	// CutWatches ends all watches, and new ones at once.
	CutWatches bool
}

// Calls is the number of calls served, by type.
type Calls struct {
	Reads, Writes, Watches int
}

type storedValue struct {
	data     []byte
	revision int64
	lease    int64
}

type lease struct {
	ttl     time.Duration
	expires time.Time
}

type event struct {
	revision int64
	key      string
	value    []byte
	deleted  bool
}

// Store is the key-value store. It is safe for concurrent use.
type Store struct {
	now func() time.Time

	mu             sync.Mutex
	historyChanged *sync.Cond
	faults         Faults
	calls          Calls
	revision       int64
	values         map[string]storedValue
	leases         map[int64]*lease
	lastLeaseID    int64
	history        []event
	// restores counts the calls of Restore.
	restores int
}

// New returns an empty store that uses now as its clock.
func New(now func() time.Time) *Store {
	s := &Store{now: now, revision: 1, values: make(map[string]storedValue), leases: make(map[int64]*lease)}
	s.historyChanged = sync.NewCond(&s.mu)
	return s
}

// SetFaults replaces the faults.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.historyChanged.Broadcast()
}

// ExpireAllLeases ends all leases and deletes their keys.
func (s *Store) ExpireAllLeases() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id := range s.leases {
		s.endLease(id)
	}
	s.historyChanged.Broadcast()
}

// Copy is the content of a store at one moment.
type Copy struct {
	revision, lastLeaseID int64
	values                map[string]storedValue
	leases                map[int64]*lease
}

// Copy returns a copy of the store's content.
func (s *Store) Copy() Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Copy{s.revision, s.lastLeaseID, maps.Clone(s.values), maps.Clone(s.leases)}
}

// Restore puts the store back to an earlier copy, as a restart from a backup does: later
// writes are gone, revisions and leases are given out again, and all watches end.
func (s *Store) Restore(c Copy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision, s.lastLeaseID, s.values, s.leases = c.revision, c.lastLeaseID, maps.Clone(c.values), maps.Clone(c.leases)
	s.history = slices.DeleteFunc(s.history, func(e event) bool { return e.revision > c.revision })
	s.restores++
	s.historyChanged.Broadcast()
}

// Calls returns the number of calls served so far.
func (s *Store) Calls() Calls {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Version is one value of a key in its history.
type Version struct {
	Value       []byte
	ModRevision int64
}

// History returns all values written to a key, oldest first.
func (s *Store) History(key string) []Version {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []Version
	for _, e := range s.history {
		if e.key == key && !e.deleted {
			out = append(out, Version{e.value, e.revision})
		}
	}
	return out
}

// Handler returns the HTTP handler of the gateway and the stand-in's own endpoints.
func (s *Store) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v3/kv/range", handleCall(s, false, s.rangeKeys))
	mux.HandleFunc("POST /v3/kv/txn", handleCall(s, true, s.txn))
	mux.HandleFunc("POST /v3/lease/grant", handleCall(s, true, s.grant))
	mux.HandleFunc("POST /v3/lease/keepalive", handleCall(s, true, s.keepAlive))
	mux.HandleFunc("POST /v3/lease/revoke", handleCall(s, true, s.revoke))
	mux.HandleFunc("POST /v3/watch", s.watch)
	mux.HandleFunc("GET /standin/calls", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Calls()) })
	mux.HandleFunc("POST /standin/faults", func(w http.ResponseWriter, r *http.Request) {
		var f Faults
		if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		s.SetFaults(f)
	})
	return mux
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

// handleCall returns a handler that runs a call under the lock and applies the faults.
func handleCall[Req, Res any](s *Store, write bool, call func(Req) Res) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var req Req
		if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		s.mu.Lock()
		delay, down := s.faults.DelayMillis, s.faults.Down
		s.mu.Unlock()
		time.Sleep(time.Duration(delay) * time.Millisecond)
		if down {
			http.Error(w, "store is down", http.StatusServiceUnavailable)
			return
		}
		s.mu.Lock()
		s.expireLeases()
		res := call(req)
		lost := write && s.faults.LoseAnswers > 0
		if lost {
			s.faults.LoseAnswers--
		}
		if write {
			s.calls.Writes++
		} else {
			s.calls.Reads++
		}
		s.mu.Unlock()
		if lost {
			panic(http.ErrAbortHandler)
		}
		writeJSON(w, res)
	}
}

func (s *Store) put(key string, data []byte, l int64) {
	s.values[key] = storedValue{data, s.revision, l}
	s.history = append(s.history, event{s.revision, key, data, false})
}

func (s *Store) remove(key string) {
	delete(s.values, key)
	s.history = append(s.history, event{s.revision, key, nil, true})
}

// expireLeases ends expired leases.
func (s *Store) expireLeases() {
	now := s.now()
	for id, l := range s.leases {
		if now.After(l.expires) {
			s.endLease(id)
		}
	}
}

func (s *Store) endLease(id int64) {
	delete(s.leases, id)
	s.revision++
	for k, v := range s.values {
		if v.lease == id {
			s.remove(k)
		}
	}
	s.historyChanged.Broadcast()
}

func (s *Store) rangeKeys(req rangeRequest) rangeResponse {
	res := rangeResponse{Header: header{s.revision}}
	for k, v := range s.values {
		if !inRange([]byte(k), req.Key, req.RangeEnd) || v.revision < req.MinModRevision {
			continue
		}
		kv := keyValue{[]byte(k), v.data, v.revision, v.lease}
		if req.KeysOnly {
			kv.Value = nil
		}
		res.Kvs = append(res.Kvs, kv)
	}
	sort.Slice(res.Kvs, func(i, j int) bool { return bytes.Compare(res.Kvs[i].Key, res.Kvs[j].Key) < 0 })
	return res
}

func inRange(k, from, end []byte) bool {
	if len(end) == 0 {
		return bytes.Equal(k, from)
	}
	return bytes.Compare(k, from) >= 0 && bytes.Compare(k, end) < 0
}

func (s *Store) txn(req txnRequest) txnResponse {
	for _, c := range req.Compare {
		if s.values[string(c.Key)].revision != c.ModRevision {
			return txnResponse{Header: header{s.revision}}
		}
	}
	for _, op := range req.Success {
		if l := op.RequestPut.Lease; l != 0 && s.leases[l] == nil {
			return txnResponse{Header: header{s.revision}}
		}
	}
	s.revision++
	for _, op := range req.Success {
		s.put(string(op.RequestPut.Key), op.RequestPut.Value, op.RequestPut.Lease)
	}
	s.historyChanged.Broadcast()
	return txnResponse{Header: header{s.revision}, Succeeded: true}
}

func (s *Store) grant(req leaseRequest) leaseResponse {
	s.lastLeaseID++
	ttl := time.Duration(req.TTL) * time.Second
	s.leases[s.lastLeaseID] = &lease{ttl, s.now().Add(ttl)}
	return leaseResponse{ID: s.lastLeaseID, TTL: req.TTL}
}

func (s *Store) keepAlive(req leaseRequest) keepAliveResponse {
	l := s.leases[req.ID]
	if l == nil {
		return keepAliveResponse{}
	}
	l.expires = s.now().Add(l.ttl)
	return keepAliveResponse{leaseResponse{req.ID, int64(l.ttl / time.Second)}}
}

func (s *Store) revoke(req leaseRequest) leaseResponse {
	if s.leases[req.ID] != nil {
		s.endLease(req.ID)
	}
	return leaseResponse{}
}
