// Package storage is a stand-in for the platform's key-value service.
//
// It serves the parts of the etcd v3 JSON gateway that jaytack uses: Range, Txn
// with comparisons of mod revisions, leases, and Watch. It keeps everything in
// memory and can be told to fail.
//
// # Usage
//
//	s := storage.New(time.Now)
//	srv := http.Server{Handler: s.Handler()}
//	s.SetFaults(storage.Faults{Down: true})
//
// Faults are also set by POST /standin/faults and read by GET. GET
// /standin/calls returns the number of calls served.
package storage

import (
	"bytes"
	"encoding/json"
	"net/http"
	"sort"
	"sync"
	"time"
)

// Faults is how the stand-in fails.
type Faults struct {
	// Down makes every call fail before it takes effect and ends watches.
	Down bool
	// DelayMillis is how long each call waits before it takes effect.
	DelayMillis int
	// LoseAnswers is the number of coming writes that take effect and whose
	// connection is then cut.
	LoseAnswers int
	// CutWatches ends watches and refuses new ones.
	CutWatches bool
}

// Calls counts the calls that were served.
type Calls struct {
	Reads, Writes, Watches int
}

type value struct {
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

// Store is the service. It may be shared.
type Store struct {
	now func() time.Time

	mu       sync.Mutex
	changed  *sync.Cond
	faults   Faults
	calls    Calls
	revision int64
	values   map[string]value
	leases   map[int64]*lease
	nextID   int64
	history  []event
}

// New returns an empty store that reads the time from now.
func New(now func() time.Time) *Store {
	s := &Store{now: now, revision: 1, values: make(map[string]value), leases: make(map[int64]*lease)}
	s.changed = sync.NewCond(&s.mu)
	return s
}

// SetFaults replaces the faults.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.changed.Broadcast()
}

// ExpireAllLeases ends all leases and removes their keys.
func (s *Store) ExpireAllLeases() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id := range s.leases {
		s.endLease(id)
	}
	s.changed.Broadcast()
}

// Calls returns the number of calls served so far.
func (s *Store) Calls() Calls {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Version is one value that a key has had.
type Version struct {
	Value       []byte
	ModRevision int64
}

// History returns every value that a key has had, oldest first.
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

// Handler returns the gateway.
func (s *Store) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v3/kv/range", serve(s, false, s.list))
	mux.HandleFunc("POST /v3/kv/txn", serve(s, true, s.txn))
	mux.HandleFunc("POST /v3/lease/grant", serve(s, true, s.grant))
	mux.HandleFunc("POST /v3/lease/keepalive", serve(s, true, s.keepAlive))
	mux.HandleFunc("POST /v3/lease/revoke", serve(s, true, s.revoke))
	mux.HandleFunc("POST /v3/watch", s.watch)
	mux.HandleFunc("GET /standin/calls", func(w http.ResponseWriter, _ *http.Request) { reply(w, s.Calls()) })
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

func reply(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

// serve wraps a call with the faults and the lock.
func serve[Req, Res any](s *Store, write bool, f func(Req) Res) http.HandlerFunc {
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
		s.expire()
		res := f(req)
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
		reply(w, res)
	}
}

func (s *Store) put(key string, data []byte, l int64) {
	s.values[key] = value{data, s.revision, l}
	s.history = append(s.history, event{s.revision, key, data, false})
}

func (s *Store) remove(key string) {
	delete(s.values, key)
	s.history = append(s.history, event{s.revision, key, nil, true})
}

// expire ends leases whose time has passed.
func (s *Store) expire() {
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
	s.changed.Broadcast()
}

func (s *Store) list(req rangeRequest) rangeResponse {
	res := rangeResponse{Header: header{s.revision}}
	for k, v := range s.values {
		if !within([]byte(k), req.Key, req.RangeEnd) || v.revision < req.MinModRevision {
			continue
		}
		kv := keyValue{[]byte(k), v.data, v.revision}
		if req.KeysOnly {
			kv.Value = nil
		}
		res.Kvs = append(res.Kvs, kv)
	}
	sort.Slice(res.Kvs, func(i, j int) bool { return bytes.Compare(res.Kvs[i].Key, res.Kvs[j].Key) < 0 })
	return res
}

func within(k, from, end []byte) bool {
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
	s.changed.Broadcast()
	return txnResponse{Header: header{s.revision}, Succeeded: true}
}

func (s *Store) grant(req leaseRequest) leaseResponse {
	s.nextID++
	ttl := time.Duration(req.TTL) * time.Second
	s.leases[s.nextID] = &lease{ttl, s.now().Add(ttl)}
	return leaseResponse{ID: s.nextID, TTL: req.TTL}
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
