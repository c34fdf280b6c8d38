package catalog

import (
	"crypto/sha256"
	"encoding/hex"
	"maps"
	"slices"
)

// Workspace is a group of callers that share keys, a priority and a quota.
type Workspace struct {
	Name string
	// Priority goes before that of the route; 0 is the most urgent.
	Priority int
	Quota    Quota
	// Closed is true if the workspace cannot be used. Requests with its keys are refused.
	Closed bool
}

// maxQuotaIDBytes is the longest name of a workspace in messages between entries.
const maxQuotaIDBytes = 64

// QuotaID identifies the quota of the workspace where entries exchange it: the name, or a hash
// of a long name.
func (w *Workspace) QuotaID() string {
	if len(w.Name) <= maxQuotaIDBytes {
		return w.Name
	}
	hash := sha256.Sum256([]byte(w.Name))
	return "#" + hex.EncodeToString(hash[:16])
}

// Quota bounds what the requests of a workspace may cost at all entries together. The
// zero value is no limit.
type Quota struct {
	// RatePerSecond and Burst are in tokens if CountsTokens is true, else in requests.
	RatePerSecond float64
	Burst         float64
	CountsTokens  bool
	// PlainTokens is the cost of a request without a token count.
	PlainTokens float64
}

// Limited reports whether the quota is a limit.
func (q Quota) Limited() bool { return q.RatePerSecond > 0 }

// keyDigest identifies a key. The key itself is not kept, and a lookup by it takes the same
// time whichever part of a key is wrong.
type keyDigest [sha256.Size]byte

// Workspaces holds the workspaces of a configuration with their keys. The zero value has
// none.
type Workspaces struct {
	byName    map[string]*Workspace
	byQuotaID map[string]*Workspace
	byKey     map[keyDigest]*Workspace
	// Required is true if requests need a key even if no workspace can be used.
	Required bool
	// Incomplete is true if there may be keys that cannot be read.
	Incomplete bool
}

// Add adds a workspace. Of two with one name, which may differ in priority and quota, both are
// closed. It reports whether the name was new.
func (w *Workspaces) Add(workspace *Workspace) bool {
	if w.byName == nil {
		w.byName, w.byQuotaID = make(map[string]*Workspace), make(map[string]*Workspace)
	}
	if other := w.byName[workspace.Name]; other != nil {
		other.Closed, workspace.Closed = true, true
		return false
	}
	w.byName[workspace.Name], w.byQuotaID[workspace.QuotaID()] = workspace, workspace
	return true
}

// closedKey holds the keys of more than one workspace: it is not known whose requests they are.
var closedKey = &Workspace{Closed: true}

// AddKey adds a key of a workspace. It reports whether no other workspace has it; if one does,
// the key is closed.
func (w *Workspaces) AddKey(key string, workspace *Workspace) bool {
	if w.byKey == nil {
		w.byKey = make(map[keyDigest]*Workspace)
	}
	digest := keyDigest(sha256.Sum256([]byte(key)))
	if other := w.byKey[digest]; other != nil && other != workspace {
		w.byKey[digest] = closedKey
		return false
	}
	w.byKey[digest] = workspace
	return true
}

// HasWorkspaces reports whether requests need a key, unless their route is public.
func (c *Config) HasWorkspaces() bool { return c.workspaces.Required || len(c.workspaces.byName) > 0 }

// KeysIncomplete reports whether the configuration may have keys that cannot be read.
func (c *Config) KeysIncomplete() bool { return c.workspaces.Incomplete }

// WorkspaceOf returns the workspace that holds a key, which may be closed.
func (c *Config) WorkspaceOf(key string) (*Workspace, bool) {
	w, ok := c.workspaces.byKey[sha256.Sum256([]byte(key))]
	return w, ok
}

// Workspace returns the workspace with a name.
func (c *Config) Workspace(name string) (*Workspace, bool) {
	w, ok := c.workspaces.byName[name]
	return w, ok
}

// WorkspaceOfQuota returns the workspace with a QuotaID.
func (c *Config) WorkspaceOfQuota(id string) (*Workspace, bool) {
	w, ok := c.workspaces.byQuotaID[id]
	return w, ok
}

// Workspaces returns the workspaces by name.
func (c *Config) Workspaces() []*Workspace {
	var list []*Workspace
	for _, name := range slices.Sorted(maps.Keys(c.workspaces.byName)) {
		list = append(list, c.workspaces.byName[name])
	}
	return list
}

// KeyCount returns the number of keys of the workspace with a name.
func (c *Config) KeyCount(name string) (n int) {
	for _, w := range c.workspaces.byKey {
		if w.Name == name {
			n++
		}
	}
	return n
}

// WorkspaceCount returns the number of workspaces.
func (c *Config) WorkspaceCount() int { return len(c.workspaces.byName) }

// SetWorkspaces sets the workspaces. It is called before the configuration is used.
func (c *Config) SetWorkspaces(w Workspaces) { c.workspaces = w }
