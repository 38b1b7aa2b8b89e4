// Package quota enforces the request quotas of client accounts over all nodes
// without a coordinator. It does no input or output and starts no goroutines; the
// caller passes the time and carries the messages.
//
// Each failure domain has for each account one home among its nodes, the first in
// the account's rendezvous ranking. The home holds the failure domain's share of
// the quota in a token bucket and gives tokens to the entries, the nodes that
// callers are connected to. Homes lend each other parts of their rate.
//
// Two nodes of a failure domain must not be home of one account at a time, whatever
// nodes cannot reach each other. A home therefore needs the support of a majority of
// its failure domain's nodes, which each answer to one of its messages renews for
// leaseTime. The next node in the ranking takes over when the home refuses
// connections, which a process that is running does not, or when a majority of the
// nodes has not supported the home for leaseTime and will not for as long.
// A node without a majority around it has only the entries' fallback.
package quota

import (
	"time"

	"zinniafall/policy/model"
)

const (
	// leaseTime is how long a node may act on an answer, counted from when it sent the
	// question.
	leaseTime = 2 * time.Second
	// leaseMargin covers differences in the speed of clocks.
	leaseMargin = 250 * time.Millisecond
	// renewTime is the remaining time of its majority below which a home renews it.
	renewTime = 800 * time.Millisecond
	// renewGoneTime is the remaining time of the proof that a node is gone below which it
	// is renewed.
	renewGoneTime = 500 * time.Millisecond
	// downTime is how long a refused connection proves that a process is gone. A
	// process that starts serves as home leaseTime + leaseMargin later.
	downTime = time.Second
	// silenceTime is the time since the first question without an answer after which a
	// node asks others whether they reach the silent one.
	silenceTime = time.Second
	// memberTime is how long a node counts as a member after it was heard of, without
	// being in the roster.
	memberTime = 30 * time.Second
	// probeInterval is the minimum time between two messages to a node that are sent
	// for its support or to find out whether it is alive.
	probeInterval = 150 * time.Millisecond
	// countInterval is the time between two counts of a majority that has not lapsed.
	countInterval = 50 * time.Millisecond
	// spareSupporters is the number of nodes asked beyond a majority, because some
	// answer late.
	spareSupporters = 2

	// startingPart is the part of the failure domain's share that a process grants before
	// it is ready, and for loanTime + loanMargin after that. Its predecessor may have lent
	// maxLent of the share: both together exceed it for 1.3 s by a half, which is within
	// the overshoot that late tokens leave.
	startingPart = 0.75

	// loanTime is the time for which rate is lent, and loanMargin how much later the
	// lender takes it back.
	loanTime   = time.Second
	loanMargin = 300 * time.Millisecond
	// loanRenewTime is the remaining time of a loan below which it is renewed, and
	// loanInterval the minimum time between two questions to a lender.
	loanRenewTime = 500 * time.Millisecond
	loanInterval  = 250 * time.Millisecond
	// loanPollInterval is the time between two searches for loans to ask for.
	loanPollInterval = 20 * time.Millisecond
	// loanStep and maxLent are the parts of a lender's base share by which a loan may
	// grow at a time, and which it lends in all.
	loanStep = 0.25
	maxLent  = 0.75
	// refillPart is the part of the demand by which a home keeps or borrows more for an
	// empty bucket, and less for a full one.
	refillPart = 0.3
	// lapseMargin is the number of standard deviations by which an entry gets less ahead
	// than it expects to use, near the quota.
	lapseMargin = 1.5
	// calmPart is the part of the rate up to which demand is far from the quota, so that
	// tokens that lapse cost nothing.
	calmPart = 0.75

	// maxTokenTime is the longest time for which a token may be used after it was asked
	// for, and askAheadPart the part of it for whose demand an entry asks.
	maxTokenTime = 250 * time.Millisecond
	askAheadPart = 0.8
	// burstSlackPart is the part of the slack that the shares of the burst get together.
	burstSlackPart = 0.6
	// startPart is the part of the slack that new homes of all failure domains together
	// start with.
	startPart = 0.25
	// comeBackTime is how long an entry asks for no tokens of an account after its home
	// had none, or minComeBack if the home's bucket would be full before.
	comeBackTime = 100 * time.Millisecond
	minComeBack  = 5 * time.Millisecond
	// maxRetryAfter bounds Retry-After.
	maxRetryAfter = 5 * time.Second
	// skipTime is how long an entry does not ask a node that it could not reach; it
	// doubles up to maxSkipTime while the node does not answer, because a question to a
	// VM that is gone costs waiting requests AnswerTimeout. skipUnready is how long it does
	// not ask a node that is not ready to be a home.
	skipTime    = time.Second
	maxSkipTime = 8 * time.Second
	skipUnready = 200 * time.Millisecond
	// maxCandidates bounds the nodes of an account's ranking that an entry asks.
	maxCandidates = 3
	// maxAsks bounds the accounts of one question.
	maxAsks = 512
	// entryDemandTime and homeDemandTime are the time constants of the estimates of
	// demand.
	entryDemandTime = time.Second
	homeDemandTime  = time.Second
	// holdingTime and bucketTime are how long the state of an idle account is kept at
	// its entry and its home.
	holdingTime = 10 * time.Second
	bucketTime  = 60 * time.Second
	// sweepInterval is the time between removals of idle accounts.
	sweepInterval = 5 * time.Second
)

// The values of Options that the users' platform states in its settings.
const (
	DefaultWindow    = 5 * time.Second
	DefaultOvershoot = 0.1
	DefaultSlack     = 20
)

// AnswerTimeout is how long a caller's request waits for its home's answer.
const AnswerTimeout = 100 * time.Millisecond

// CheckTimeout is how long a question waits until the node knows whether it is home.
const CheckTimeout = 50 * time.Millisecond

// Limit is the quota of an account.
type Limit struct {
	// Rate is in requests per second; 0 or less means no limit.
	Rate  float64
	Burst float64
}

// Options configure a Node. Window, Overshoot and Slack define the bound: in each
// window an account has at most (rate x window + burst) x (1 + overshoot) + slack
// requests. Zero values mean the defaults.
type Options struct {
	Self   model.NodeAddr
	Domain model.Domain
	// Domains is the number of failure domains, reachable or not. If members of more are
	// known, their number counts.
	Domains   int
	Window    time.Duration
	Overshoot float64
	Slack     float64
	// Limit returns the quota of an account in force at this node; known is false if the
	// configuration does not have the account.
	Limit func(model.Account) (limit Limit, known bool)
	Seed  uint64
}

// Member is a node as the roster has it.
type Member struct {
	Node   model.NodeAddr
	Domain model.Domain
}

// Question is the message of a node to another or to itself. Every question from the
// own failure domain also asks for support.
type Question struct {
	From   model.NodeAddr `cbor:"1,keyasint"`
	Domain model.Domain   `cbor:"2,keyasint"`
	// Digest identifies the members of the failure domain that the sender knows, and
	// Seen the list that it last received from the node asked.
	Digest uint64 `cbor:"3,keyasint,omitempty"`
	Seen   uint64 `cbor:"4,keyasint,omitempty"`
	Asks   []Ask  `cbor:"5,keyasint,omitempty"`
	// Against names nodes that the sender would take over from.
	Against []model.NodeAddr `cbor:"6,keyasint,omitempty"`
	Loans   []LoanAsk        `cbor:"7,keyasint,omitempty"`
	// Starting is set while the sender is not ready to be a home.
	Starting bool `cbor:"8,keyasint,omitempty"`
}

// Ask asks for tokens of one account.
type Ask struct {
	Account model.Account `cbor:"1,keyasint"`
	// Need is the number of requests that wait, Expected the number expected in the time
	// that is asked ahead for.
	Need     int     `cbor:"2,keyasint,omitempty"`
	Expected float64 `cbor:"3,keyasint,omitempty"`
	// Refused is the number of requests refused since the last question.
	Refused int `cbor:"4,keyasint,omitempty"`
}

// LoanAsk asks for a part of the rate of one account.
type LoanAsk struct {
	Account model.Account `cbor:"1,keyasint"`
	Rate    float64       `cbor:"2,keyasint"`
}

// Answer is the answer to a Question. Grants, Against and Loans have the order of the
// question.
type Answer struct {
	Support bool `cbor:"1,keyasint,omitempty"`
	// Starting is the time until the node may be a home, if it is not ready.
	Starting time.Duration `cbor:"2,keyasint,omitempty"`
	// TakenOver is set if the node may have agreed lately that another takes over from
	// the sender; Since is the time since when no other acts on that any more.
	TakenOver bool             `cbor:"3,keyasint,omitempty"`
	Since     time.Duration    `cbor:"4,keyasint,omitempty"`
	Members   []model.NodeAddr `cbor:"5,keyasint,omitempty"`
	Grants    []Grant          `cbor:"6,keyasint,omitempty"`
	Against   []bool           `cbor:"7,keyasint,omitempty"`
	Loans     []Loan           `cbor:"8,keyasint,omitempty"`
}

// Grant answers an Ask.
type Grant struct {
	Tokens int `cbor:"1,keyasint,omitempty"`
	// Wait is set if the requests that wait did not all get a token: the time until the
	// rate has room for those refused so far.
	Wait time.Duration `cbor:"2,keyasint,omitempty"`
	// Pause is set with Wait: how long not to ask again.
	Pause time.Duration `cbor:"5,keyasint,omitempty"`
	// NotHome is set if the node is not the home; Home is, if it is known.
	NotHome bool           `cbor:"3,keyasint,omitempty"`
	Home    model.NodeAddr `cbor:"4,keyasint,omitempty"`
}

// Loan answers a LoanAsk. It replaces the loan before.
type Loan struct {
	Rate float64 `cbor:"1,keyasint,omitempty"`
}

// Outgoing is a question to be sent. To may be the node itself.
type Outgoing struct {
	To       model.NodeAddr
	SentAt   time.Time
	Question Question
}

// Verdict is the decision on one request.
type Verdict struct {
	Granted bool
	// RetryAfter is set if the request is refused.
	RetryAfter time.Duration
	// Fallback is set if no home was reached.
	Fallback bool
}
