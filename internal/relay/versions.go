package relay

import (
	"context"
	"math/rand"
	"sync"
	"time"

	"agatelanding.example/agatelanding/internal/catalog"
	"agatelanding.example/agatelanding/internal/decide/softwareversion"
	"agatelanding.example/agatelanding/internal/result"
)

// maxConfirmWait bounds how long the first event of a stream waits until its software
// version is known outside of this entry. Usually that is so before the event arrives.
const maxConfirmWait = 100 * time.Millisecond

// unknownVersionRetryAfter is the Retry-After of a stream whose version is not known, before
// it is bounded by the deadline. Another entry may know it.
const unknownVersionRetryAfter = 300 * time.Millisecond

// versionRecord records the software version that serves a stream. A search for another
// target may go on beside the present attempt, so that two versions may be sent the request;
// the one that brings the first event is settled. It is safe for concurrent use.
type versionRecord struct {
	record func(version string, order uint64) (confirmed <-chan struct{})
	// home is the version at which the stream has to begin, nil for any.
	home *string

	mu        sync.Mutex
	version   string
	order     uint64
	settled   bool
	confirmed <-chan struct{}
}

// sent records that the request is sent to a version. It reports false if another version
// has brought the first event.
func (v *versionRecord) sent(version string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.settled {
		return version == v.version
	}
	if v.home != nil && version != *v.home {
		return false
	}
	v.set(version)
	return true
}

// set records a version unless it is the recorded one. The caller holds mu.
func (v *versionRecord) set(version string) {
	if v.order == 0 || version != v.version {
		v.order++
		v.version = version
		v.confirmed = v.record(version, v.order)
	}
}

// settle records that a version brings the first event, and returns a channel that is closed
// once that is known outside of this entry.
func (v *versionRecord) settle(version string) (confirmed <-chan struct{}) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if !v.settled {
		v.set(version)
		v.settled = true
	}
	return v.confirmed
}

// bound returns the version that the stream must begin or stay at, nil if any may serve it.
func (v *versionRecord) bound() *string {
	v.mu.Lock()
	defer v.mu.Unlock()
	if !v.settled {
		return v.home
	}
	version := v.version
	return &version
}

// hasBegun reports whether a version has brought the first event.
func (v *versionRecord) hasBegun() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.settled
}

// attemptOf returns an attempt of the caller at this stream.
func (x *callerRequest) attemptOf(id string) StreamAttempt {
	return StreamAttempt{Workspace: x.caller.name(), Host: x.r.Host, Path: x.r.URL.EscapedPath(), ID: id, Key: x.streamKey}
}

// streamKey returns what all attempts at a stream have in common: the last part of the prompt,
// which is that of the session if there is one, or else the content of the request.
func (x *callerRequest) streamKey() string {
	if n := len(x.meta.PromptParts); n > 0 {
		return x.meta.PromptParts[n-1]
	}
	return x.identity.Content()
}

// resolveVersion finds out at which software version a stream has to go on that the request
// takes up. It returns a refusal if that is not known.
func (x *callerRequest) resolveVersion(ctx context.Context) error {
	if x.route.Kind != catalog.Stream {
		return nil
	}
	x.versions = &versionRecord{record: func(version string, order uint64) <-chan struct{} {
		return x.h.StreamVersions.Record(x.attemptOf(x.meta.AttemptID), x.poolName, version, order)
	}}
	if x.meta.Resumes == "" && x.meta.LastEventID == "" {
		if !x.route.Resumable {
			return nil
		}
		if version, bound := x.h.StreamVersions.Home(x.attemptOf(x.meta.AttemptID), x.poolName); bound {
			x.versions.home = &version
		}
		return nil
	}
	decision, version := x.h.StreamVersions.Resolve(ctx, x.attemptOf(x.meta.Resumes), x.poolName)
	switch decision {
	case softwareversion.Only:
		x.versions.settle(version)
	case softwareversion.None:
		x.history.lastCode = result.StreamVersionUnknown
		return result.Refuse(result.StreamVersionUnknown, callerRetryAfter(unknownVersionRetryAfter, x.remaining(), rand.Float64()), "")
	}
	return nil
}

// sentTo records that the request is sent to a target, and reports whether it may be.
func (x *callerRequest) sentTo(target *catalog.Target) bool {
	return x.versions == nil || x.versions.sent(target.SoftwareVersion)
}

// requiredVersion returns the software version that the targets of the request must have, nil
// for any.
func (x *callerRequest) requiredVersion() *string {
	if x.versions == nil {
		return nil
	}
	return x.versions.bound()
}

// settleVersion makes the stream stay at the version of the present target, which brings its
// first event.
func (x *callerRequest) settleVersion() {
	if x.versions == nil {
		return
	}
	select {
	case <-x.versions.settle(x.grant.Target.SoftwareVersion):
	case <-time.After(maxConfirmWait):
		x.h.Metrics.Count("stream_versions_unconfirmed")
	}
}
