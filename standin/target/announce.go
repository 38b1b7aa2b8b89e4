package target

import (
	"net/http"
	"time"

	"github.com/dghubble/sling"
)

// announcement is the body with which a target registers with its node.
type announcement struct {
	Service     string `json:"service"`
	Address     string `json:"address"`
	Instance    string `json:"instance"`
	Slots       int    `json:"slots"`
	Connections int    `json:"connections"`
	Cold        bool   `json:"cold"`
	HealthPath  string `json:"health_path"`
	LoadPath    string `json:"load_path"`
	LeaseMs     int    `json:"lease_ms"`
}

// announceLease is how long an announcement is valid without renewal.
const announceLease = 3 * time.Second

// Announce registers the target once with the node at the base URL.
func (t *Target) Announce(client *http.Client, nodeURL string) error {
	t.mu.Lock()
	cold := t.cold
	t.mu.Unlock()
	body := announcement{
		Service: t.opts.Service, Address: t.Addr(), Instance: t.Instance(),
		Slots: t.opts.Slots, Connections: t.opts.Connections, Cold: cold,
		HealthPath: HealthPath, LoadPath: LoadPath, LeaseMs: int(announceLease / time.Millisecond),
	}
	return send(client, sling.New().Base(nodeURL).Put("/v1/target").BodyJSON(body))
}

// Drain tells the node that the target is leaving.
func (t *Target) Drain(client *http.Client, nodeURL string) error {
	return send(client, sling.New().Base(nodeURL).Post("/v1/target/drain"))
}

// KeepAnnounced announces the target, again whenever its process restarts, and
// renews the announcement until the stop channel is closed.
func (t *Target) KeepAnnounced(client *http.Client, nodeURL string, stop <-chan struct{}) {
	ticker := time.NewTicker(announceLease / 3)
	defer ticker.Stop()
	for {
		_ = t.Announce(client, nodeURL)
		select {
		case <-stop:
			return
		case <-ticker.C:
		case <-t.restarted:
		}
	}
}

// send sends a request and ignores the response.
func send(client *http.Client, s *sling.Sling) error {
	request, err := s.Request()
	if err != nil {
		return err
	}
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	return response.Body.Close()
}
