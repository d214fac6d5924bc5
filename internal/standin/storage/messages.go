package storage

// JSON messages of the gateway, from the server's side.

type header struct {
	Revision int64 `json:"revision,string"`
}

type rangeRequest struct {
	Key            []byte `json:"key"`
	RangeEnd       []byte `json:"range_end"`
	KeysOnly       bool   `json:"keys_only"`
	MinModRevision int64  `json:"min_mod_revision,string"`
}

type keyValue struct {
	Key         []byte `json:"key"`
	Value       []byte `json:"value"`
	ModRevision int64  `json:"mod_revision,string"`
	Lease       int64  `json:"lease,string,omitempty"`
}

type rangeResponse struct {
	Header header     `json:"header"`
	Kvs    []keyValue `json:"kvs"`
}

type txnRequest struct {
	Compare []struct {
		Key         []byte `json:"key"`
		ModRevision int64  `json:"mod_revision,string"`
	} `json:"compare"`
	Success []struct {
		RequestPut struct {
			Key   []byte `json:"key"`
			Value []byte `json:"value"`
			Lease int64  `json:"lease,string"`
		} `json:"request_put"`
	} `json:"success"`
}

type txnResponse struct {
	Header    header `json:"header"`
	Succeeded bool   `json:"succeeded"`
}

type leaseRequest struct {
	TTL int64 `json:"TTL,string"`
	ID  int64 `json:"ID,string"`
}

type leaseResponse struct {
	ID  int64 `json:"ID,string"`
	TTL int64 `json:"TTL,string"`
}

type keepAliveResponse struct {
	Result leaseResponse `json:"result"`
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
	Type string   `json:"type,omitempty"`
	Kv   keyValue `json:"kv"`
}

type watchResponse struct {
	Result struct {
		Events []watchEvent `json:"events"`
	} `json:"result"`
}
