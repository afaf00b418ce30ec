// Package code defines a number for each result of the system. docs/codes.md has the same table
// in prose; a test compares the two.
package code

import (
	"errors"
	"fmt"
	"net/http"
	"time"
)

// Code is a result number. The hundreds digit is the category: 1 request validation, 2
// rejections (nothing ran), 3 outcomes of a forwarded job, 4 control, 5 communication between
// processes and storage, 6 start-up.
type Code int

// The codes. docs/codes.md describes each of them; Table has their names, their HTTP statuses
// and whether the work may have run. Numbers and names are public and must not change.
const (
	OK Code = 0

	BadJSON      Code = 101
	TooLarge     Code = 102
	UnknownField Code = 103
	BadHeader    Code = 104
	NoHeader     Code = 105
	BadTime      Code = 106
	NoRoute      Code = 107
	NoTurn       Code = 108
	Expired      Code = 109
	KeyReused    Code = 110
	BadField     Code = 111
	BadProgram   Code = 112
	BodyLost     Code = 113
	UnknownKey   Code = 114

	BacklogFull       Code = 201
	DeadlinePassed    Code = 202
	Cooling           Code = 203
	NoRunner          Code = 204
	Stopping          Code = 205
	StoresUnreachable Code = 207
	BudgetSpent       Code = 208
	RunnerDrop        Code = 209
	NotReady          Code = 210
	FellBack          Code = 211
	Overtaken         Code = 212
	TooLong           Code = 213
	OverQuota         Code = 214
	MemoryFull        Code = 215

	OutcomeUnknown Code = 301
	InProgress     Code = 302
	Incomplete     Code = 303
	RunnerFailure  Code = 304
	NotKept        Code = 305
	ClaimPast      Code = 306
	TimedOut       Code = 307

	SpecConflict    Code = 401
	NotInForce      Code = 402
	BadSpec         Code = 403
	CoreUnreachable Code = 404
	NoZone          Code = 405
	LastZone        Code = 406
	NoVersion       Code = 407
	NoPath          Code = 408
	NoMember        Code = 409
	BadDay          Code = 410
	BelowCopies     Code = 411
	InSet           Code = 412
	UsedIdentity    Code = 413
	SetChanging     Code = 414
	BadPolicy       Code = 415
	NotApproved     Code = 416
	NoJob           Code = 417
	FewLive         Code = 418
	Forgotten       Code = 419
	NotSeen         Code = 420
	OutOfContact    Code = 421

	FrameTooLong   Code = 501
	Garbled        Code = 502
	WireVersion    Code = 503
	OldEpoch       Code = 504
	WrongIdentity  Code = 505
	NotVoting      Code = 506
	OldBallot      Code = 507
	UnknownMessage Code = 508
	DiskFailure    Code = 509
	Unreachable    Code = 510
	Unknown        Code = 511
	NotHolder      Code = 512
	DiskFull       Code = 513
	StaleSpec      Code = 514
	DiskStalled    Code = 515
	WriteUncertain Code = 516
	FolderOutdated Code = 517
	Overloaded     Code = 518

	BadFlag       Code = 601
	ForeignFolder Code = 602
	FolderVersion Code = 603
	NotBootable   Code = 604
)

// Row is an entry of Table.
type Row struct {
	Code   Code
	Name   string
	Status int // HTTP status; 0 if the code is never returned over HTTP
	Ran    string
}

// Table lists all codes. Ran tells a caller whether the work may have run.
var Table = []Row{
	{OK, "ok", 200, "yes"},
	{BadJSON, "bad_json", 400, "no"},
	{TooLarge, "too_large", 413, "no"},
	{UnknownField, "unknown_field", 400, "no"},
	{BadHeader, "bad_header", 400, "no"},
	{NoHeader, "no_header", 400, "no"},
	{BadTime, "bad_time", 400, "no"},
	{NoRoute, "no_route", 404, "no"},
	{NoTurn, "no_turn", 404, "no"},
	{Expired, "past_keeping", 410, "no"},
	{KeyReused, "key_reused", 422, "no"},
	{BadField, "bad_field", 400, "no"},
	{BadProgram, "bad_program", 409, "no"},
	{BodyLost, "body_lost", 408, "no"},
	{UnknownKey, "unknown_key", 401, "no"},
	{BacklogFull, "backlog_full", 503, "no"},
	{DeadlinePassed, "cutoff_passed", 504, "no"},
	{Cooling, "cooling", 429, "no"},
	{NoRunner, "no_runner", 503, "no"},
	{Stopping, "stopping", 503, "no"},
	{StoresUnreachable, "tier_away", 503, "no"},
	{BudgetSpent, "budget_spent", 402, "no"},
	{RunnerDrop, "runner_drop", 429, "no"},
	{NotReady, "not_ready", 503, "no"},
	{FellBack, "fell_back", 503, "no"},
	{Overtaken, "overtaken", 503, "no"},
	{TooLong, "too_long", 503, "no"},
	{OverQuota, "over_quota", 429, "no"},
	{MemoryFull, "memory_full", 503, "no"},
	{OutcomeUnknown, "outcome_unknown", 502, "unknown"},
	{InProgress, "in_progress", 409, "unknown"},
	{Incomplete, "not_whole", 502, "unknown"},
	{RunnerFailure, "runner_problem", 502, "unknown"},
	{NotKept, "not_kept", 502, "unknown"},
	{ClaimPast, "claim_past", 410, "unknown"},
	{TimedOut, "timed_out", 504, "unknown"},
	{SpecConflict, "spec_conflict", 409, ""},
	{NotInForce, "not_in_force", 202, ""},
	{BadSpec, "bad_spec", 400, ""},
	{CoreUnreachable, "core_away", 503, ""},
	{NoZone, "no_zone", 404, ""},
	{LastZone, "last_zone", 409, ""},
	{NoVersion, "no_version", 404, ""},
	{NoPath, "no_path", 404, ""},
	{NoMember, "no_member", 404, ""},
	{BadDay, "bad_day", 0, ""},
	{BelowCopies, "below_copies", 409, ""},
	{InSet, "in_set", 409, ""},
	{UsedIdentity, "used_identity", 409, ""},
	{SetChanging, "set_changing", 409, ""},
	{BadPolicy, "bad_policy", 400, ""},
	{NotApproved, "not_approved", 409, ""},
	{NoJob, "no_job", 404, ""},
	{FewLive, "few_live", 503, ""},
	{Forgotten, "order_forgotten", 503, ""},
	{NotSeen, "not_heard", 503, ""},
	{OutOfContact, "out_of_touch", 503, ""},
	{FrameTooLong, "frame_too_long", 0, ""},
	{Garbled, "garbled", 0, ""},
	{WireVersion, "wire_version", 0, ""},
	{OldEpoch, "old_epoch", 0, ""},
	{WrongIdentity, "wrong_identity", 0, ""},
	{NotVoting, "not_voting", 0, ""},
	{OldBallot, "old_ballot", 0, ""},
	{UnknownMessage, "unknown_msg", 0, ""},
	{DiskFailure, "disk_problem", 500, ""},
	{Unreachable, "unreachable", 503, ""},
	{Unknown, "unknown", 500, ""},
	{NotHolder, "not_holder", 0, ""},
	{DiskFull, "disk_full", 0, ""},
	{StaleSpec, "stale_spec", 0, ""},
	{DiskStalled, "disk_stalled", 0, ""},
	{WriteUncertain, "write_unsure", 0, ""},
	{FolderOutdated, "folder_outdated", 0, ""},
	{Overloaded, "overloaded", 0, ""},
	{BadFlag, "bad_flag", 0, ""},
	{ForeignFolder, "foreign_folder", 0, ""},
	{FolderVersion, "folder_version", 0, ""},
	{NotBootable, "not_bootable", 0, ""},
}

var rows = func() map[Code]Row {
	m := make(map[Code]Row, len(Table))
	for _, r := range Table {
		m[r.Code] = r
	}
	return m
}()

func (c Code) row() Row {
	if r, ok := rows[c]; ok {
		return r
	}
	return Row{c, fmt.Sprintf("code_%d", int(c)), http.StatusInternalServerError, "unknown"}
}

// Name returns the public name of the code.
func (c Code) Name() string { return c.row().Name }

// Status returns the HTTP status of the code.
func (c Code) Status() int { return c.row().Status }

// IsRejection reports whether the code is a rejection of a valid request. Another attempt of
// the same request may have run.
func (c Code) IsRejection() bool { return c >= 200 && c < 300 }

// Ran returns "no", "yes", "unknown" or an empty string.
func (c Code) Ran() string { return c.row().Ran }

// Failure is an error with a code.
type Failure struct {
	Code Code
	Err  error
	// RetryAfter is the delay after which a retry makes sense; 0 if unknown.
	RetryAfter time.Duration
}

func (f *Failure) Error() string { return fmt.Sprintf("%d %s: %v", int(f.Code), f.Code.Name(), f.Err) }

// Unwrap returns the underlying error.
func (f *Failure) Unwrap() error { return f.Err }

// New returns a failure whose error is formatted by fmt.Errorf.
func New(c Code, format string, a ...any) *Failure {
	return &Failure{Code: c, Err: fmt.Errorf(format, a...)}
}

// Of returns the code of an error: OK for nil, and Unknown for an error without a code.
func Of(err error) Code {
	if err == nil {
		return OK
	}
	var failure *Failure
	if errors.As(err, &failure) {
		return failure.Code
	}
	return Unknown
}

// RetryAfter returns the retry delay of an error; 0 if unknown.
func RetryAfter(err error) time.Duration {
	var failure *Failure
	for errors.As(err, &failure) {
		if failure.RetryAfter > 0 {
			return failure.RetryAfter
		}
		err = failure.Err
	}
	return 0
}

// Text returns the error message without the code.
func Text(err error) string {
	var failure *Failure
	if errors.As(err, &failure) {
		return failure.Err.Error()
	}
	return err.Error()
}
