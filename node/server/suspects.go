package server

import (
	"sync"
	"time"

	"k8s.io/klog/v2"

	"zinniafall/policy/model"
	"zinniafall/policy/problem"
	"zinniafall/policy/quarantine"
)

// suspects shares what is known of requests that crash targets.
type suspects struct {
	process model.ProcessID
	flood   func(quarantine.Notice)

	mu   sync.Mutex
	list *quarantine.List
}

func newSuspects(process model.ProcessID, flood func(quarantine.Notice)) *suspects {
	return &suspects{process: process, flood: flood, list: quarantine.New(quarantine.Options{})}
}

// Check returns the standing of a request.
func (s *suspects) Check(f quarantine.Fingerprint) quarantine.Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.list.Check(time.Now(), f)
}

// Refusal is the answer to a quarantined request.
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

// crashed tells all nodes of a request that lost its connection to the target.
func (s *suspects) crashed(crash uint64, lost quarantine.Fingerprint) []byte {
	klog.Warningf("target: The connection died on which request %v ran.", lost)
	s.mu.Lock()
	notice := s.list.RecordCrash(time.Now(), quarantine.NewCrashID(s.process, crash), []quarantine.Fingerprint{lost})
	s.mu.Unlock()
	s.flood(notice)
	encoded, err := notice.Encode()
	if err != nil {
		klog.Errorf("quarantine: A notice could not be encoded: %v.", err)
	}
	return encoded
}

// RecordNotice takes in a notice that came from another node.
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

// completed clears a suspect that ended well.
func (s *suspects) completed(f quarantine.Fingerprint) {
	s.mu.Lock()
	notice, cleared := s.list.RecordSuccess(time.Now(), f)
	s.mu.Unlock()
	if cleared {
		s.flood(notice)
	}
}

// notices returns what another node needs to know the same.
func (s *suspects) notices() []quarantine.Notice {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.list.Notices(time.Now())
}

func (s *suspects) entries() []quarantine.Entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.list.Entries(time.Now())
}

func (s *suspects) lift(f quarantine.Fingerprint) {
	s.mu.Lock()
	notice := s.list.Lift(time.Now(), f)
	s.mu.Unlock()
	s.flood(notice)
}
