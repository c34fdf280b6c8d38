package soak_test

import (
	"fmt"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"agatelanding.example/agatelanding/platform/standin"
)

const (
	// revokeTime is revoke_ms of the settings. The default of 5 s is longer than most faults
	// and would leave little of a short run after the first withdrawal.
	revokeTime = 3 * time.Second
	// unseenTime is how long entries do not see a withdrawal after revokeTime.
	unseenTime = 2 * time.Second
	// openKey and limitedKey are in every configuration. The workspace of a key is what
	// comes before the hyphen; w1 has no quota, w2 has one.
	openKey, limitedKey = "w1-0", "w2-0"
	limitedWorkspace    = "w2"
	// The callers ask for about four times what the quota and its margin let run.
	quotaRate, quotaSlack, quotaOverage = 600.0, 600.0, 0.25
	quotaWindow                         = 8 * time.Second
	// promptTokens and maxTokens of a stream make up its cost, plainCost is that of others.
	promptTokens, maxTokens, plainCost = 100, 60, 200
)

// maxQuotaUse is what may run for the limited workspace in any quotaWindow.
var maxQuotaUse = (quotaRate*quotaWindow.Seconds()+quotaRate)*(1+quotaOverage) + quotaSlack

// rotatedKey returns a key of w1 that was or will be withdrawn, for a number of at least 1.
func rotatedKey(number int64) string { return fmt.Sprintf("w1-%d", number) }

// workspaces returns the workspaces of the present configuration.
func (f *fleet) workspaces() []map[string]any {
	return []map[string]any{
		standin.Workspace("w1", 1, 0, openKey, rotatedKey(f.keyNumber.Load())),
		oddWorkspaces[f.configVersion%len(oddWorkspaces)],
		standin.Workspace(limitedWorkspace, 1, quotaRate, limitedKey),
	}
}

// oddWorkspaces are unusual or cannot be used. Each version of the configuration has one of them;
// the rest of the version has to take effect all the same.
var oddWorkspaces = []map[string]any{
	standin.Workspace("a name with spaces", 1, 0, "odd-0"),
	standin.Workspace("a\nb", 1, 0, "odd-0"),
	standin.Workspace("სახელი", 1, 1e15, "odd-0"),
	{"name": "odd", "api_keys": []string{"odd-0"}, "unit": "stones", "rate_per_s": 2.5},
	standin.Workspace(strings.Repeat("long", 100), 1, 100, "odd-0", ""),
	{"name": []int{1}, "api_keys": "odd-0", "priority": "high"},
}

// drawKey returns the key of a request: that of the limited workspace, one that was or will be
// withdrawn, or openKey.
func (s *soak) drawKey(request int64) string {
	switch request % 4 {
	case 0:
		return limitedKey
	case 1:
		return rotatedKey(max(1, s.keyNumber.Load()-request/4%3))
	}
	return openKey
}

// withdrawKey replaces the rotated key.
func (s *soak) withdrawKey() {
	old := rotatedKey(s.keyNumber.Add(1) - 1)
	s.publishNextConfig()
	s.withdrawals[old] = time.Now()
}

// withdrawKeyUnseen withdraws a key while no entry reaches the store and one is suspended,
// without another fault: random ones heal, or restart entries, before it may no longer be used.
func (s *soak) withdrawKeyUnseen() {
	suspended := s.fleet.entries[s.keyRng.Intn(entryCount)]
	suspended.signal(syscall.SIGSTOP)
	for _, p := range s.storeProxies {
		p.setMode(dropBothWays)
	}
	s.withdrawKey()
	time.Sleep(revokeTime + unseenTime/2)
	suspended.signal(syscall.SIGCONT)
	time.Sleep(unseenTime / 2)
	for _, p := range s.storeProxies {
		p.setMode(passData)
		p.resetAll()
	}
	s.waitServing("after a withdrawal that no entry saw")
}

// keyFault returns what is wrong with the runs of a request as to its key, empty if nothing.
// withdrawn is when its key was withdrawn, zero if it was not.
func keyFault(o outcome, runs []standin.Run, withdrawn time.Time) string {
	workspace, _, _ := strings.Cut(o.key, "-")
	for _, run := range runs {
		switch {
		case run.Key != "":
			return "the target got a key"
		case run.Workspace != workspace:
			return fmt.Sprintf("the target got the workspace %q", run.Workspace)
		case !withdrawn.IsZero() && o.sent.After(withdrawn.Add(revokeTime)):
			return fmt.Sprintf("ran at %s, sent %v after the withdrawal of its key", run.Replica, o.sent.Sub(withdrawn))
		}
	}
	switch {
	case o.status == 401 && len(runs) > 0 && (o.kind == "release" || o.kind == "brief"):
		return "was refused with 401 but was executed"
	case o.status == 401 && (o.key == openKey || o.key == limitedKey):
		return "was refused with 401 though its key is in every configuration"
	}
	return ""
}

// charge is the cost of a request that ran, at the start of its first run.
type charge struct {
	at    time.Time
	units float64
}

// mostUnits returns the largest sum of charges in any quotaWindow.
func mostUnits(charges []charge) (most float64) {
	slices.SortFunc(charges, func(a, b charge) int { return a.at.Compare(b.at) })
	sum, first := 0.0, 0
	for _, c := range charges {
		for sum += c.units; c.at.Sub(charges[first].at) >= quotaWindow; first++ {
			sum -= charges[first].units
		}
		most = max(most, sum)
	}
	return most
}

// checkWorkspaces checks from the targets' side that no key reached them, that they got the
// workspace of the key, that no withdrawn key was used for too long, and that the quota held.
func (s *soak) checkWorkspaces(runs map[string][]standin.Run) {
	var charges []charge
	late, refused := 0, 0
	for _, o := range s.outcomes {
		list, withdrawn := runs[o.id], s.withdrawals[o.key]
		if fault := keyFault(o, list, withdrawn); fault != "" {
			s.t.Errorf("%s %s with key %s: %s", o.kind, o.id, o.key, fault)
		}
		if !withdrawn.IsZero() && o.sent.After(withdrawn.Add(revokeTime)) {
			late++
		}
		if o.status == 429 {
			refused++
		}
		if o.key != limitedKey || len(list) == 0 {
			continue
		}
		c := charge{at: slices.MinFunc(list, func(a, b standin.Run) int { return a.Started.Compare(b.Started) }).Started, units: plainCost}
		if o.kind == "query" || o.kind == "brief" {
			c.units = promptTokens + maxTokens
		}
		charges = append(charges, c)
	}
	most := mostUnits(charges)
	if most > maxQuotaUse {
		s.t.Errorf("requests of %v tokens ran for %s in %v, %v are allowed", most, limitedWorkspace, quotaWindow, maxQuotaUse)
	}
	s.t.Logf("%d keys withdrawn, %d requests sent with one after %v; %s: %d requests ran, %d got 429, at most %v of %v tokens in %v",
		len(s.withdrawals), late, revokeTime, limitedWorkspace, len(charges), refused, most, maxQuotaUse, quotaWindow)
}

// TestWorkspaceChecks guards against checks of keys and quotas that find nothing.
func TestWorkspaceChecks(t *testing.T) {
	now := time.Now()
	sound := standin.Run{Workspace: "w1"}
	for i, c := range []struct {
		o         outcome
		run       standin.Run
		withdrawn time.Time
		fault     bool
	}{
		{outcome{key: "w1-1", sent: now}, sound, time.Time{}, false},
		{outcome{key: "w1-1"}, standin.Run{Workspace: "w1", Key: "Bearer w1-1"}, time.Time{}, true},
		{outcome{key: "w1-1"}, standin.Run{}, time.Time{}, true},
		{outcome{key: "w2-0"}, sound, time.Time{}, true},
		{outcome{key: "w1-1", sent: now}, sound, now.Add(-revokeTime), false},
		{outcome{key: "w1-1", sent: now}, sound, now.Add(-revokeTime - 1), true},
		{outcome{key: "w1-1", kind: "release", status: 401}, sound, now, true},
		{outcome{key: openKey, status: 401}, sound, time.Time{}, true},
	} {
		if fault := keyFault(c.o, []standin.Run{c.run}, c.withdrawn); (fault != "") != c.fault {
			t.Errorf("case %d: %q", i, fault)
		}
	}
	var charges []charge
	for i := range 24 {
		charges = append(charges, charge{now.Add(-time.Duration(i) * time.Second), 100})
	}
	if most := mostUnits(charges); most != 800 {
		t.Errorf("%v in a window, want 800", most)
	}
}
