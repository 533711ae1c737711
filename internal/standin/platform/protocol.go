// Package platform holds the project's own stand-ins of the platform's
// parties: workers, the list of instances, operators, clients and their
// programs, and the checker that names the rules broken in what they saw. It
// knows no transport and no wall clock: package sockets puts TCP round it, and
// a simulator can call the same parts in virtual time. The platform's names
// stand in this file.
package platform

const (
	HeaderID             = "Attempt-Id"
	HeaderDeadline       = "Deadline-Ms"
	HeaderPrompt         = "Prompt-Prefix"
	HeaderSeal           = "Server-Seal"
	HeaderExpectInstance = "Expect-Instance"
	HeaderLoad           = "Server-Load"
	HeaderNotRun         = "Not-Run"
	HeaderRetryAfter     = "Retry-After"
	HeaderIfMatch        = "If-Match"
	HeaderInstance       = "Instance-Id"
	HeaderModel          = "Model"
	HeaderTokens         = "Token-Count"
	HeaderUrgency        = "Request-Urgency"
	HeaderWeights        = "Weight-Versions"
	HeaderExpectWeights  = "Expect-Version"
	HeaderProgram        = "Program-Id"
	HeaderSession        = "Session-Id"
	HeaderFinish         = "Finish-Ms"
	HeaderBudget         = "Token-Budget"
	HeaderPrevious       = "Previous-Turn"
	HeaderLastEvent      = "Last-Event-Id"

	PathReadiness = "/fordseam/readiness"
	PathConfig    = "/fordseam/config"
	PathRetire    = "/fordseam/retire/"
	PathReport    = "/fordseam/report"
	PathInstances = "/instances"
	PathHealth    = "/health"

	// SettingsVariable names the environment variable with the settings file's path.
	SettingsVariable = "FORDSEAM_SETTINGS"

	StateReady    = "ready"
	StateDraining = "draining"

	ClassEdge    = "edge"
	ClassCore    = "core"
	ClassStorage = "storage"

	RetireActive   = "active"
	RetireComplete = "complete"
)

// Kind says how often a request of a route may run and how it is answered.
type Kind string

const (
	Idempotent    Kind = "idempotent"
	NonIdempotent Kind = "non_idempotent"
	Streaming     Kind = "streaming"
)
