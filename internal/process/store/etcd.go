package store

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
)

// Messages of the etcd v3 JSON gateway, which encodes bytes as base64 and 64-bit
// integers as strings.

type rangeRequest struct {
	Key            []byte `json:"key"`
	RangeEnd       []byte `json:"range_end,omitempty"`
	KeysOnly       bool   `json:"keys_only,omitempty"`
	MinModRevision int64  `json:"min_mod_revision,string,omitempty"`
}

type wireKV struct {
	Key         []byte `json:"key"`
	Value       []byte `json:"value"`
	ModRevision int64  `json:"mod_revision,string"`
	Lease       int64  `json:"lease,string"`
}

func (w wireKV) toKV() KV {
	return KV{Key: Key(w.Key), Value: w.Value, Revision: Revision(w.ModRevision), Lease: LeaseID(w.Lease)}
}

type header struct {
	Revision int64 `json:"revision,string"`
}

type rangeResponse struct {
	Header header   `json:"header"`
	Kvs    []wireKV `json:"kvs"`
}

type wireCompare struct {
	Key         []byte `json:"key"`
	Target      string `json:"target"`
	Result      string `json:"result"`
	ModRevision int64  `json:"mod_revision,string"`
}

type putRequest struct {
	Key   []byte `json:"key"`
	Value []byte `json:"value"`
	Lease int64  `json:"lease,string,omitempty"`
}

type requestOp struct {
	RequestPut *putRequest `json:"request_put,omitempty"`
}

type txnRequest struct {
	Compare []wireCompare `json:"compare"`
	Success []requestOp   `json:"success"`
}

type txnResponse struct {
	Header    header `json:"header"`
	Succeeded bool   `json:"succeeded"`
}

type leaseRequest struct {
	TTL int64 `json:"TTL,string,omitempty"`
	ID  int64 `json:"ID,string,omitempty"`
}

type leaseResponse struct {
	ID  int64 `json:"ID,string"`
	TTL int64 `json:"TTL,string"`
}

type keepAliveResponse struct {
	Result struct {
		TTL int64 `json:"TTL,string"`
	} `json:"result"`
}

type watchCreate struct {
	Key           []byte `json:"key"`
	RangeEnd      []byte `json:"range_end"`
	StartRevision int64  `json:"start_revision,string"`
}

type watchRequest struct {
	Create watchCreate `json:"create_request"`
}

type watchEvent struct {
	Type string `json:"type,omitempty"`
	Kv   wireKV `json:"kv"`
}

type watchResponse struct {
	Result struct {
		Header          header       `json:"header"`
		Events          []watchEvent `json:"events"`
		CompactRevision int64        `json:"compact_revision,string"`
	} `json:"result"`
}

// prefixEnd returns the end of the key range that covers a prefix; a single zero
// byte means no upper bound.
func prefixEnd(prefix Key) []byte {
	end := []byte(prefix)
	for i := len(end) - 1; i >= 0; i-- {
		if end[i] < 0xff {
			end[i]++
			return end[:i+1]
		}
	}
	return []byte{0}
}

// etcdGateway returns the gateway for the etcd v3 JSON API.
func etcdGateway() Gateway {
	return Gateway{
		Range: etcdRange, Commit: etcdCommit, Grant: etcdGrant, KeepAlive: etcdKeepAlive, Revoke: etcdRevoke, Watch: etcdWatch,
	}
}

func etcdRange(ctx context.Context, t *Transport, r Range) ([]KV, Revision, error) {
	req := rangeRequest{Key: []byte(r.Key), KeysOnly: r.KeysOnly}
	if r.Prefix {
		req.RangeEnd = prefixEnd(r.Key)
	}
	if r.After > 0 {
		req.MinModRevision = int64(r.After) + 1
	}
	var res rangeResponse
	if err := t.Call(ctx, http.MethodPost, "/v3/kv/range", req, &res); err != nil {
		return nil, 0, err
	}
	out := make([]KV, len(res.Kvs))
	for i, kv := range res.Kvs {
		out[i] = kv.toKV()
	}
	return out, Revision(res.Header.Revision), nil
}

func etcdCommit(ctx context.Context, t *Transport, conditions []Compare, puts []Put) (Revision, bool, error) {
	var req txnRequest
	for _, cmp := range conditions {
		req.Compare = append(req.Compare, wireCompare{
			Key: []byte(cmp.Key), Target: "MOD", Result: "EQUAL", ModRevision: int64(cmp.Revision),
		})
	}
	for _, p := range puts {
		req.Success = append(req.Success, requestOp{RequestPut: &putRequest{[]byte(p.Key), p.Value, int64(p.Lease)}})
	}
	var res txnResponse
	if err := t.Call(ctx, http.MethodPost, "/v3/kv/txn", req, &res); err != nil {
		return 0, false, err
	}
	return Revision(res.Header.Revision), res.Succeeded, nil
}

func etcdGrant(ctx context.Context, t *Transport, ttl time.Duration) (LeaseID, error) {
	var res leaseResponse
	if err := t.Call(ctx, http.MethodPost, "/v3/lease/grant", leaseRequest{TTL: int64(ttl / time.Second)}, &res); err != nil {
		return 0, err
	}
	return LeaseID(res.ID), nil
}

func etcdKeepAlive(ctx context.Context, t *Transport, id LeaseID) error {
	var res keepAliveResponse
	if err := t.Call(ctx, http.MethodPost, "/v3/lease/keepalive", leaseRequest{ID: int64(id)}, &res); err != nil {
		return err
	}
	if res.Result.TTL <= 0 {
		return ErrLeaseExpired
	}
	return nil
}

func etcdRevoke(ctx context.Context, t *Transport, id LeaseID) error {
	return t.Call(ctx, http.MethodPost, "/v3/lease/revoke", leaseRequest{ID: int64(id)}, &leaseResponse{})
}

// etcdWatch reads the event stream until ctx is done or the stream fails.
func etcdWatch(ctx context.Context, t *Transport, prefix Key, revision Revision, f func(KV)) (Revision, error) {
	req := watchRequest{Create: watchCreate{[]byte(prefix), prefixEnd(prefix), int64(revision) + 1}}
	body, err := t.Open(ctx, http.MethodPost, "/v3/watch", req)
	if err != nil {
		return revision, err
	}
	defer func() { _ = body.Close() }()
	dec := json.NewDecoder(body)
	for {
		var m watchResponse
		if err := dec.Decode(&m); err != nil {
			return revision, err
		}
		if m.Result.CompactRevision != 0 {
			return revision, eris.Wrap(ErrCompacted, "etcd")
		}
		for _, e := range m.Result.Events {
			kv := e.Kv.toKV()
			if e.Type == "DELETE" {
				kv.Value = nil
			}
			f(kv)
			revision = kv.Revision
		}
	}
}
