package wire

import "agatelanding.example/agatelanding/internal/result"

// ProtocolVersion is the protocol version in Hello. Peers with another version
// are refused.
const ProtocolVersion = 1

// Role is the role of a process.
type Role uint8

// Roles of processes.
const (
	RoleEntry Role = iota + 1
	RoleTarget
)

// State is the state that a process reports of itself.
type State uint8

// States of a process.
const (
	StateStarting State = iota + 1
	StateServing
	StateLeaving
)

var stateNames = map[State]string{StateStarting: "starting", StateServing: "serving", StateLeaving: "leaving"}

// String returns the name of the state.
func (s State) String() string { return stateNames[s] }

// MarshalJSON encodes the state as its name, for status pages. It is not
// MarshalText, because msgpack would use that on the wire as well.
func (s State) MarshalJSON() ([]byte, error) { return []byte(`"` + s.String() + `"`), nil }

// Kind identifies the message type of a frame.
type Kind uint8

// Kinds of messages. The numbers are part of the protocol.
const (
	KindHello Kind = iota + 1
	KindReserve
	KindReserved
	KindRefused
	KindRun
	KindChunk
	KindEnd
	KindCancel
	KindResume
	KindLeaving
	KindPoolUpdate
	KindLoadGrant
	KindRevisionQuery
	KindRevisionReply
	KindPartQuery
	KindPartReply
	KindPing
	KindPong
	KindAttach
	KindStarted
	KindRelease
	KindEngineSettings
	KindEngineReport
	KindItems
	KindItemsQuery
	KindRemember
	KindRemembered
	KindRecall
	KindRecalled
)

// RequestID identifies a request among all requests of all entries.
type RequestID struct {
	Entry string `msgpack:"e"`
	// Incarnation is the start time of the entry in Unix nanoseconds. It
	// distinguishes requests of a restarted entry from those before the
	// restart.
	Incarnation int64  `msgpack:"i"`
	Number      uint64 `msgpack:"n"`
}

// AttemptID identifies one attempt at a request.
type AttemptID struct {
	Request RequestID `msgpack:"r"`
	Attempt uint32    `msgpack:"a"`
}

// Hello is the first message on a connection, in both directions.
type Hello struct {
	Protocol uint32 `msgpack:"p"`
	Process  string `msgpack:"n"`
	Role     Role   `msgpack:"r"`
	// Incarnation is the start time of the process in Unix nanoseconds. It
	// distinguishes a restarted process from the one before the restart.
	Incarnation   int64  `msgpack:"i"`
	Revision      uint64 `msgpack:"v"`
	FailureDomain string `msgpack:"f"`
	State         State  `msgpack:"s"`
	// Remembers is true if the process takes Remember and Recall. A former build does not
	// know these messages and would close the connection.
	Remembers bool `msgpack:"m,omitempty"`
}

// LoadReport is the load of a target, that is, how busy it is, at the time of the
// message that carries it.
type LoadReport struct {
	// Running and Queued are the numbers of requests that run and that wait.
	Running int `msgpack:"r"`
	Queued  int `msgpack:"q"`
	// Limit is the number of requests that the target runs at once.
	Limit int `msgpack:"l"`
	// StartDelayMS is the predicted time in milliseconds until a short request
	// starts if its adapter is already in a slot.
	StartDelayMS int `msgpack:"d"`
	// AdapterLoadsWaiting is the number of adapter loads that wait for a load
	// token, the permission to load one adapter from the shared weight store.
	AdapterLoadsWaiting int `msgpack:"w"`
	// AdapterLoadUrgency orders the targets that wait for a load token; the
	// highest value gets the next one.
	AdapterLoadUrgency float64 `msgpack:"u"`
	// Incarnation is the start time of the engine in Unix nanoseconds. A new
	// value means that the engine has restarted with empty slots.
	Incarnation int64  `msgpack:"i"`
	Revision    uint64 `msgpack:"v"`
	State       State  `msgpack:"s"`
}

// Reserve asks a target to reserve a place in its queue for a request and to pin
// the adapter, which keeps the adapter in its slot.
type Reserve struct {
	ID      AttemptID `msgpack:"id"`
	Pool    string    `msgpack:"po"`
	Adapter string    `msgpack:"ad"`
	Version string    `msgpack:"ve"`
	Class   string    `msgpack:"cl"`
	// BudgetMS is the time in milliseconds for which the request may still
	// wait. For a request with a class it ends at the deadline for the first
	// token.
	BudgetMS int64 `msgpack:"bu"`
	// EstimatedTokens is the estimated length of the response in tokens.
	EstimatedTokens int  `msgpack:"to"`
	Repeatable      bool `msgpack:"re"`
	// Key is the idempotency key, empty if the request has none.
	Key string `msgpack:"ke,omitempty"`
	// KeyTimeMS is the creation time of the key in Unix milliseconds, 0 if the
	// request does not state it.
	KeyTimeMS int64 `msgpack:"kt,omitempty"`
	// BodyDigest distinguishes a repeated request from a different request
	// under the same key.
	BodyDigest uint64 `msgpack:"bd,omitempty"`
	// Revision is the revision of the entry's configuration snapshot,
	// TargetListDigest the digest of the pool in it.
	Revision         uint64 `msgpack:"rv"`
	TargetListDigest uint64 `msgpack:"pd"`
	// PrefixHash is a hash of the start of the prompt.
	PrefixHash uint64 `msgpack:"ph,omitempty"`
	// Model is the base model, for engines that serve several.
	Model string `msgpack:"mo,omitempty"`
	// PromptTokens is the length of the prompt in tokens. EstimatedTokens is
	// that of the response.
	PromptTokens int `msgpack:"pt,omitempty"`
	// Priority is the priority of the request; 0 is the most urgent.
	Priority int `msgpack:"rk,omitempty"`
	// Instance is the ID (not the start time) of the engine incarnation that
	// the request is meant for.
	Instance string `msgpack:"in,omitempty"`
	// FirstEventBudgetMS is the time in milliseconds left until the first event
	// would miss the route's latency target (catalog.Route.LatencyTarget).
	FirstEventBudgetMS int64 `msgpack:"am,omitempty"`
	// Redirect is true if another engine may serve the request on time: the target
	// process refuses it once its first event would be late here.
	Redirect bool `msgpack:"rd,omitempty"`
	// CallerAttempt is the ID of the caller's attempt, under which the engine lists the
	// request.
	CallerAttempt string `msgpack:"ca,omitempty"`
	// Prefixes holds the prefixes of the prompt, the shortest first, at most 8, if the
	// engine's configuration states its prompt memory. ExpectedHeld is the number of
	// prompt tokens that the entry expects the engine to hold, if it has chosen the
	// engine for them and another engine may serve the request on time.
	Prefixes     []PromptPrefix `msgpack:"px,omitempty"`
	ExpectedHeld int            `msgpack:"eh,omitempty"`
}

// PromptPrefix is a prefix of a prompt that consists of whole parts (package heldprompts).
type PromptPrefix struct {
	// Fingerprint is a hash of the model, the adapter and the IDs of the parts, and Tokens
	// the length of the whole prefix.
	Fingerprint uint32 `msgpack:"f"`
	Tokens      int    `msgpack:"t"`
	// Own is true if the last part belongs to the request or its session.
	Own bool `msgpack:"o,omitempty"`
}

// Reserved accepts a reservation.
type Reserved struct {
	ID   AttemptID  `msgpack:"id"`
	Load LoadReport `msgpack:"l"`
	// Version is the version of the adapter that the engine holds, 0 if the
	// request names no adapter.
	Version int `msgpack:"ve,omitempty"`
}

// Refused refuses a reservation. The request was not run.
type Refused struct {
	ID           AttemptID   `msgpack:"id"`
	Code         result.Code `msgpack:"c"`
	Detail       string      `msgpack:"t,omitempty"`
	RetryAfterMS int64       `msgpack:"ra"`
	Load         LoadReport  `msgpack:"l"`
}

// Run executes a reserved request.
type Run struct {
	ID     AttemptID `msgpack:"id"`
	Method string    `msgpack:"m"`
	Path   string    `msgpack:"p"`
	Body   []byte    `msgpack:"b"`
	Stream bool      `msgpack:"s"`
}

// Chunk carries a part of the response body. Sequence numbers the chunks of an
// attempt from 0.
type Chunk struct {
	ID       AttemptID `msgpack:"id"`
	Sequence uint32    `msgpack:"s"`
	Data     []byte    `msgpack:"d"`
}

// End ends a response. Code is result.OK if the response is complete.
type End struct {
	ID     AttemptID   `msgpack:"id"`
	Code   result.Code `msgpack:"c"`
	Detail string      `msgpack:"t,omitempty"`
	// Status is the HTTP status of the target's response.
	Status       int    `msgpack:"st"`
	ContentType  string `msgpack:"ct,omitempty"`
	RetryAfterMS int64  `msgpack:"ra,omitempty"`
	// Chunks is the number of chunks of the response.
	Chunks uint32 `msgpack:"n"`
	// Checksum is the CRC-32C of all chunk data in order.
	Checksum uint32     `msgpack:"k"`
	Adapter  string     `msgpack:"ad,omitempty"`
	Version  string     `msgpack:"ve,omitempty"`
	Load     LoadReport `msgpack:"l"`
}

// Cancel cancels an attempt. The target replies with End.
type Cancel struct {
	ID AttemptID `msgpack:"id"`
}

// Resume asks on a new session for the chunks of a response, starting with chunk
// From.
type Resume struct {
	ID   AttemptID `msgpack:"id"`
	From uint32    `msgpack:"f"`
}

// Leaving announces that the target accepts no new requests.
type Leaving struct {
	Process string `msgpack:"n"`
}

// PoolUpdate sends a target the row of its pool from the pool table. Row is the
// row as JSON; EngineTargets is the sorted list of all engine targets that
// share the limits of the weight store. Both are omitted if they equal those
// that the entry last sent on the session: a row of 37 targets has 3.3 KB, and
// most changes of the tables do not affect it.
type PoolUpdate struct {
	Revision uint64 `msgpack:"v"`
	Digest   uint64 `msgpack:"d"`
	// RowHash is a hash of Row and EngineTargets. If both are omitted and the
	// target holds a row with another hash, it asks for the row by a PartQuery
	// with PoolRowKey.
	RowHash       uint64   `msgpack:"h"`
	Row           []byte   `msgpack:"r,omitempty"`
	EngineTargets []string `msgpack:"m,omitempty"`
}

// PoolRowKey is the Key of a PartQuery by which a target asks an entry for its
// pool's row.
const PoolRowKey = "pool-row"

// LoadGrant passes one load token to another process. A load token permits one
// adapter load and is used at most once.
type LoadGrant struct {
	// Minter is the process that issued the token.
	Minter string `msgpack:"m"`
	// Period is the period in which the token was issued. Minter and Period
	// identify the token.
	Period int64 `msgpack:"p"`
	// Hop counts how often a target has passed the token on. It distinguishes
	// a token that returns to a process from a duplicated message.
	Hop uint8 `msgpack:"h"`
	// ExpiresMS is the time at which the token expires, in Unix milliseconds.
	ExpiresMS int64 `msgpack:"x"`
}

// RevisionQuery asks a process for the highest configuration revision that it
// holds.
type RevisionQuery struct {
	// Digest is the digest of the snapshot that the querying process holds, 0
	// for none.
	Digest uint64 `msgpack:"d"`
}

// RevisionReply is the reply to RevisionQuery. Manifest is empty if the process
// does not hold the snapshot itself, or holds the same one as the querying
// process: with 28,000 routes a manifest has 16 KB, and entries ask every 5 s.
type RevisionReply struct {
	Revision uint64 `msgpack:"v"`
	Manifest []byte `msgpack:"m,omitempty"`
}

// PartQuery asks an entry for a part of its snapshot, or for a pool row if Key is
// PoolRowKey.
type PartQuery struct {
	Key string `msgpack:"k"`
}

// PartReply is the reply to PartQuery. Data is empty if the part is unknown.
type PartReply struct {
	Key  string `msgpack:"k"`
	Data []byte `msgpack:"d"`
}

// Ping keeps a session alive and asks for a LoadReport.
type Ping struct {
	Sequence uint64 `msgpack:"s"`
	Revision uint64 `msgpack:"v"`
}

// Pong is the reply to Ping.
type Pong struct {
	Sequence uint64     `msgpack:"s"`
	Load     LoadReport `msgpack:"l"`
}

// Attach informs a target process, at the start of a new session, of a request
// that already runs at its engine. The process pins the adapter until Release.
type Attach struct {
	ID      AttemptID `msgpack:"id"`
	Model   string    `msgpack:"mo"`
	Adapter string    `msgpack:"ad"`
}

// Started informs a target process that the engine has sent the first event of a
// response, so it has finished the prefill of the request.
type Started struct {
	ID AttemptID `msgpack:"id"`
}

// Release ends a reservation. The request has ended at the engine.
type Release struct {
	ID AttemptID `msgpack:"id"`
}

// EngineModel is a base model of an engine pool.
type EngineModel struct {
	Name      string  `msgpack:"n"`
	WeightsMB float64 `msgpack:"w"`
	// Adapters is the number of adapters of the model that an engine holds.
	Adapters int `msgpack:"a"`
}

// EngineSettings sends a target process the configuration of its engine pool
// and the engine incarnation at the target.
type EngineSettings struct {
	Revision   uint64 `msgpack:"v"`
	MaxRunning int    `msgpack:"s"`
	// TokensPerEvent is the number of tokens in one event of a stream, and so the
	// number of engine steps between two events.
	TokensPerEvent int           `msgpack:"et,omitempty"`
	MemoryMB       float64       `msgpack:"m"`
	Models         []EngineModel `msgpack:"mo"`
	// Instance is the ID of the engine incarnation at the target in the
	// entry's state, StartedAtMS the start time of that incarnation in Unix
	// milliseconds.
	Instance    string `msgpack:"in"`
	StartedAtMS int64  `msgpack:"bo"`
	// RateLimit is what the entry knows of the rate that this incarnation names, nil if
	// it has named none.
	RateLimit *RateLimit `msgpack:"rl,omitempty"`
	// TakesChanges is true if the entry takes EngineReport.Changes.
	TakesChanges bool `msgpack:"tc,omitempty"`
}

// AdapterChanges are the changes of the adapter lists of an engine since its target process
// last sent them to all entries.
type AdapterChanges struct {
	HeldAdded     []string `msgpack:"ha,omitempty"`
	HeldRemoved   []string `msgpack:"hr,omitempty"`
	CachedAdded   []string `msgpack:"ca,omitempty"`
	CachedRemoved []string `msgpack:"cr,omitempty"`
}

// EngineReport is the state and load of an engine as observed by its target
// process.
type EngineReport struct {
	Running int `msgpack:"r"`
	Waiting int `msgpack:"w"`
	// Backlog is the number of prompt tokens of admitted and waiting requests
	// that the engine has not processed yet.
	Backlog int `msgpack:"b"`
	// Held lists the adapters in the engine's slots, including those being loaded;
	// Cached lists those that it is expected to reload without the weight store.
	// Both are in the form MODEL/ADAPTER and are valid only if HasAdapterLists is
	// true: without it, empty lists do not mean that the engine holds no adapters.
	Held            []string `msgpack:"h,omitempty"`
	Cached          []string `msgpack:"rc,omitempty"`
	HasAdapterLists bool     `msgpack:"li,omitempty"`
	// Changes replaces the lists for entries that have said that they take changes.
	Changes *AdapterChanges `msgpack:"ac,omitempty"`
	// StartedAtMS is the start time of the engine in Unix milliseconds, 0 before
	// the first poll of the engine.
	StartedAtMS int64 `msgpack:"bn,omitempty"`
	// Leaving is true if the target process ends, EngineLeaving if the engine has
	// said in an answer that it does.
	Leaving       bool `msgpack:"le,omitempty"`
	EngineLeaving bool `msgpack:"el,omitempty"`
	// PredictedLoadWaitMS is the predicted time in milliseconds for which a
	// request would wait for the load of an adapter that is not in a slot.
	PredictedLoadWaitMS int64 `msgpack:"lm,omitempty"`
	// NotReady is true while the engine does not respond or holds no model.
	NotReady bool `msgpack:"un,omitempty"`
	// Slow is true while the engine runs at a fraction of its usual speed.
	Slow bool `msgpack:"sl,omitempty"`
	// StepUS is the time in microseconds that the engine usually takes for a token of each
	// of its streams, 0 if it is not known.
	StepUS int64 `msgpack:"su,omitempty"`
	// BoundsRate is true if the target process admits no more requests than the engine
	// names. RateLimit is what it knows of that, nil if the engine has named none, and
	// RateWaitMS the time until the rate lets it admit another request.
	BoundsRate bool       `msgpack:"br,omitempty"`
	RateLimit  *RateLimit `msgpack:"rl,omitempty"`
	RateWaitMS int64      `msgpack:"pw,omitempty"`
	// HeldPrefixes is the change, since the last summary on the session, of which prompt
	// prefixes the engine is assumed to hold (package heldprompts), at most 2 KB, or all
	// of them if AllHeldPrefixes is true. Entries is the number of entries that get the
	// reports, if any prefixes are told of.
	HeldPrefixes    []byte `msgpack:"hp,omitempty"`
	AllHeldPrefixes bool   `msgpack:"ha,omitempty"`
	Entries         int    `msgpack:"en,omitempty"`
}

// Item is one change of an item in the platform's store, as an entry read it.
type Item struct {
	Key string `msgpack:"k"`
	// Era is the era of Revision. Entries of earlier builds send none, and their
	// items count as of era 0.
	Era      uint64 `msgpack:"e,omitempty"`
	Revision uint64 `msgpack:"r"`
	Removed  bool   `msgpack:"d,omitempty"`
	Value    []byte `msgpack:"v,omitempty"`
}

// Items is the reply to ItemsQuery. It also carries the addresses of the entries
// that the sender has, its own first.
type Items struct {
	Items []Item   `msgpack:"i,omitempty"`
	Peers []string `msgpack:"p,omitempty"`
	// CompleteRevision is the revision up to which the sender has all changes, and
	// Era its era. It is 0 if more messages with further changes follow.
	CompleteRevision uint64 `msgpack:"u,omitempty"`
	Era              uint64 `msgpack:"e,omitempty"`
	// If UpToRevision is not 0, Items are all changes after SinceRevision up to
	// UpToRevision of Era. The sender read them AgeMS milliseconds before, at ReadAtUS
	// microseconds of the clock of View. Earlier builds take only the items, or AgeMS.
	SinceRevision uint64 `msgpack:"s,omitempty"`
	UpToRevision  uint64 `msgpack:"t,omitempty"`
	AgeMS         int64  `msgpack:"a,omitempty"`
	ReadAtUS      int64  `msgpack:"ra,omitempty"`
	// HasUnreadable goes with changes and is true if they include configurations that the
	// sender cannot decode, which a former build leaves out.
	HasUnreadable bool `msgpack:"hu,omitempty"`
	// Crashes, Begun, BegunRuns and Verdicts are what entries tell each other of parts of
	// prompts under which engines crash. A message with one of them has no other
	// fields: to earlier builds, which ignore these, it is a keep-alive message.
	Crashes   []CrashRecord `msgpack:"c,omitempty"`
	Begun     []BegunPart   `msgpack:"b,omitempty"`
	BegunRuns []BegunRuns   `msgpack:"br,omitempty"`
	Verdicts  []PartVerdict `msgpack:"q,omitempty"`
	// RateLimits, PermitAsks and Permits are about targets that name the requests a
	// second which they take from all entries together. A message with one of them has
	// no other fields: to earlier builds it is a keep-alive message. GrantsPermits goes
	// with Peers and is true if the sender replies to asks.
	RateLimits    []RateLimit `msgpack:"l,omitempty"`
	PermitAsks    []PermitAsk `msgpack:"pa,omitempty"`
	Permits       []Permit    `msgpack:"pr,omitempty"`
	GrantsPermits bool        `msgpack:"g,omitempty"`
	// QuotaAsks, QuotaGrants and FleetSize are about the quotas of workspaces. A message
	// with one of them has no other fields: to earlier builds it is a keep-alive message.
	// GrantsQuotas goes with Peers and is true if the sender replies to asks.
	QuotaAsks    []QuotaAsk   `msgpack:"qa,omitempty"`
	QuotaGrants  []QuotaGrant `msgpack:"qg,omitempty"`
	FleetSize    *FleetSize   `msgpack:"fs,omitempty"`
	GrantsQuotas bool         `msgpack:"gq,omitempty"`
	// ServiceDemands are changed demands of the sender for plain services. A message with
	// them has no other fields. ReportsDemand goes with Peers and is true if the sender
	// reports its demand.
	ServiceDemands []ServiceDemand `msgpack:"sd,omitempty"`
	ReportsDemand  bool            `msgpack:"sr,omitempty"`
	// View goes with keep-alive messages, which it makes a question and a reply on the age of
	// the sender's view. Former builds ignore it.
	View *ViewStamp `msgpack:"vs,omitempty"`
}

// ViewStamp is a question for the age of the receiver's view and the reply to the receiver's
// last question.
type ViewStamp struct {
	// Clock is the sender's clock in microseconds, and Echo the last Clock that the sender
	// got from the receiver, 0 if it got none.
	Clock int64 `msgpack:"c"`
	Echo  int64 `msgpack:"e,omitempty"`
	// AgeUS is how old the sender's view was in microseconds when it sent the stamp. The view
	// has all changes up to Revision of Era. All are 0 if the sender has no view.
	AgeUS    int64  `msgpack:"a,omitempty"`
	Era      uint64 `msgpack:"o,omitempty"`
	Revision uint64 `msgpack:"r,omitempty"`
}

// ItemsQuery asks another entry for the changes after a revision of an era.
type ItemsQuery struct {
	AfterRevision uint64 `msgpack:"a"`
	Era           uint64 `msgpack:"e,omitempty"`
}
