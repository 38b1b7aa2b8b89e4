// Package placement selects, at an entry, the target for each call. The entry
// is the node that a call enters by; the owner is the node beside a target.
//
// An entry learns the load of its targets from the reports that come with
// answers, refusals and probes. A report is out of date when it arrives, so the
// package corrects it. For each candidate it predicts the time until the
// answer:
//
//	round trip + service time + wait for a slot + cost of likely failure
//
// The load that determines the wait is the reported load, which decays to the
// mean load of the service as the report ages, plus the calls that this entry
// sent since the report was made. Each of those counts for the other entries
// that sent calls too; their number is estimated from the sequence numbers of
// the reports. The time constant of the decay is the time in which the target
// replaces all its calls, so that a report of high load loses its weight slowly
// and a report of low load quickly. Calls of this entry that stay unanswered
// longer than expected raise the service time before a report does.
//
// The candidate with the shortest prediction is chosen from a few that are
// drawn at random. Random candidates keep entries that hold similar reports
// from choosing the same target. Some candidates come from the entry's own
// failure domain, which saves the round trip while targets there are fast
// enough. Other regions are tried when the best prediction exceeds the round
// trip to them.
//
// An entry uses a subset of the targets of each service, chosen by rendezvous
// hashing, which bounds the number of connections. The fewer calls the entry
// has in flight at the service, the smaller the subset: reports come with
// answers, so that many targets with rare answers would all have out-of-date
// reports.
package placement

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"zinniafall/policy/model"
)

// Policy names a target selection policy.
type Policy string

// The policies. All but Predicted are baselines for measurements.
const (
	// Predicted chooses the shortest predicted time among random
	// candidates.
	Predicted Policy = "predicted"
	// Random chooses any target.
	Random Policy = "random"
	// RoundRobin chooses the targets in turn.
	RoundRobin Policy = "round-robin"
	// LeastReported chooses the lowest load in the last reports,
	// uncorrected.
	LeastReported Policy = "least-reported"
	// PerConnection maps each caller connection to one target.
	PerConnection Policy = "per-connection"
)

// ParsePolicy returns the policy that the text names. Empty text selects
// Predicted.
func ParsePolicy(text string) (Policy, error) {
	switch policy := Policy(text); policy {
	case "":
		return Predicted, nil
	case Predicted, Random, RoundRobin, LeastReported, PerConnection:
		return policy, nil
	}
	return "", fmt.Errorf("unknown placement policy %q: use predicted, random, round-robin, least-reported or per-connection", text)
}

// Options configures a Placer. The zero value of each field selects its
// default.
type Options struct {
	// Policy defaults to Predicted.
	Policy Policy
	// Self, Domain and Region locate this entry.
	Self   model.NodeAddr
	Domain model.Domain
	Region model.Region
	// Seed initializes all random choices.
	Seed uint64
	// SubsetSize bounds the number of targets of one service that this
	// entry uses; default 16. It uses fewer targets of a service that it
	// rarely calls.
	SubsetSize int
	// MinSubset is the number of targets used of a service that is rarely
	// called, and of each service at first; default 3.
	MinSubset int
	// MaxPeers bounds the number of nodes that this entry sends calls to,
	// over the services in use; default 512. Subsets shrink to two targets
	// a service, and no further, to stay within it.
	MaxPeers int
	// Choices is the number of candidates that Predicted compares for one
	// call; default 4.
	Choices int
	// PeerRoundTrip is the round trip to another node of the entry's
	// failure domain; default 300 us.
	PeerRoundTrip time.Duration
	// DomainRoundTrip is the round trip to another failure domain of the
	// region; default 2 ms.
	DomainRoundTrip time.Duration
	// RegionRoundTrip is the round trip to another region; default 40 ms.
	RegionRoundTrip time.Duration
	// ProbeBytesPerSecond bounds the bytes spent on probes; default 2048.
	ProbeBytesPerSecond int
	// ProbeBytes is the size of a probe and its answer together; default 256
	// bytes.
	ProbeBytes int
}

// Defaults of Options.
const (
	defaultSubsetSize      = 16
	defaultMinSubset       = 3
	defaultMaxPeers        = 512
	defaultChoices         = 4
	defaultPeerRoundTrip   = 300 * time.Microsecond
	defaultDomainRoundTrip = 2 * time.Millisecond
	defaultRegionRoundTrip = 40 * time.Millisecond
	defaultProbeRate       = 2048
	defaultProbeBytes      = 256
)

// withDefaults returns the options with each zero field set.
func (o Options) withDefaults() Options {
	setDefault(&o.Policy, Predicted)
	setDefault(&o.SubsetSize, defaultSubsetSize)
	setDefault(&o.MinSubset, defaultMinSubset)
	setDefault(&o.MaxPeers, defaultMaxPeers)
	setDefault(&o.Choices, defaultChoices)
	setDefault(&o.PeerRoundTrip, defaultPeerRoundTrip)
	setDefault(&o.DomainRoundTrip, defaultDomainRoundTrip)
	setDefault(&o.RegionRoundTrip, defaultRegionRoundTrip)
	setDefault(&o.ProbeBytesPerSecond, defaultProbeRate)
	setDefault(&o.ProbeBytes, defaultProbeBytes)
	return o
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Target describes one target as known from membership and configuration.
type Target struct {
	// Node is the owner's address. A node owns one target.
	Node model.NodeAddr
	// Process is the owner's process; zero when unknown.
	Process model.ProcessID
	Domain  model.Domain
	Region  model.Region
	// Slots is the number of calls that the target runs at once.
	Slots int
	// State applies until a report states a newer one.
	State model.TargetState
	// Closed is set while a rollout gives the target no calls. It applies whatever a
	// report states.
	Closed bool
}

// Placer chooses targets for one entry. It is not safe for concurrent use.
type Placer struct {
	options     Options
	random      *rand.Rand
	firstEvent  time.Time
	lastElapsed time.Duration
	services    map[model.Service]*service
	order       []*service
	nodes       map[model.NodeAddr]*target
	probes      probeBudget
}

// service holds the state that the entry keeps for one service.
type service struct {
	name    model.Service
	targets map[model.NodeAddr]*target
	// ranked holds all targets in the order in which subsets take them.
	ranked []*target
	// members is the subset in use, in a stable order.
	members []*target
	// local, ownRegion and otherRegion hold the members in the entry's own
	// failure domain, in other failure domains of its region, and in other
	// regions, each in random order.
	local, ownRegion, otherRegion []*target
	nextMember                    int
	serviceMeans                  serviceMeans
	inUse                         bool
	lastUsed                      time.Duration
	demand                        demand
}

// New returns a placer without targets.
func New(options Options) *Placer {
	options = options.withDefaults()
	stream := xxhash.Sum64String(string(options.Self))
	return &Placer{
		options:  options,
		random:   rand.New(rand.NewPCG(options.Seed, stream)),
		services: map[model.Service]*service{},
		nodes:    map[model.NodeAddr]*target{},
	}
}

// SetTargets replaces the targets of a service. The list is complete and omits
// the failure domains that are out of service. The state of a target is kept
// while its node and process stay the same. An empty list removes the service.
func (p *Placer) SetTargets(now time.Time, name model.Service, targets []Target) {
	at := p.elapsed(now)
	svc := p.services[name]
	if svc == nil {
		svc = &service{name: name, serviceMeans: newServiceMeans(), demand: demand{size: p.options.MinSubset}}
		p.services[name] = svc
		p.order = append(p.order, svc)
	}
	before := svc.targets
	svc.targets = make(map[model.NodeAddr]*target, len(targets))
	for _, described := range targets {
		kept := before[described.Node]
		t := p.updateTarget(kept, described)
		svc.targets[described.Node] = t
		p.nodes[described.Node] = t
		t.service = svc
	}
	for node, t := range before {
		if svc.targets[node] != t {
			svc.demand.unanswered -= len(t.unanswered)
		}
		if svc.targets[node] == nil && p.nodes[node] == t {
			delete(p.nodes, node)
		}
	}
	if len(targets) == 0 {
		delete(p.services, name)
		p.order = slices.DeleteFunc(p.order, func(s *service) bool { return s == svc })
	}
	svc.ranked = p.rank(svc.targets)
	p.resize(at)
}

// updateTarget returns the kept target with the new description, or a new
// target when there is none or its process changed.
func (p *Placer) updateTarget(kept *target, described Target) *target {
	if kept == nil || (kept.Process != described.Process && kept.Process != model.ProcessID{}) {
		kept = &target{hash: p.rendezvousHash(described.Node)}
	}
	kept.Target = described
	kept.ownDomain = described.Domain == p.options.Domain
	kept.otherRegion = described.Region != p.options.Region
	kept.roundTrip = p.roundTrip(described)
	return kept
}

// roundTrip returns the network round trip to the target.
func (p *Placer) roundTrip(t Target) time.Duration {
	switch {
	case t.Node == p.options.Self:
		return 0
	case t.Domain == p.options.Domain:
		return p.options.PeerRoundTrip
	case t.Region == p.options.Region:
		return p.options.DomainRoundTrip
	default:
		return p.options.RegionRoundTrip
	}
}

// elapsed returns the time since the first event. It never decreases.
func (p *Placer) elapsed(now time.Time) time.Duration {
	if p.firstEvent.IsZero() {
		p.firstEvent = now
	}
	p.lastElapsed = max(p.lastElapsed, now.Sub(p.firstEvent))
	return p.lastElapsed
}
