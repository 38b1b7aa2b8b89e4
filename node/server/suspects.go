package server

import (
	"sync"
	"time"

	"k8s.io/klog/v2"

	"zinniafall/policy/model"
	"zinniafall/policy/problem"
	"zinniafall/policy/quarantine"
)

// suspects guards the quarantine list for concurrent use and floods its
// changes.
type suspects struct {
	process model.ProcessID
	flood   func(quarantine.Notice)

	mu   sync.Mutex
	list *quarantine.List
}

func newSuspects(process model.ProcessID, flood func(quarantine.Notice)) *suspects {
	return &suspects{process: process, flood: flood, list: quarantine.New(quarantine.Options{})}
}

// Check returns the status of a request.
func (s *suspects) Check(f quarantine.Fingerprint) quarantine.Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.list.Check(time.Now(), f)
}

// Refusal returns the error that answers a quarantined request.
func (s *suspects) Refusal(f quarantine.Fingerprint) *problem.Error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.list.Refusal(time.Now(), f)
}

// NoticesFor returns the encoded notices that concern a request.
func (s *suspects) NoticesFor(f quarantine.Fingerprint) [][]byte {
	s.mu.Lock()
	notices := s.list.NoticesFor(time.Now(), f)
	s.mu.Unlock()
	encoded := make([][]byte, 0, len(notices))
	for _, n := range notices {
		if raw, err := n.Encode(); err == nil {
			encoded = append(encoded, raw)
		}
	}
	return encoded
}

// recordCrash records that a request lost its connection to the target, floods
// the notice and returns it encoded.
func (s *suspects) recordCrash(crash uint64, fingerprint quarantine.Fingerprint) []byte {
	klog.Warningf("target: The connection was lost while request %v ran on it.", fingerprint)
	s.mu.Lock()
	notice := s.list.RecordCrash(time.Now(), quarantine.NewCrashID(s.process, crash), []quarantine.Fingerprint{fingerprint})
	s.mu.Unlock()
	s.flood(notice)
	encoded, err := notice.Encode()
	if err != nil {
		klog.Errorf("quarantine: A notice could not be encoded: %v.", err)
	}
	return encoded
}

// RecordNotice records a notice of another node.
func (s *suspects) RecordNotice(encoded []byte) {
	notice, err := quarantine.DecodeNotice(encoded)
	if err != nil {
		malformedFloods.Inc()
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.list.Apply(time.Now(), notice)
}

// recordSuccess clears a suspect that completed without a crash.
func (s *suspects) recordSuccess(f quarantine.Fingerprint) {
	s.mu.Lock()
	notice, cleared := s.list.RecordSuccess(time.Now(), f)
	s.mu.Unlock()
	if cleared {
		s.flood(notice)
	}
}

// notices returns the notices that bring another node's list up to date.
func (s *suspects) notices() []quarantine.Notice {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.list.Notices(time.Now())
}

// entries returns the suspect and quarantined requests.
func (s *suspects) entries() []quarantine.Entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.list.Entries(time.Now())
}

// lift lifts the quarantine of a request on all nodes.
func (s *suspects) lift(f quarantine.Fingerprint) {
	s.mu.Lock()
	notice := s.list.Lift(time.Now(), f)
	s.mu.Unlock()
	s.flood(notice)
}
