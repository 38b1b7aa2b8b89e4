// Package placement decides at an entry which target gets a call.
//
// An entry knows its targets by the reports that ride on answers, refusals
// and probes. A report is stale when it arrives, so the package never takes
// it at its word. For each candidate it predicts the time until the answer:
//
//	round trip + service time + wait for a slot + cost of likely failure
//
// The load in the wait is the reported load, moved towards the mean load of
// the service as the report ages, plus the calls that this entry sent since
// the report was made, each counted for the other entries that sent too. How
// many those are shows in the sequence numbers of the reports. The time constant of that move is the time in which
// the target replaces its work, so that a slow target is forgiven slowly and
// an idle one is disbelieved quickly. Calls of this entry that stay
// unanswered longer than expected raise the service time before any report
// does.
//
// The shortest prediction wins among a few candidates drawn at random. The
// draw keeps entries that hold similar reports from choosing alike, and it
// takes some candidates from the entry's own failure domain, so that the
// round trip is saved while nearby targets are fast enough. Other regions are
// tried when the best prediction exceeds the round trip to them.
//
// An entry uses a subset of each service, chosen by rendezvous hashing, which
// bounds the number of connections. The subset is the smaller the fewer calls
// the entry has in flight at the service: reports come with answers, and many
// targets that answer rarely are all unknown.
package placement

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"zinniafall/policy/model"
)

// Policy names a way to choose a target.
type Policy string

// The policies. All but Predicted are baselines for measurements.
const (
	// Predicted takes the shortest predicted time among random candidates.
	Predicted Policy = "predicted"
	// Random takes any target.
	Random Policy = "random"
	// RoundRobin takes the targets in turn.
	RoundRobin Policy = "round-robin"
	// LeastReported takes the lowest load of the last reports, uncorrected.
	LeastReported Policy = "least-reported"
	// PerConnection binds each caller connection to one target.
	PerConnection Policy = "per-connection"
)

// ParsePolicy returns the policy that the text names; empty text is Predicted.
func ParsePolicy(text string) (Policy, error) {
	switch policy := Policy(text); policy {
	case "":
		return Predicted, nil
	case Predicted, Random, RoundRobin, LeastReported, PerConnection:
		return policy, nil
	}
	return "", fmt.Errorf("unknown placement policy %q: use predicted, random, round-robin, least-reported or per-connection", text)
}

// Options of a Placer; the zero value of each field means its default.
type Options struct {
	// Policy defaults to Predicted.
	Policy Policy
	// Self, Domain and Region locate this entry.
	Self   model.NodeAddr
	Domain model.Domain
	Region model.Region
	// Seed of all random choices.
	Seed uint64
	// SubsetSize bounds the number of targets of one service that this
	// entry uses; default 16. It uses fewer of a service that it calls
	// rarely.
	SubsetSize int
	// MinSubset is the number of targets that it uses of a service that it
	// calls rarely, and of each service at first; default 3.
	MinSubset int
	// MaxPeers bounds the nodes that this entry sends to, over the services
	// in use; default 512. Subsets shrink to two targets a service, and no
	// further, to stay within it.
	MaxPeers int
	// Choices is the number of candidates that Predicted compares for one
	// call; default 4.
	Choices int
	// PeerRoundTrip is the round trip to another node of the own failure
	// domain; default 300 us.
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

// Target is one target as membership and configuration describe it.
type Target struct {
	// Node is the owner's address. A node owns one target.
	Node model.NodeAddr
	// Process is the owner's process; zero when not yet known.
	Process model.ProcessID
	Domain  model.Domain
	Region  model.Region
	// Slots is the number of calls that the target runs at once.
	Slots int
	// State is used until a report tells a newer one.
	State model.TargetState
}

// Placer chooses targets for one entry. It is not safe for concurrent use.
type Placer struct {
	options  Options
	random   *rand.Rand
	start    time.Time
	latest   time.Duration
	services map[model.Service]*service
	order    []*service
	nodes    map[model.NodeAddr]*target
	probes   pacer
}

// service is what the entry knows of one service.
type service struct {
	name    model.Service
	targets map[model.NodeAddr]*target
	// ranked holds all targets in the order in which subsets take them.
	ranked []*target
	// members is the subset in use, in a stable order.
	members []*target
	// local, region and far hold the members of the own failure domain, of
	// others in the region and of other regions, in random order.
	local, region, far []*target
	next               int
	prior              prior
	used               bool
	lastUsed           time.Duration
	demand             demand
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

// SetTargets replaces the targets of a service. The list is complete and
// leaves out the failure domains that are out of service. What is known of a
// target stays while its node and process stay; an empty list removes the
// service.
func (p *Placer) SetTargets(now time.Time, name model.Service, targets []Target) {
	at := p.since(now)
	svc := p.services[name]
	if svc == nil {
		svc = &service{name: name, prior: newPrior(), demand: demand{size: p.options.MinSubset}}
		p.services[name] = svc
		p.order = append(p.order, svc)
	}
	before := svc.targets
	svc.targets = make(map[model.NodeAddr]*target, len(targets))
	for _, described := range targets {
		kept := before[described.Node]
		t := p.update(kept, described)
		svc.targets[described.Node] = t
		p.nodes[described.Node] = t
		t.service = svc
	}
	for node, t := range before {
		if svc.targets[node] != t {
			svc.demand.calls -= len(t.calls)
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

// update returns the kept target with the new description, or a new target
// when there is none or its process changed.
func (p *Placer) update(kept *target, described Target) *target {
	if kept == nil || (kept.Process != described.Process && kept.Process != model.ProcessID{}) {
		kept = &target{hash: p.affinity(described.Node)}
	}
	kept.Target = described
	kept.near = described.Domain == p.options.Domain
	kept.far = described.Region != p.options.Region
	kept.roundTrip = p.roundTrip(described)
	return kept
}

// roundTrip returns the network's share of a call to the target.
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

// since returns the time since the first event. It never falls.
func (p *Placer) since(now time.Time) time.Duration {
	if p.start.IsZero() {
		p.start = now
	}
	p.latest = max(p.latest, now.Sub(p.start))
	return p.latest
}
