package relay

import (
	"math"
	"time"
)

// constantRate returns a rate that does not change over time.
func constantRate(rate float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return rate }
}

// Registro returns a fleet of the usual size under the usual load: 10 upstreams of two
// services with 4 slots each.
func Registro(seed uint64) Config {
	return Config{
		Seed: seed, DataCentres: 3, Balancers: 6, SameDataCentreDelay: 200 * time.Microsecond, CrossDataCentreDelay: 3400 * time.Microsecond, CallerDelay: 3 * time.Millisecond,
		LossPerMille: 1,
		Services:     []Service{{Name: "padron", Upstreams: 7, Slots: 4, Queue: 16}, {Name: "recuento", Upstreams: 3, Slots: 4, Queue: 16}},
		Callers: []Kind{
			{Name: "Lookup", Service: 0, Callers: 60, Rate: constantRate(1.3), Persistent: true, Idempotent: true, ServiceTime: 26 * time.Millisecond, Aim: 150 * time.Millisecond, Deadline: 2500 * time.Millisecond, Value: 1, LateValue: 0.3, Retries: 2},
			{Name: "Feed", Service: 0, Callers: 30, Rate: constantRate(0.8), ServiceTime: 33 * time.Millisecond, Aim: 200 * time.Millisecond, Deadline: 3 * time.Second, Value: 2, LateValue: 0.6, Retries: 2},
			{Name: "Submit", Service: 1, Callers: 20, Rate: constantRate(0.4), ServiceTime: 4 * time.Millisecond, Aim: 500 * time.Millisecond, Deadline: 8 * time.Second, Value: 1, LateValue: 0.3, Retries: 2},
		},
	}
}

// LargeRegistro returns a fleet with several times as many upstreams of two slots each,
// under peak load, which uses at least 90% of the slots.
func LargeRegistro(seed uint64) Config {
	cfg := Registro(seed)
	cfg.Balancers = 20
	cfg.Services = []Service{{Name: "padron", Upstreams: 42, Slots: 2, Queue: 8}, {Name: "recuento", Upstreams: 10, Slots: 2, Queue: 8}}
	for i, k := range []struct {
		callers int
		rate    float64
		aim     time.Duration
	}{{870, 0.75, 250 * time.Millisecond}, {240, 0.8, 300 * time.Millisecond}, {100, 0.4, 800 * time.Millisecond}} {
		cfg.Callers[i].Callers, cfg.Callers[i].Rate, cfg.Callers[i].Aim = k.callers, constantRate(k.rate), k.aim
	}
	return cfg
}

// WideRegistro returns a fleet of any size: five data centres, three balancers to seven
// agents, four of five agents in one service, and upstreams of two slots under a load in
// proportion to their number. Its size is the number of balancers and agents.
func WideRegistro(seed uint64, size int) Config {
	cfg := LargeRegistro(seed)
	agents := size * 7 / 10
	cfg.DataCentres, cfg.Balancers = 5, size-agents
	cfg.Services = []Service{{Name: "padron", Upstreams: agents * 4 / 5, Slots: 2, Queue: 8}, {Name: "recuento", Upstreams: agents - agents*4/5, Slots: 2, Queue: 8}}
	for i := range cfg.Callers {
		cfg.Callers[i].Callers = cfg.Callers[i].Callers * agents / 52
	}
	cfg.Scale(0.7)
	return cfg
}

// Kitambaa returns a fleet with long requests relative to their aims: 10 upstreams of two
// services with 7 slots each. All callers but those of sheets keep flows open.
func Kitambaa(seed uint64) Config {
	cfg := Registro(seed)
	cfg.CrossDataCentreDelay, cfg.CallerDelay = 4500*time.Microsecond, time.Millisecond
	cfg.Services = []Service{{Name: "fold-studio", Upstreams: 7, Slots: 7, Queue: 28}, {Name: "pattern-desk", Upstreams: 3, Slots: 7, Queue: 28}}
	cfg.Callers = []Kind{
		{Name: "Guide", Service: 0, Callers: 90, Rate: constantRate(1.1), Persistent: true, Idempotent: true, ServiceTime: 55 * time.Millisecond, Aim: 300 * time.Millisecond, Deadline: 4 * time.Second, Value: 1, LateValue: 0.3, Retries: 2},
		{Name: "Confirm", Service: 0, Callers: 90, Rate: constantRate(0.3), Persistent: true, ServiceTime: 72 * time.Millisecond, Aim: 300 * time.Millisecond, Deadline: 5 * time.Second, Value: 2, LateValue: 0.6, Retries: 2},
		{Name: "Sheet", Service: 1, Callers: 20, Rate: constantRate(0.4), Idempotent: true, ServiceTime: 5 * time.Millisecond, Aim: 500 * time.Millisecond, Deadline: 8 * time.Second, Value: 1, LateValue: 0.3, Retries: 2},
	}
	return cfg
}

// Viveros returns a fleet of four data centres with small upstreams, most of whose requests
// come on flows that stay open for seconds.
func Viveros(seed uint64) Config {
	cfg := Registro(seed)
	cfg.DataCentres, cfg.Balancers, cfg.CrossDataCentreDelay = 4, 20, 3*time.Millisecond
	cfg.Services = []Service{{Name: "libro-stock", Upstreams: 40, Slots: 2, Queue: 8}, {Name: "catalogo", Upstreams: 12, Slots: 2, Queue: 8}}
	cfg.Callers = []Kind{
		{Name: "ShelfRead", Service: 0, Callers: 284, Rate: constantRate(1), Persistent: true, FlowLifetime: 15 * time.Second, Idempotent: true, ServiceTime: 22 * time.Millisecond, Aim: 200 * time.Millisecond, Deadline: 1500 * time.Millisecond, Value: 1, LateValue: 0.3, Retries: 2},
		{Name: "SalePost", Service: 0, Callers: 81, Rate: constantRate(1), Persistent: true, FlowLifetime: 15 * time.Second, ServiceTime: 29 * time.Millisecond, Aim: 250 * time.Millisecond, Deadline: 2 * time.Second, Value: 2, LateValue: 0.6, Retries: 2},
		{Name: "FotoLote", Service: 1, Callers: 30, Rate: constantRate(0.8), Idempotent: true, ServiceTime: 5 * time.Millisecond, Aim: 800 * time.Millisecond, Deadline: 6 * time.Second, Value: 1, LateValue: 0.3, Retries: 2},
	}
	return cfg
}

// Ratenwerk returns a fleet whose upstreams differ in speed, under a demand that swings within
// seconds: 49 upstreams with two slots, a third each at 0.6, 1.0 and 1.6 times the service time,
// and callers that keep flows open for many requests.
func Ratenwerk(seed uint64) Config {
	cfg := Registro(seed)
	cfg.DataCentres, cfg.Balancers, cfg.CrossDataCentreDelay = 4, 8, 500*time.Microsecond
	cfg.Services = []Service{{Name: "checkout", Upstreams: 49, Slots: 2, Queue: 8, Factors: []float64{0.6, 1, 1.6}}}
	cfg.Callers = []Kind{
		{Name: "Poll", Service: 0, Callers: 289, Rate: waveRate(1), Persistent: true, FlowRequests: 20, Idempotent: true, ServiceTime: 26 * time.Millisecond, Aim: 250 * time.Millisecond, Deadline: 1500 * time.Millisecond, Value: 1, LateValue: 0.3, Retries: 2},
		{Name: "Approve", Service: 0, Callers: 82, Rate: waveRate(1), Persistent: true, FlowRequests: 20, ServiceTime: 33 * time.Millisecond, Aim: 300 * time.Millisecond, Deadline: 1500 * time.Millisecond, Value: 2, LateValue: 0.6, Retries: 2},
	}
	return cfg
}

// waveRate returns a rate that swings by 55 % around its mean within 13 s. It peaks 13 s after
// the start and every 13 s from then on.
func waveRate(mean float64) func(time.Duration) float64 {
	return func(at time.Duration) float64 { return mean * (1 + 0.55*math.Cos(2*math.Pi*at.Seconds()/13)) }
}

// Scale multiplies the request rates of all kinds by a factor.
func (cfg *Config) Scale(factor float64) {
	for i := range cfg.Callers {
		rate := cfg.Callers[i].Rate
		cfg.Callers[i].Rate = func(at time.Duration) float64 { return factor * rate(at) }
	}
}

// LosePower stops all processes and upstreams at once and starts them after the
// downtime, without their earlier state.
func (w *World) LosePower(downtime time.Duration) {
	for _, p := range append(w.Agents, w.Balancers...) {
		if p.Upstream != nil && p.Upstream.alive {
			p.Upstream.Crash()
			w.after(downtime, p.Upstream.Start)
		}
		w.Restart(p, downtime)
	}
}

// Served returns the earned share of the value of all requests that started from
// one time until before another.
func (w *World) Served(from, to time.Duration) float64 {
	var earned, possible float64
	for _, r := range w.Results {
		if r.At >= from && r.At < to {
			possible += r.Kind.Value
			earned += r.Kind.Value * r.Credit()
		}
	}
	return earned / possible
}
