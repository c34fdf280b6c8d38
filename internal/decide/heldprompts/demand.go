package heldprompts

import (
	"math"
	"time"

	"agatelanding.example/agatelanding/internal/wire"
)

const (
	// demandTimeConstant is the time constant of the decay of the rates. It is short,
	// because a prefix can become popular within a second.
	demandTimeConstant = 500 * time.Millisecond
	// maxDemands bounds the prefixes with a rate. Others count as rarely requested.
	maxDemands = 4096
)

// Demand estimates how often an entry gets requests with a prefix.
type Demand struct {
	rates    map[uint32]demandRate
	prunedAt time.Time
}

type demandRate struct {
	perSecond float64
	at        time.Time
}

func (r demandRate) read(now time.Time) float64 {
	return r.perSecond * math.Exp(-float64(now.Sub(r.at))/float64(demandTimeConstant))
}

// Add records a request. Its own part is not recorded, because it has one session.
func (d *Demand) Add(now time.Time, prefixes []wire.PromptPrefix) {
	if d.rates == nil {
		d.rates = make(map[uint32]demandRate)
	}
	for _, p := range prefixes {
		r, known := d.rates[p.Fingerprint]
		if p.Own || !known && !d.hasRoom(now) {
			continue
		}
		d.rates[p.Fingerprint] = demandRate{perSecond: r.read(now) + 1/demandTimeConstant.Seconds(), at: now}
	}
}

// hasRoom reports whether another prefix can be added. It removes the idle ones at most
// once in each demandTimeConstant.
func (d *Demand) hasRoom(now time.Time) bool {
	if len(d.rates) >= maxDemands && now.Sub(d.prunedAt) >= demandTimeConstant {
		d.prunedAt = now
		for f, r := range d.rates {
			if now.Sub(r.at) >= demandTimeConstant {
				delete(d.rates, f)
			}
		}
	}
	return len(d.rates) < maxDemands
}

// Rate returns the requests per second with a prefix.
func (d *Demand) Rate(now time.Time, fingerprint uint32) float64 {
	r, ok := d.rates[fingerprint]
	if !ok {
		return 0
	}
	return r.read(now)
}
