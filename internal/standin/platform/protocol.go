// Package platform holds stand-ins for the parties on the users' platform, for tests: workers,
// the instance list, the load balancer, operators, clients and their programs, and a checker
// that finds violations of the platform's rules in what they observed. It uses no network and
// no wall clock: package sockets connects it over TCP, and the simulator runs the same code
// in virtual time.
package platform

// Names of the platform's protocol: headers, paths, states and machine classes.
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

	// SettingsVariable is the environment variable that holds the path of the settings file.
	SettingsVariable = "FORDSEAM_SETTINGS"

	StateReady    = "ready"
	StateDraining = "draining"

	ClassEdge    = "edge"
	ClassCore    = "core"
	ClassStorage = "storage"

	RetireActive   = "active"
	RetireComplete = "complete"
)

// Kind says whether a route's requests may run more than once and whether their answers are
// streams of events.
type Kind string

const (
	Idempotent    Kind = "idempotent"
	NonIdempotent Kind = "non_idempotent"
	Streaming     Kind = "streaming"
)
