package result

import (
	"net/http"
	"slices"
)

// Result codes. The first digit is the group: 1 wrong request, 2 refused and
// not run, 3 outcome unknown, 4 ran and failed, 5 configuration, 6 protocol
// between processes, 7 settings, process and command line, 8 over a limit of the
// caller and not run, 9 internal. Info
// gives the meaning of each code.
const (
	OK Code = 0

	BadRequest       Code = 1001
	BodyTooLarge     Code = 1002
	UnknownRoute     Code = 1003
	MethodNotAllowed Code = 1004
	KeyInvalid       Code = 1005
	CallerGone       Code = 1006
	KeyReused        Code = 1007
	Unauthorized     Code = 1008
	BodyTooSlow      Code = 1009

	BudgetExceeded     Code = 2001
	QueueFull          Code = 2002
	NoTarget           Code = 2003
	TargetLeaving      Code = 2004
	AdapterLoadFailed  Code = 2005
	DeadlinePassed     Code = 2006
	StaleConfiguration Code = 2007
	NotHome            Code = 2008
	ReservationExpired Code = 2009
	EngineUnavailable  Code = 2010
	EntryLeaving       Code = 2011
	NoConfiguration    Code = 2012
	AuthorityLost      Code = 2013
	SessionLost        Code = 2014
	RecordsFull        Code = 2015
	UnknownReservation Code = 2016
	CancelledNotRun    Code = 2017
	TargetsPaused      Code = 2018
	PromptQuarantined  Code = 2019
	TargetsLimited     Code = 2020
	RequestQuarantined Code = 2021
	RequestSuspected   Code = 2022
	// Codes of streams that stay at the software version which began them.
	StreamVersionUnknown Code = 2023
	StreamVersionGone    Code = 2024
	KeysOutdated         Code = 2026
	NoRoomForBody        Code = 2027
	ItemClosed           Code = 2028

	OutcomeUnknown Code = 3001
	KeyUnknown     Code = 3002
	KeyInProgress  Code = 3003

	EngineFailed Code = 4001
	AnswerCut    Code = 4002
	Cancelled    Code = 4003
	WrongAdapter Code = 4004

	DanglingName      Code = 5001
	DuplicateName     Code = 5002
	ValueTooLarge     Code = 5003
	RevisionTooLow    Code = 5004
	RevisionConflict  Code = 5005
	MalformedTable    Code = 5006
	PartMissing       Code = 5007
	PlatformUnreached Code = 5008

	FrameTooLarge    Code = 6001
	VersionMismatch  Code = 6002
	UnexpectedFrame  Code = 6003
	MalformedMessage Code = 6004
	UntrustedPeer    Code = 6005

	SettingInvalid Code = 7001
	AddressInUse   Code = 7002
	UsageError     Code = 7003

	QuotaExceeded Code = 8001

	Internal Code = 9001
)

// CallerRetry states when a caller may send a request again after a code.
type CallerRetry uint8

const (
	// CallerRetryNone is for codes that are not a response to a request.
	CallerRetryNone CallerRetry = iota
	// CallerRetryLater allows it at any time, preferably after Retry-After.
	CallerRetryLater
	// CallerRetrySameKey allows it after Retry-After under the same key.
	CallerRetrySameKey
	// CallerRetryCorrected allows it once the request is corrected.
	CallerRetryCorrected
	// CallerRetryNewKey allows it under a new key.
	CallerRetryNewKey
	// CallerRetryIdempotent allows it at any time if the request is idempotent.
	// For other requests the caller must check the outcome first.
	CallerRetryIdempotent
	// CallerRetryChecked allows it under a new key, once the caller has checked
	// by other means that the request was not executed.
	CallerRetryChecked
)

// String returns the text that CODES.md uses.
func (r CallerRetry) String() string {
	switch r {
	case CallerRetryLater:
		return "yes, after Retry-After"
	case CallerRetrySameKey:
		return "yes, after Retry-After, under the same key"
	case CallerRetryCorrected:
		return "after correcting it"
	case CallerRetryNewKey:
		return "under a new key"
	case CallerRetryIdempotent:
		return "if idempotent; otherwise check the outcome first"
	case CallerRetryChecked:
		return "under a new key, after checking the outcome"
	}
	return "-"
}

// Info describes a code. docs/CODES.md is generated from these descriptions.
type Info struct {
	Code      Code
	Name      string
	HTTP      int
	Execution Execution
	// CallerMayRetry is true if the caller may send the request again
	// unchanged without risk of a second execution.
	CallerMayRetry bool
	// CallerRetry states when the caller may send the request again.
	CallerRetry CallerRetry
	// RetryElsewhere is true if the entry may retry the request at another
	// target. After a code with Execution Ran it does so for idempotent
	// requests only.
	RetryElsewhere bool
	// Meaning is one or two sentences for docs/CODES.md and for the error
	// message in the response to the caller.
	Meaning string
}

var infos = []Info{
	{BadRequest, "bad_request", http.StatusBadRequest, NotRun, false, CallerRetryCorrected, false, "The request is malformed. Correct it before sending it again."},
	{BodyTooLarge, "body_too_large", http.StatusRequestEntityTooLarge, NotRun, false, CallerRetryCorrected, false, "The body is larger than the entry's limit."},
	{UnknownRoute, "unknown_route", http.StatusNotFound, NotRun, false, CallerRetryCorrected, false, "No route matches the model name or path."},
	{MethodNotAllowed, "method_not_allowed", http.StatusMethodNotAllowed, NotRun, false, CallerRetryCorrected, false, "The path does not take this HTTP method."},
	{KeyInvalid, "key_invalid", http.StatusBadRequest, NotRun, false, CallerRetryCorrected, false, "The route needs an Idempotency-Key and the request has none, or a malformed one."},
	{CallerGone, "caller_gone", 499, Unknown, false, CallerRetryIdempotent, false, "The caller closed its connection before the answer ended."},
	{KeyReused, "key_reused", http.StatusUnprocessableEntity, NotRun, false, CallerRetryNewKey, false, "The key was used before with a different request."},
	{Unauthorized, "unauthorized", http.StatusUnauthorized, NotRun, false, CallerRetryCorrected, false, "The request needs the key of a workspace and has none that is in force."},
	{BodyTooSlow, "body_too_slow", http.StatusRequestTimeout, NotRun, true, CallerRetryLater, false, "The body did not arrive before the deadline, or stood still while other bodies waited for memory. The connection is closed."},

	{BudgetExceeded, "budget_exceeded", http.StatusServiceUnavailable, NotRun, true, CallerRetryLater, true, "The predicted start is past the time budget of the class."},
	{QueueFull, "queue_full", http.StatusServiceUnavailable, NotRun, true, CallerRetryLater, true, "The target's queue is at its limit."},
	{NoTarget, "no_target", http.StatusServiceUnavailable, NotRun, true, CallerRetryLater, false, "No target of the pool can take the request now."},
	{TargetLeaving, "target_leaving", http.StatusServiceUnavailable, NotRun, true, CallerRetryLater, true, "The target is stopping and takes no new work."},
	{AdapterLoadFailed, "adapter_load_failed", http.StatusServiceUnavailable, NotRun, true, CallerRetryLater, true, "The engine could not load the adapter."},
	{DeadlinePassed, "deadline_passed", http.StatusServiceUnavailable, NotRun, true, CallerRetryLater, false, "The time budget ended before the request started."},
	{StaleConfiguration, "stale_configuration", http.StatusServiceUnavailable, NotRun, true, CallerRetryLater, true, "The request was routed by a configuration older than the target's."},
	{NotHome, "not_home", http.StatusServiceUnavailable, NotRun, true, CallerRetryLater, false, "The target is not the one that runs requests with this idempotency key."},
	{ReservationExpired, "reservation_expired", http.StatusServiceUnavailable, NotRun, true, CallerRetryLater, true, "The reservation ended before the entry used it."},
	{EngineUnavailable, "engine_unavailable", http.StatusServiceUnavailable, NotRun, true, CallerRetryLater, true, "The engine or service beside the target process does not answer."},
	{EntryLeaving, "entry_leaving", http.StatusServiceUnavailable, NotRun, true, CallerRetryLater, false, "The entry is stopping."},
	{NoConfiguration, "no_configuration", http.StatusServiceUnavailable, NotRun, true, CallerRetryLater, false, "The entry has no configuration in force yet."},
	{AuthorityLost, "authority_lost", http.StatusServiceUnavailable, NotRun, true, CallerRetryLater, true, "The target process was suspended for a time, or its engine no longer accepts its orders. It checks its engine again."},
	{SessionLost, "session_lost", http.StatusServiceUnavailable, NotRun, true, CallerRetryLater, true, "The session to the target ended before the request was sent."},
	{RecordsFull, "records_full", http.StatusServiceUnavailable, NotRun, true, CallerRetryLater, false, "The target that runs requests with this idempotency key has no room for a further idempotency record."},
	{UnknownReservation, "unknown_reservation", http.StatusServiceUnavailable, NotRun, true, CallerRetryLater, true, "The target does not know the reservation."},
	{CancelledNotRun, "cancelled_not_run", http.StatusServiceUnavailable, NotRun, true, CallerRetryLater, true, "The request was cancelled before it started."},
	{TargetsPaused, "targets_paused", http.StatusServiceUnavailable, NotRun, true, CallerRetryLater, false, "Every target of the pool that could take the request has asked to be left alone for a time."},
	{PromptQuarantined, "prompt_quarantined", http.StatusServiceUnavailable, NotRun, true, CallerRetryLater, false, "The prompt has a part under which engines crash, so it is sent to none. With the status 502 a target may have run the request."},
	{TargetsLimited, "targets_limited", http.StatusServiceUnavailable, NotRun, true, CallerRetryLater, false, "The targets that could take the request name the requests a second that they take, and there is no room within the deadline."},
	{RequestQuarantined, "request_quarantined", http.StatusServiceUnavailable, NotRun, true, CallerRetryLater, false, "The request has crashed the targets that ran it, so it is sent to none. With the status 502 a target may have run it this time."},
	{RequestSuspected, "request_suspected", http.StatusServiceUnavailable, NotRun, true, CallerRetryLater, false, "The request was under way at targets that crashed and may be why. Until that is known, it is sent to one target at a time."},
	{StreamVersionUnknown, "stream_version_unknown", http.StatusServiceUnavailable, NotRun, true, CallerRetryLater, false, "The request takes up a stream, nobody knows at which software version it began, and targets of several have come or gone lately."},
	{StreamVersionGone, "stream_version_gone", http.StatusServiceUnavailable, NotRun, true, CallerRetryLater, false, "No target that takes requests has the software version that began the stream. With the status 502 a target may have run the request."},
	{KeysOutdated, "keys_outdated", http.StatusServiceUnavailable, NotRun, true, CallerRetryLater, false, "The entry does not know the present keys of the workspaces, so that one of them may have been withdrawn."},
	{NoRoomForBody, "no_room_for_body", http.StatusServiceUnavailable, NotRun, true, CallerRetryLater, false, "The entry has no memory for the body now. The connection is closed."},
	{ItemClosed, "item_closed", http.StatusServiceUnavailable, NotRun, true, CallerRetryLater, false, "The configuration in force has a route, a workspace or a key for the request that cannot be used or read. The operator has to correct it."},

	{OutcomeUnknown, "outcome_unknown", http.StatusBadGateway, Unknown, false, CallerRetryChecked, false, "The request may have been executed. Check before sending it again under a new key."},
	{KeyUnknown, "key_unknown", http.StatusConflict, Unknown, false, CallerRetryChecked, false, "The target that runs requests with this idempotency key cannot determine whether a request with this key was executed before. This request was not executed."},
	{KeyInProgress, "key_in_progress", http.StatusConflict, Unknown, true, CallerRetrySameKey, false, "A request with the same key is being executed. Repeat it under the same key later."},

	{EngineFailed, "engine_failed", http.StatusBadGateway, Ran, false, CallerRetryIdempotent, true, "The engine failed during execution."},
	{AnswerCut, "answer_cut", http.StatusBadGateway, Ran, false, CallerRetryIdempotent, true, "The answer ended before it was whole."},
	{Cancelled, "cancelled", http.StatusBadGateway, Ran, false, CallerRetryIdempotent, false, "The request was cancelled during execution."},
	{WrongAdapter, "wrong_adapter", http.StatusBadGateway, Ran, false, CallerRetryIdempotent, true, "The engine answered with another adapter or version. The answer was dropped."},

	{DanglingName, "dangling_name", 0, NotARequest, false, CallerRetryNone, false, "A route names a pool or class that the pool table does not have."},
	{DuplicateName, "duplicate_name", 0, NotARequest, false, CallerRetryNone, false, "A name or match occurs twice."},
	{ValueTooLarge, "value_too_large", 0, NotARequest, false, CallerRetryNone, false, "A value is larger than its limit."},
	{RevisionTooLow, "revision_too_low", 0, NotARequest, false, CallerRetryNone, false, "The snapshot's revision is lower than one already in force."},
	{RevisionConflict, "revision_conflict", 0, NotARequest, false, CallerRetryNone, false, "Two snapshots with the same revision differ."},
	{MalformedTable, "malformed_table", 0, NotARequest, false, CallerRetryNone, false, "A table does not parse, or a field is out of range."},
	{PartMissing, "part_missing", 0, NotARequest, false, CallerRetryNone, false, "A part of the snapshot is missing or has the wrong digest."},
	{PlatformUnreached, "platform_unreached", 0, NotARequest, false, CallerRetryNone, false, "A platform service did not answer."},

	{FrameTooLarge, "frame_too_large", 0, NotARequest, false, CallerRetryNone, false, "A frame is larger than the limit. The connection is closed."},
	{VersionMismatch, "version_mismatch", 0, NotARequest, false, CallerRetryNone, false, "The peer has another protocol version."},
	{UnexpectedFrame, "unexpected_frame", 0, NotARequest, false, CallerRetryNone, false, "A frame arrived that is not allowed at this point."},
	{MalformedMessage, "malformed_message", 0, NotARequest, false, CallerRetryNone, false, "A message does not decode."},
	{UntrustedPeer, "untrusted_peer", 0, NotARequest, false, CallerRetryNone, false, "A peer's certificate is missing or for another process."},

	{SettingInvalid, "setting_invalid", 0, NotARequest, false, CallerRetryNone, false, "A settings file is invalid. The error text names the file, line and field."},
	{AddressInUse, "address_in_use", 0, NotARequest, false, CallerRetryNone, false, "A listen address is in use."},
	{UsageError, "usage_error", 0, NotARequest, false, CallerRetryNone, false, "The command line is invalid."},

	{QuotaExceeded, "quota_exceeded", http.StatusTooManyRequests, NotRun, true, CallerRetryLater, false, "The workspace has used up its quota. The request fits after Retry-After."},

	{Internal, "internal", http.StatusInternalServerError, Unknown, false, CallerRetryIdempotent, false, "A fault in the process. Report it."},
}

var infoByCode = func() map[Code]Info {
	m := make(map[Code]Info, len(infos))
	for _, info := range infos {
		m[info.Code] = info
	}
	return m
}()

// Info returns the description of the code. For OK it has the HTTP status 200,
// for an undefined code the name "undefined" and the status 500.
func (c Code) Info() Info {
	if info, ok := infoByCode[c]; ok {
		return info
	}
	if c == OK {
		return Info{Code: OK, Name: "ok", HTTP: http.StatusOK, Execution: Ran}
	}
	return Info{Code: c, Name: "undefined", HTTP: http.StatusInternalServerError, Execution: Unknown}
}

// String returns the name of the code.
func (c Code) String() string { return c.Info().Name }

// All returns the descriptions of all codes but OK, in ascending order.
func All() []Info {
	all := slices.Clone(infos)
	slices.SortFunc(all, func(a, b Info) int { return int(a.Code) - int(b.Code) })
	return all
}
