package config

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"zinniafall/policy/model"
	"zinniafall/policy/settings"
)

// Placement says in which failure domains each service has targets, as the
// node's membership knows it.
type Placement map[model.Service][]model.Domain

// StrandedService is a service that a change leaves without a target in service.
type StrandedService struct {
	Service model.Service `json:"service"`
	// Domains are the failure domains that have its targets; all are out.
	Domains []model.Domain `json:"domains"`
}

// String names the consequence.
func (s StrandedService) String() string {
	domains := make([]string, 0, len(s.Domains))
	for _, d := range s.Domains {
		domains = append(domains, string(d))
	}
	return fmt.Sprintf("service %s would have no target in service: all its targets are in %s", s.Service, strings.Join(domains, ", "))
}

// StrandedServices lists the services that had a target in an in-service failure
// domain before a change and have none after it.
func StrandedServices(placement Placement, before, after *settings.Snapshot) []StrandedService {
	var stranded []StrandedService
	for _, service := range slices.Sorted(maps.Keys(placement)) {
		domains := slices.Compact(slices.Sorted(slices.Values(placement[service])))
		if served(domains, before) && !served(domains, after) {
			stranded = append(stranded, StrandedService{Service: service, Domains: domains})
		}
	}
	return stranded
}

func served(domains []model.Domain, s *settings.Snapshot) bool {
	return slices.ContainsFunc(domains, func(name model.Domain) bool {
		domain, ok := s.Domains[name]
		return ok && !domain.Out
	})
}
