package relay

import "time"

// steady returns a load that does not change.
func steady(rate float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return rate }
}

// Registro returns a fleet of the usual size at its usual demand: 10 upstreams of two
// services with 4 slots each.
func Registro(seed uint64) Config {
	return Config{
		Seed: seed, DataCentres: 3, Balancers: 6, Near: 200 * time.Microsecond, Far: 3400 * time.Microsecond, Caller: 3 * time.Millisecond,
		LossPerMille: 1,
		Services:     []Service{{"padron", 7, 4, 16}, {"recuento", 3, 4, 16}},
		Callers: []Kind{
			{Name: "Lookup", Service: 0, Callers: 60, Rate: steady(1.3), Long: true, Safe: true, ServiceTime: 26 * time.Millisecond, Aim: 150 * time.Millisecond, Deadline: 2500 * time.Millisecond, Value: 1, LateValue: 0.3, Retries: 2},
			{Name: "Feed", Service: 0, Callers: 30, Rate: steady(0.8), ServiceTime: 33 * time.Millisecond, Aim: 200 * time.Millisecond, Deadline: 3 * time.Second, Value: 2, LateValue: 0.6, Retries: 2},
			{Name: "Submit", Service: 1, Callers: 20, Rate: steady(0.4), ServiceTime: 4 * time.Millisecond, Aim: 500 * time.Millisecond, Deadline: 8 * time.Second, Value: 1, LateValue: 0.3, Retries: 2},
		},
	}
}

// LargeRegistro returns a fleet whose groups are several times larger, with two slots
// an upstream, at the crest of its demand: nine tenths of the slots and more.
func LargeRegistro(seed uint64) Config {
	cfg := Registro(seed)
	cfg.Balancers = 20
	cfg.Services = []Service{{"padron", 42, 2, 8}, {"recuento", 10, 2, 8}}
	for i, k := range []struct {
		callers int
		rate    float64
		aim     time.Duration
	}{{870, 0.75, 250 * time.Millisecond}, {240, 0.8, 300 * time.Millisecond}, {100, 0.4, 800 * time.Millisecond}} {
		cfg.Callers[i].Callers, cfg.Callers[i].Rate, cfg.Callers[i].Aim = k.callers, steady(k.rate), k.aim
	}
	return cfg
}

// Scale changes the demand of all kinds of requests by a factor.
func (cfg *Config) Scale(factor float64) {
	for i := range cfg.Callers {
		rate := cfg.Callers[i].Rate
		cfg.Callers[i].Rate = func(at time.Duration) float64 { return factor * rate(at) }
	}
}

// LosePower ends all processes and upstreams and starts them again after a time, with
// nothing of before.
func (w *World) LosePower(off time.Duration) {
	for _, p := range append(w.Agents, w.Balancers...) {
		if p.Upstream != nil && p.Upstream.alive {
			p.Upstream.Crash()
			w.after(off, p.Upstream.Start)
		}
		w.Restart(p, off)
	}
}

// Served returns the credit of the requests that began between two times, as a share
// of what they were worth.
func (w *World) Served(from, to time.Duration) float64 {
	var got, owed float64
	for _, r := range w.Results {
		if r.At >= from && r.At < to {
			owed += r.Kind.Value
			got += r.Kind.Value * r.Credit()
		}
	}
	return got / owed
}
