package config

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"zinniafall/policy/model"
	"zinniafall/policy/settings"
)

// Placement lists the failure domains in which each service has targets, as
// known from the membership of the node.
type Placement map[model.Service][]model.Domain

// StrandedService is a service that a change would leave without a target in
// service.
type StrandedService struct {
	Service model.Service `json:"service"`
	// Domains are the failure domains of its targets; all of them are out of
	// service.
	Domains []model.Domain `json:"domains"`
}

// String describes the consequence of the change for the service.
func (s StrandedService) String() string {
	domains := make([]string, 0, len(s.Domains))
	for _, d := range s.Domains {
		domains = append(domains, string(d))
	}
	return fmt.Sprintf("service %s would have no target in service: all its targets are in %s", s.Service, strings.Join(domains, ", "))
}

// StrandedServices lists the services that have a target in an in-service
// failure domain before a change and none after it.
func StrandedServices(placement Placement, before, after *settings.Snapshot) []StrandedService {
	var stranded []StrandedService
	for _, service := range slices.Sorted(maps.Keys(placement)) {
		domains := slices.Compact(slices.Sorted(slices.Values(placement[service])))
		if anyInService(domains, before) && !anyInService(domains, after) {
			stranded = append(stranded, StrandedService{Service: service, Domains: domains})
		}
	}
	return stranded
}

func anyInService(domains []model.Domain, s *settings.Snapshot) bool {
	return slices.ContainsFunc(domains, func(name model.Domain) bool {
		domain, ok := s.Domains[name]
		return ok && !domain.Out
	})
}
