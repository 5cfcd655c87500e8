package result

// Code is the number of an outcome; its thousands digit is the area.
type Code int

// Ran says whether a refused or failed request reached an upstream.
type Ran string

// The states of execution that a Failure reports.
const (
	// NotRun guarantees that no byte of the request reached an upstream, so that it can be sent again.
	NotRun Ran = "not_run"
	// DidRun says that an upstream executed the request.
	DidRun Ran = "ran"
	// Unknown says that the request may or may not have been executed.
	Unknown Ran = "unknown"
)

// The result codes, by area: 1 request, 2 access, 3 limits, 4 upstreams, 5 batch, 6 configuration, 7 the VM itself.
const (
	OK Code = 0

	MalformedRequest   Code = 1001
	BodyTooLarge       Code = 1002
	UnknownRoute       Code = 1003
	WrongMethod        Code = 1004
	InvalidText        Code = 1005
	UnknownModel       Code = 1006
	DeadlineExceeded   Code = 1007
	IdempotencyClash   Code = 1008
	IdempotentInFlight Code = 1009

	KeyMissing    Code = 2001
	KeyUnknown    Code = 2002
	KeyWithdrawn  Code = 2003
	RouteDenied   Code = 2004
	OperatorWrong Code = 2005

	RateExceeded  Code = 3001
	QueueFull     Code = 3002
	QueueDeadline Code = 3003
	TooManyConns  Code = 3004

	UpstreamNone      Code = 4001
	UpstreamRefused   Code = 4002
	UpstreamBroken    Code = 4003
	UpstreamSilent    Code = 4004
	OutcomeUnknown    Code = 4005
	PromptQuarantined Code = 4006
	OriginLost        Code = 4007
	UpstreamMemory    Code = 4008

	FileInvalid   Code = 5001
	FileUnknown   Code = 5002
	JobUnknown    Code = 5003
	JobLimit      Code = 5004
	JobCancelled  Code = 5005
	ItemFailed    Code = 5006
	ItemUncertain Code = 5007

	ChangeInvalid     Code = 6001
	ChangeConflict    Code = 6002
	ChangeUncommitted Code = 6003
	VMUnknown         Code = 6004
	TooFewVMs         Code = 6005
	ZoneUnknown       Code = 6006
	NotEvacuated      Code = 6007
	BuildTooOld       Code = 6008

	NotReady Code = 7001
	Draining Code = 7002
	NoQuorum Code = 7003
	Internal Code = 7004
)

// Meaning describes one code for the table in the documentation and for responses.
type Meaning struct {
	Name   string // snake case, stable
	Status int    // HTTP status
	Text   string // what the receiver should understand
}

// Meanings returns the table of all codes.
func Meanings() map[Code]Meaning {
	return map[Code]Meaning{
		OK:                 {"ok", 200, "The request succeeded."},
		MalformedRequest:   {"malformed_request", 400, "The request body or a parameter could not be parsed."},
		BodyTooLarge:       {"body_too_large", 413, "The body exceeds the stated limit."},
		UnknownRoute:       {"unknown_route", 404, "No route matches the path."},
		WrongMethod:        {"wrong_method", 405, "The route does not take this method."},
		InvalidText:        {"invalid_text", 400, "The body is not valid UTF-8."},
		UnknownModel:       {"unknown_model", 404, "No service serves the model."},
		DeadlineExceeded:   {"deadline_exceeded", 504, "The request's deadline passed."},
		IdempotencyClash:   {"idempotency_clash", 409, "The idempotency key was used with another content."},
		IdempotentInFlight: {"idempotent_in_flight", 409, "A request with this idempotency key is still in flight."},
		KeyMissing:         {"key_missing", 401, "The route needs a key and none came with the request."},
		KeyUnknown:         {"key_unknown", 401, "The key is not known."},
		KeyWithdrawn:       {"key_withdrawn", 401, "The key was withdrawn or has expired."},
		RouteDenied:        {"route_denied", 403, "The client account may not use this route."},
		OperatorWrong:      {"operator_wrong", 401, "The operator's credentials are missing or wrong."},
		RateExceeded:       {"rate_exceeded", 429, "The client account has used its rate and burst."},
		QueueFull:          {"queue_full", 503, "The service's queue has no room for this client account."},
		QueueDeadline:      {"queue_deadline", 503, "The request would miss its deadline in the queue."},
		TooManyConns:       {"too_many_connections", 503, "The VM has no room for another connection."},
		UpstreamNone:       {"upstream_none", 503, "No upstream of the service is usable."},
		UpstreamRefused:    {"upstream_refused", 502, "The upstream refused the request before running it."},
		UpstreamBroken:     {"upstream_broken", 502, "The connection to the upstream broke before the answer was whole."},
		UpstreamSilent:     {"upstream_silent", 504, "The upstream made no progress within the progress timeout."},
		OutcomeUnknown:     {"outcome_unknown", 502, "The request may have run once; its outcome was lost."},
		PromptQuarantined:  {"prompt_quarantined", 503, "Upstreams crashed under this request, or on prompts with a segment of it; it is not sent to another."},
		OriginLost:         {"origin_lost", 503, "The stream can't be taken up: the software version that began it is not known, or no upstream of it is left."},
		UpstreamMemory:     {"upstream_memory", 503, "The request needs more tokens of memory than any upstream of its service has."},
		FileInvalid:        {"file_invalid", 400, "A line of the uploaded file is not a valid item."},
		FileUnknown:        {"file_unknown", 404, "The client account has no such file."},
		JobUnknown:         {"job_unknown", 404, "The client account has no such batch job."},
		JobLimit:           {"job_limit", 429, "The limit of open jobs or stored bytes is reached."},
		JobCancelled:       {"job_cancelled", 409, "The batch job was cancelled."},
		ItemFailed:         {"item_failed", 422, "The item used up its attempts."},
		ItemUncertain:      {"item_uncertain", 409, "The item may not be repeated and its outcome was lost."},
		ChangeInvalid:      {"change_invalid", 400, "The change does not make a valid configuration."},
		ChangeConflict:     {"change_conflict", 409, "The change names an older revision than the one in force."},
		ChangeUncommitted:  {"change_uncommitted", 504, "The change may or may not be committed; resend it with the same change id."},
		VMUnknown:          {"vm_unknown", 404, "The fleet has no such VM."},
		TooFewVMs:          {"too_few_vms", 409, "Too few VMs of the class would be left."},
		ZoneUnknown:        {"zone_unknown", 404, "Neither the settings nor the list of upstreams names the data centre."},
		NotEvacuated:       {"not_evacuated", 409, "The data centre was never evacuated."},
		BuildTooOld:        {"build_too_old", 503, "A VM runs a build that does not support the order."},
		NotReady:           {"not_ready", 503, "The VM holds no fresh copy of the configuration."},
		Draining:           {"draining", 503, "The VM is stopping and takes no new requests."},
		NoQuorum:           {"no_quorum", 503, "The keepers have no leader with a quorum."},
		Internal:           {"internal", 500, "A fault of the VM; its log says more."},
	}
}

// Meaning returns the entry of the table for c.
func (c Code) Meaning() Meaning {
	return Meanings()[c]
}
