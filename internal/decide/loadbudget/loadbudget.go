// Package loadbudget shares the weight store's load rate between all engine
// targets without a coordinator.
//
// Each member mints one load token per period, at its own phase of the period.
// The period is the number of members divided by the fleet-wide rate, so that
// all members together mint exactly the rate. A token is used at most once and
// lives for TokenLife; unused tokens may be passed on. A token that is lost is
// unused budget, never an overspend, so a split fleet keeps the limit.
//
// A Budget is a pure state machine used by one goroutine.
package loadbudget

import (
	"slices"
	"time"
)

// TokenLife bounds how long a token can wait for a load. Tokens alive (rate x
// life) plus loads in flight (rate x load time) must stay below the store's
// in-flight limit: 4.5 + 1.1 against 8.
const TokenLife = time.Second

// Token is the permission to start one adapter load.
type Token struct {
	// Minter and Period make the token unique.
	Minter  string
	Period  int64
	Expires time.Time
}

// Budget holds the tokens of one member.
type Budget struct {
	self    string
	index   int
	members []string
	rate    float64
	// lastPeriod is the last period in which a token was minted.
	lastPeriod int64
	tokens     []Token
	// seen holds received tokens until they expire, so that a duplicated
	// message grants nothing.
	seen map[Token]struct{}
}

// New returns a budget without members; it mints nothing until Configure.
func New(self string) *Budget {
	return &Budget{self: self, index: -1, seen: make(map[Token]struct{})}
}

// Configure sets the sorted member names and the fleet-wide rate in loads a
// second. After a change nothing is minted for one period of the new list, so
// that tokens of the old and the new list do not add up.
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
	if period == 0 || b.index < 0 {
		return 0
	}
	phase := period * time.Duration(b.index) / time.Duration(len(b.members))
	return (now.UnixNano() - int64(phase)) / int64(period)
}

// Tick mints the token that is due and drops expired ones.
func (b *Budget) Tick(now time.Time) {
	b.drop(now)
	if b.index < 0 || b.rate <= 0 {
		return
	}
	period := b.periodAt(now)
	if period <= b.lastPeriod {
		return
	}
	b.lastPeriod = period
	b.tokens = append(b.tokens, Token{Minter: b.self, Period: period, Expires: now.Add(TokenLife)})
}

// Take uses one token. It returns false if there is none.
func (b *Budget) Take(now time.Time) bool {
	b.drop(now)
	if len(b.tokens) == 0 {
		return false
	}
	b.tokens = b.tokens[1:]
	return true
}

// Surplus removes and returns a token to pass on.
func (b *Budget) Surplus(now time.Time) (Token, bool) {
	b.drop(now)
	if len(b.tokens) == 0 {
		return Token{}, false
	}
	token := b.tokens[0]
	b.tokens = b.tokens[1:]
	return token, true
}

// Receive accepts a token that another member minted. It returns false for an
// expired or duplicated token.
func (b *Budget) Receive(now time.Time, token Token) bool {
	b.drop(now)
	if !now.Before(token.Expires) || token.Expires.After(now.Add(2*TokenLife)) {
		return false
	}
	if _, ok := b.seen[token]; ok {
		return false
	}
	b.seen[token] = struct{}{}
	b.tokens = append(b.tokens, token)
	return true
}

// Available returns the number of usable tokens.
func (b *Budget) Available(now time.Time) int {
	b.drop(now)
	return len(b.tokens)
}

func (b *Budget) drop(now time.Time) {
	b.tokens = slices.DeleteFunc(b.tokens, func(t Token) bool { return !now.Before(t.Expires) })
	for token := range b.seen {
		if now.After(token.Expires.Add(TokenLife)) {
			delete(b.seen, token)
		}
	}
}
