package operatorapi

import (
	"cmp"
	"maps"
	"net/http"
	"slices"

	"zinniafall/policy/config"
	"zinniafall/policy/model"
)

// inForce returns the configuration in force, or responds with an error.
func (s *Server) inForce(w http.ResponseWriter) (config.Current, bool) {
	current, err := s.options.Configuration.InForce()
	if err != nil {
		writeError(w, http.StatusInternalServerError, &Error{Kind: Internal, Detail: err.Error(), Remedy: "Ask another node, and report this with the node's log"})
		return current, false
	}
	if current.Document == nil {
		current.Document = new(config.Document)
	}
	return current, true
}

func (s *Server) getConfig(w http.ResponseWriter, _ *http.Request) {
	if current, ok := s.inForce(w); ok {
		writeJSON(w, http.StatusOK, Configuration{Base: current.Revision(), Document: current.Document})
	}
}

func (s *Server) list(w http.ResponseWriter, r *http.Request) {
	current, ok := s.inForce(w)
	if !ok {
		return
	}
	list := List{Revision: current.Revision()}
	doc := current.Document
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
		writeUnknownKind(w, r)
		return
	}
	writeJSON(w, http.StatusOK, list)
}

func writeUnknownKind(w http.ResponseWriter, r *http.Request) {
	writeError(w, http.StatusNotFound, &Error{Kind: NotFound, Detail: "no kind " + r.PathValue("kind"), Remedy: "Use template, account, domain or service"})
}

func inOrOut(out bool) string {
	if out {
		return "out"
	}
	return "in"
}

// items returns the entries of a map as list items, sorted by name.
func items[K ~string, V any](entries map[K]V, describe func(V) (template, detail string)) []ListItem {
	list := make([]ListItem, 0, len(entries))
	for _, name := range slices.Sorted(maps.Keys(entries)) {
		template, detail := describe(entries[name])
		list = append(list, ListItem{Name: string(name), Template: template, Detail: detail})
	}
	return list
}

func (s *Server) getEntry(w http.ResponseWriter, r *http.Request) {
	current, ok := s.inForce(w)
	if !ok {
		return
	}
	name := r.PathValue("name")
	entry := Entry{Revision: current.Revision(), Name: name}
	found := false
	switch config.Kind(r.PathValue("kind")) {
	case config.KindTemplate:
		entry.Template, found = lookUp(current.Document.Templates, name)
	case config.KindAccount:
		entry.Account, found = lookUp(current.Document.Accounts, model.Account(name))
	case config.KindDomain:
		entry.Domain, found = lookUp(current.Document.Domains, model.Domain(name))
	case config.KindService:
		entry.Service, found = lookUp(current.Document.Services, model.Service(name))
	default:
		writeUnknownKind(w, r)
		return
	}
	if !found {
		writeError(w, http.StatusNotFound, &Error{Kind: NotFound, Detail: "no " + r.PathValue("kind") + " " + name, Remedy: "`zinniafall list` shows the names"})
		return
	}
	writeJSON(w, http.StatusOK, entry)
}

func lookUp[K comparable, V any](entries map[K]V, name K) (*V, bool) {
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
		present := slices.Compact(slices.Sorted(slices.Values(services[name])))
		list.Domains = append(list.Domains, DomainState{Name: name, Region: domain.Region, Out: domain.Out, Services: present})
	}
	slices.SortFunc(list.Domains, func(a, b DomainState) int { return cmp.Compare(a.Name, b.Name) })
	writeJSON(w, http.StatusOK, list)
}
