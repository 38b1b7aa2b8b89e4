package operatorapi

import (
	"cmp"
	"maps"
	"net/http"
	"slices"

	"zinniafall/policy/config"
	"zinniafall/policy/model"
)

// inForce returns the configuration in force, or answers with an error.
func (s *Server) inForce(w http.ResponseWriter) (config.Current, bool) {
	now, err := s.options.Configuration.InForce()
	if err != nil {
		fail(w, http.StatusInternalServerError, &Error{Kind: Internal, Detail: err.Error(), Remedy: "Ask another node, and report this with the node's log"})
		return now, false
	}
	if now.Document == nil {
		now.Document = new(config.Document)
	}
	return now, true
}

func (s *Server) getConfig(w http.ResponseWriter, _ *http.Request) {
	if now, ok := s.inForce(w); ok {
		reply(w, http.StatusOK, Configuration{Base: now.Revision(), Document: now.Document})
	}
}

func (s *Server) list(w http.ResponseWriter, r *http.Request) {
	now, ok := s.inForce(w)
	if !ok {
		return
	}
	list := List{Revision: now.Revision()}
	doc := now.Document
	switch config.Kind(r.PathValue("kind")) {
	case config.KindTemplate:
		list.Items = items(doc.Templates, func(t config.Template) (string, string) { return string(t.Kind), "" })
	case config.KindAccount:
		list.Items = items(doc.Accounts, func(a config.Account) (string, string) { return a.Template, "" })
	case config.KindDomain:
		list.Items = items(doc.Domains, func(d config.Domain) (string, string) { return d.Template, inOrOut(d.Out) })
	case config.KindService:
		list.Items = items(doc.Services, func(s config.Service) (string, string) { return s.Template, "" })
	default:
		unknownKind(w, r)
		return
	}
	reply(w, http.StatusOK, list)
}

func unknownKind(w http.ResponseWriter, r *http.Request) {
	fail(w, http.StatusNotFound, &Error{Kind: NotFound, Detail: "no kind " + r.PathValue("kind"), Remedy: "Use template, account, domain or service"})
}

func inOrOut(out bool) string {
	if out {
		return "out"
	}
	return "in"
}

// items lists a map's entries by name.
func items[K ~string, V any](entries map[K]V, describe func(V) (template, detail string)) []ListItem {
	list := make([]ListItem, 0, len(entries))
	for _, name := range slices.Sorted(maps.Keys(entries)) {
		template, detail := describe(entries[name])
		list = append(list, ListItem{Name: string(name), Template: template, Detail: detail})
	}
	return list
}

func (s *Server) getEntry(w http.ResponseWriter, r *http.Request) {
	now, ok := s.inForce(w)
	if !ok {
		return
	}
	name := r.PathValue("name")
	entry := Entry{Revision: now.Revision(), Name: name}
	found := false
	switch config.Kind(r.PathValue("kind")) {
	case config.KindTemplate:
		entry.Template, found = pick(now.Document.Templates, name)
	case config.KindAccount:
		entry.Account, found = pick(now.Document.Accounts, model.Account(name))
	case config.KindDomain:
		entry.Domain, found = pick(now.Document.Domains, model.Domain(name))
	case config.KindService:
		entry.Service, found = pick(now.Document.Services, model.Service(name))
	default:
		unknownKind(w, r)
		return
	}
	if !found {
		fail(w, http.StatusNotFound, &Error{Kind: NotFound, Detail: "no " + r.PathValue("kind") + " " + name, Remedy: "`zinniafall list` shows the names"})
		return
	}
	reply(w, http.StatusOK, entry)
}

func pick[K comparable, V any](entries map[K]V, name K) (*V, bool) {
	entry, found := entries[name]
	return &entry, found
}

func (s *Server) domains(w http.ResponseWriter, _ *http.Request) {
	current := s.options.Configuration.Current()
	services := make(map[model.Domain][]model.Service)
	for service, domains := range s.options.Node.Placement() {
		for _, domain := range domains {
			services[domain] = append(services[domain], service)
		}
	}
	list := DomainList{Revision: current.Revision, Domains: make([]DomainState, 0, len(current.Domains))}
	for name, domain := range current.Domains {
		carried := slices.Compact(slices.Sorted(slices.Values(services[name])))
		list.Domains = append(list.Domains, DomainState{Name: name, Region: domain.Region, Out: domain.Out, Services: carried})
	}
	slices.SortFunc(list.Domains, func(a, b DomainState) int { return cmp.Compare(a.Name, b.Name) })
	reply(w, http.StatusOK, list)
}
