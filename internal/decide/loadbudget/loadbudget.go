// Package loadbudget shares the weight store's load rate between all engine
// targets without a coordinator.
//
// Each member mints one load token per period, at its own phase of the period.
// The period is the number of members divided by the fleet-wide rate, so that
// all members together mint exactly the rate. A token is used at most once and
// lives for TokenLife; unused tokens may be passed on. A token that is lost is
// unused budget, never an overspend, so a split fleet keeps the limit.
//
// Periods are numbered by the wall clock, so that a restarted process knows
// when its predecessor may have minted. A step of one member's clock, or a
// change of the member list, mints at most one token of that member ahead of
// time.
//
// A Budget is a pure state machine used by one goroutine.
package loadbudget

import (
	"slices"
	"time"
)

const (
	// TokenLife bounds how long a token can wait for a load. Tokens alive
	// (rate x life) plus loads in flight (rate x load time) must stay below
	// the store's in-flight limit: 4.5 + 1.1 against 8.
	TokenLife = time.Second
	// MaxSkew is the largest difference between the clocks of two members
	// by which a passed token may seem to live longer than TokenLife.
	MaxSkew = 250 * time.Millisecond
	// MaxHops bounds how often a token is passed on. Within TokenLife it can
	// usefully move a few times only.
	MaxHops = 8
	// maxTokens bounds the tokens held and remembered. It is far above rate
	// x life; more would come from a faulty peer.
	maxTokens = 256
)

// Token is the permission to start one adapter load.
type Token struct {
	// Minter and Period make the token unique. Hop counts how often it was
	// passed on: a token is in one place at a time, and a member takes it
	// once for each hop.
	Minter  string
	Period  int64
	Hop     uint8
	Expires time.Time
}

// name identifies a token on one hop; the expiry is left out because it loses
// precision on the wire.
type name struct {
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
	// lastPeriod is the last period in which a token was minted.
	lastPeriod int64
	lastMint   time.Time
	// tokens are in order of expiry.
	tokens []Token
	// seen holds received tokens until they expire, so that a duplicated
	// message grants nothing.
	seen map[name]time.Time
}

// New returns a budget without members; it mints nothing until Configure.
func New(self string) *Budget {
	return &Budget{self: self, index: -1, seen: make(map[name]time.Time)}
}

// Configure sets the member names and the fleet-wide rate in loads a second.
// After a change nothing is minted in the current period of the new list, nor
// within half a period of the last token: the tokens of a member in the old
// and the new list together stay within one period of each.
func (b *Budget) Configure(now time.Time, members []string, rate float64) {
	if slices.Equal(members, b.members) && rate == b.rate {
		return
	}
	b.members = slices.Clone(members)
	b.rate = rate
	b.index = slices.Index(members, b.self)
	b.lastPeriod = b.periodAt(now)
}

// Period returns the time between two tokens of this member.
func (b *Budget) Period() time.Duration {
	if b.rate <= 0 || len(b.members) == 0 {
		return 0
	}
	return time.Duration(float64(len(b.members)) / b.rate * float64(time.Second))
}

// periodAt numbers the periods by the wall clock, shifted by the member's
// phase, so that a restarted process does not mint twice in one period.
func (b *Budget) periodAt(now time.Time) int64 {
	period := b.Period()
	if period <= 0 || b.index < 0 {
		return 0
	}
	phase := time.Duration(float64(period) * float64(b.index) / float64(len(b.members)))
	return (now.UnixNano() - int64(phase)) / int64(period)
}

// Tick mints the token that is due and drops expired ones.
func (b *Budget) Tick(now time.Time) {
	b.drop(now)
	if b.index < 0 || b.Period() <= 0 {
		return
	}
	period := b.periodAt(now)
	if period < b.lastPeriod-1 {
		// The clock was set back. Waiting for the old number would stop
		// minting for as long as the step; the present period is skipped.
		b.lastPeriod = period
		b.lastMint = now
	}
	if period <= b.lastPeriod || now.Sub(b.lastMint) < b.Period()/2 {
		return
	}
	b.lastPeriod = period
	b.lastMint = now
	b.hold(Token{Minter: b.self, Period: period, Expires: now.Add(TokenLife)})
}

// hold adds a token in order of expiry.
func (b *Budget) hold(token Token) {
	i, _ := slices.BinarySearchFunc(b.tokens, token, func(x, y Token) int { return x.Expires.Compare(y.Expires) })
	b.tokens = slices.Insert(b.tokens, i, token)
}

// Take uses the token that expires first. It returns false if there is none.
func (b *Budget) Take(now time.Time) bool {
	b.drop(now)
	if len(b.tokens) == 0 {
		return false
	}
	b.tokens = slices.Delete(b.tokens, 0, 1)
	return true
}

// Surplus removes and returns a token to pass on, with the number of its next
// hop: the one that expires last, because it has a way to go. A token that has
// been passed on MaxHops times stays until it expires.
func (b *Budget) Surplus(now time.Time) (Token, bool) {
	b.drop(now)
	last := len(b.tokens) - 1
	if last < 0 || b.tokens[last].Hop >= MaxHops {
		return Token{}, false
	}
	token := b.tokens[last]
	b.tokens = b.tokens[:last]
	token.Hop++
	return token, true
}

// Receive accepts a token that another member minted. It returns false for a
// token that is expired or duplicated, that lives longer than a fresh one can,
// or that this member minted itself: it may have been used since.
func (b *Budget) Receive(now time.Time, token Token) bool {
	b.drop(now)
	if token.Minter == b.self || !now.Before(token.Expires) || token.Expires.After(now.Add(TokenLife+MaxSkew)) {
		return false
	}
	id := name{token.Minter, token.Period, token.Hop}
	if _, ok := b.seen[id]; ok || len(b.seen) >= maxTokens {
		return false
	}
	b.seen[id] = token.Expires
	b.hold(token)
	return true
}

// Available returns the number of usable tokens.
func (b *Budget) Available(now time.Time) int {
	b.drop(now)
	return len(b.tokens)
}

// drop forgets expired tokens. A token stays in seen for a further life, so
// that a clock that is set back by less does not revive it.
func (b *Budget) drop(now time.Time) {
	b.tokens = slices.DeleteFunc(b.tokens, func(t Token) bool {
		return !now.Before(t.Expires) || t.Expires.After(now.Add(TokenLife+MaxSkew))
	})
	for id, expires := range b.seen {
		if now.Sub(expires).Abs() > TokenLife+MaxSkew {
			delete(b.seen, id)
		}
	}
}
