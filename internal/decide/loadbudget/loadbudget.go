// Package loadbudget limits the rate at which all engine targets together load
// adapters from the weight store, without a coordinator. The weight store holds
// the weights of the LoRA adapters.
//
// The engine targets are the members of the budget. Each member mints, that is,
// creates, one load token per period, at its own phase of the period. The
// period is the number of members divided by the fleet-wide rate, so that all
// members together mint exactly the rate. A token permits one load and expires
// after TokenTTL; unused tokens may be passed on to other members. Losing a
// token only lowers the rate and never permits an extra load, so the limit also
// holds while members cannot reach each other.
//
// Periods are numbered by the wall clock, so that a restarted process can derive
// in which period its predecessor may have minted a token. After a step of one
// member's clock, or a change of the member list, that member mints at most one
// token too early.
//
// A Budget is a state machine without I/O or a clock of its own. It is not safe
// for concurrent use.
package loadbudget

import (
	"slices"
	"time"
)

const (
	// TokenTTL is the time from the mint of a token to its expiry. The sum of
	// the valid tokens (rate x TokenTTL, 4.5) and the loads in flight (rate x
	// load time, 1.1) must stay below 8, the weight store's limit on loads in
	// flight.
	TokenTTL = time.Second
	// MaxClockSkew is the maximum tolerated difference between the clocks of two
	// members: a received token may expire at most TokenTTL + MaxClockSkew after
	// the receiver's time.
	MaxClockSkew = 250 * time.Millisecond
	// MaxHops is the maximum number of times that a token is passed on. Only a
	// few are useful within TokenTTL.
	MaxHops = 8
	// maxTokens is the maximum number of received tokens that are recorded for
	// detection of duplicates; further ones are refused. It is far above rate x
	// TokenTTL, so more can only come from a faulty member.
	maxTokens = 256
)

// Token permits its holder to start one adapter load.
type Token struct {
	// Minter is the member that minted the token and PeriodNumber the number of
	// its period; together they identify the token. Hops is the number of times it
	// was passed on. One member holds a token at a time and accepts it once for
	// each hop.
	Minter       string
	PeriodNumber int64
	Hops         uint8
	ExpiresAt    time.Time
}

// tokenID identifies a token on one hop. It does not include the expiry, which
// loses precision on the wire.
type tokenID struct {
	minter string
	period int64
	hop    uint8
}

// Budget holds the tokens of one member.
type Budget struct {
	self    string
	index   int
	members []string
	rate    float64
	// lastPeriod is the last period in which a token was minted or in which
	// minting was skipped after a change of the list or of the clock.
	lastPeriod int64
	lastMintAt time.Time
	// tokens holds the unused tokens in order of expiry.
	tokens []Token
	// received holds the expiry of received tokens, so that a duplicated
	// message is detected.
	received map[tokenID]time.Time
}

// New returns a budget without members; it mints no token until Configure.
func New(self string) *Budget {
	return &Budget{self: self, index: -1, received: make(map[tokenID]time.Time)}
}

// Configure sets the member names and the fleet-wide rate in loads per second.
// After a change, this member mints no token in the current period of the new
// list, nor within half a period after its last token. So a change of the list
// adds at most one token per member.
func (b *Budget) Configure(now time.Time, members []string, rate float64) {
	if slices.Equal(members, b.members) && rate == b.rate {
		return
	}
	b.members = slices.Clone(members)
	b.rate = rate
	b.index = slices.Index(members, b.self)
	b.lastPeriod = b.periodAt(now)
}

// MintInterval returns the time between two tokens of this member.
func (b *Budget) MintInterval() time.Duration {
	if b.rate <= 0 || len(b.members) == 0 {
		return 0
	}
	return time.Duration(float64(len(b.members)) / b.rate * float64(time.Second))
}

// periodAt returns the number of the period at now. It is derived from the wall
// clock, shifted by the member's phase, so that a restarted process does not
// mint twice in one period.
func (b *Budget) periodAt(now time.Time) int64 {
	period := b.MintInterval()
	if period <= 0 || b.index < 0 {
		return 0
	}
	phase := time.Duration(float64(period) * float64(b.index) / float64(len(b.members)))
	return (now.UnixNano() - int64(phase)) / int64(period)
}

// Tick mints the token of the current period if it is due and deletes expired
// ones.
func (b *Budget) Tick(now time.Time) {
	b.dropExpired(now)
	if b.index < 0 || b.MintInterval() <= 0 {
		return
	}
	period := b.periodAt(now)
	if period < b.lastPeriod-1 {
		// The clock was set back. Waiting until the old number comes again
		// would stop minting for the length of the step, so only the current
		// period is skipped.
		b.lastPeriod = period
		b.lastMintAt = now
	}
	if period <= b.lastPeriod || now.Sub(b.lastMintAt) < b.MintInterval()/2 {
		return
	}
	b.lastPeriod = period
	b.lastMintAt = now
	b.insert(Token{Minter: b.self, PeriodNumber: period, ExpiresAt: now.Add(TokenTTL)})
}

// insert adds a token in order of expiry.
func (b *Budget) insert(token Token) {
	i, _ := slices.BinarySearchFunc(b.tokens, token, func(x, y Token) int { return x.ExpiresAt.Compare(y.ExpiresAt) })
	b.tokens = slices.Insert(b.tokens, i, token)
}

// Take uses the token that expires first. It returns false if there is none.
func (b *Budget) Take(now time.Time) bool {
	b.dropExpired(now)
	if len(b.tokens) == 0 {
		return false
	}
	b.tokens = slices.Delete(b.tokens, 0, 1)
	return true
}

// TakeSurplus removes and returns a token to pass on, with its hop count
// incremented. It selects the token that expires last, because the transfer
// takes time. It returns false if there is no token or if that one has already
// been passed on MaxHops times.
func (b *Budget) TakeSurplus(now time.Time) (Token, bool) {
	b.dropExpired(now)
	last := len(b.tokens) - 1
	if last < 0 || b.tokens[last].Hops >= MaxHops {
		return Token{}, false
	}
	token := b.tokens[last]
	b.tokens = b.tokens[:last]
	token.Hops++
	return token, true
}

// Receive adds a token that was passed on by another member. It returns false
// for a token that is expired or duplicated, that expires later than a new one
// can, or that this member minted itself: its original may have been used
// already. It also refuses tokens if maxTokens are recorded.
func (b *Budget) Receive(now time.Time, token Token) bool {
	b.dropExpired(now)
	if token.Minter == b.self || !now.Before(token.ExpiresAt) || token.ExpiresAt.After(now.Add(TokenTTL+MaxClockSkew)) {
		return false
	}
	id := tokenID{token.Minter, token.PeriodNumber, token.Hops}
	if _, ok := b.received[id]; ok || len(b.received) >= maxTokens {
		return false
	}
	b.received[id] = token.ExpiresAt
	b.insert(token)
	return true
}

// Available returns the number of usable tokens.
func (b *Budget) Available(now time.Time) int {
	b.dropExpired(now)
	return len(b.tokens)
}

// dropExpired deletes expired tokens and, after the clock was set back, tokens
// that would expire later than a new one can. A token stays in received for another
// TokenTTL + MaxClockSkew after its expiry, so that a duplicate of it is still
// refused if the clock is set back by less than that.
func (b *Budget) dropExpired(now time.Time) {
	b.tokens = slices.DeleteFunc(b.tokens, func(t Token) bool {
		return !now.Before(t.ExpiresAt) || t.ExpiresAt.After(now.Add(TokenTTL+MaxClockSkew))
	})
	for id, expires := range b.received {
		if now.Sub(expires).Abs() > TokenTTL+MaxClockSkew {
			delete(b.received, id)
		}
	}
}
