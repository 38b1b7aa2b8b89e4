package storeera

import (
	"slices"
	"time"

	"zinniafall/policy/model"
)

const (
	// rewriteSettleTime is how long an older configuration that the operators wrote in
	// the new era must stay unchanged before it replaces the one in force: they may
	// repeat several versions in turn.
	rewriteSettleTime = 5 * time.Second
	// copySettleTime is the same for one that the store has shown since its return.
	copySettleTime = 30 * time.Second
	// maxSuperseded bounds the contents that are remembered as replaced.
	maxSuperseded = 8
	// firstEra is the highest era that a store that has never returned from a copy may state.
	firstEra = 1
	// versionBits is the size of the operators' version in a revision, and eraShift
	// leaves room for several terms in an era.
	versionBits = 32
	eraShift    = 8
)

// Revision returns the revision of a version in a term. A term begins when an older
// version, or another content of the same one, takes the place of the configuration in
// force. Nodes replace configurations in the order of revisions, so by their terms first.
func Revision(term uint64, version model.Revision) model.Revision {
	return model.Revision(term)<<versionBits | Version(version)
}

// Version returns the operators' version in a revision.
func Version(r model.Revision) model.Revision { return r & (1<<versionBits - 1) }

// term returns the term in a revision.
func term(r model.Revision) uint64 { return uint64(r >> versionBits) }

// Content identifies a configuration by its version and a hash of its document.
type Content struct {
	Version model.Revision
	Sum     uint64
}

// Configuration decides which configuration is in force. It is not safe for concurrent
// use.
type Configuration struct {
	revision model.Revision
	content  Content
	// since is the era in which the content in force became known.
	since uint64
	// superseded are contents that were replaced by an older version or another
	// content of the same one.
	superseded []Content

	// at is the position of the last answer of the store, shown what it shows, and
	// writtenAt the revision at which that was written.
	at        Position
	shown     Content
	writtenAt uint64
	// rewritten is set if shown was written after the first answer of the era.
	rewritten bool
	// older measures how long the store has shown a configuration that is older than
	// the one in force.
	older answerSpan
}

// Revision returns the revision in force, or 0.
func (c *Configuration) Revision() model.Revision { return c.revision }

// Shown records that the store, asked at a time, shows a configuration that was written
// at a revision. It returns the revision that the configuration has and reports whether to
// put it in force, which Applied confirms.
func (c *Configuration) Shown(asked time.Time, at Position, writtenAt uint64, content Content) (model.Revision, bool) {
	if at.Before(c.at) {
		return 0, false
	}
	if c.shown != content || c.writtenAt != writtenAt {
		c.rewritten = at.Era == c.at.Era
		c.older = answerSpan{}
	} else if at.Era > c.at.Era {
		c.rewritten = false
		c.older = answerSpan{}
	}
	c.at, c.shown, c.writtenAt = at, content, writtenAt
	return c.decide(asked)
}

// Unchanged records an answer of the store according to which the configuration that it
// shows is the same as before. The results are those of Shown.
func (c *Configuration) Unchanged(asked time.Time, at Position) (model.Revision, bool) {
	if at.Before(c.at) || at.Era != c.at.Era || c.shown == (Content{}) {
		return 0, false
	}
	c.at.Revision = at.Revision
	return c.decide(asked)
}

// Pending reports whether the store shows a configuration that is not in force.
func (c *Configuration) Pending() bool { return c.shown != (Content{}) && c.shown != c.content }

// ShowsLater reports whether the store shows another configuration than the one in force
// that was written after its first answer in the era. In the first era it counts as such: there
// may be no copy that it could be from.
func (c *Configuration) ShowsLater() bool {
	return c.Pending() && (c.rewritten || c.at.Era <= firstEra)
}

func (c *Configuration) decide(asked time.Time) (model.Revision, bool) {
	inForce := c.content.Version
	switch {
	case c.shown == c.content:
		return 0, false
	case c.at.Era == 0:
		return c.shown.Version, c.shown.Version > inForce
	case slices.Contains(c.superseded, c.shown):
	case c.shown.Version > inForce:
		return Revision(term(c.revision), c.shown.Version), true
	case c.shown.Version == inForce && c.at.Era > c.since:
		return c.inNextTerm(), true
	}
	settleTime := copySettleTime
	if c.rewritten && c.since < c.at.Era {
		settleTime = rewriteSettleTime
	}
	c.older.add(asked)
	return c.inNextTerm(), c.older.total >= settleTime
}

// inNextTerm returns the revision of what the store shows in a term after that of the
// revision in force.
func (c *Configuration) inNextTerm() model.Revision {
	return Revision(max(term(c.revision)+1, c.at.Era<<eraShift), c.shown.Version)
}

// Applied records that a configuration is in force, from the store or another node. era
// is the newest that is known.
func (c *Configuration) Applied(era uint64, revision model.Revision, sum uint64) {
	content := Content{Version(revision), sum}
	if content != c.content {
		if term(revision) > term(c.revision) && c.content != (Content{}) {
			c.superseded = append(c.superseded, c.content)
			c.superseded = c.superseded[max(len(c.superseded)-maxSuperseded, 0):]
		}
		c.since, c.older = era, answerSpan{}
	}
	c.superseded = slices.DeleteFunc(c.superseded, func(s Content) bool { return s == content })
	c.revision, c.content = revision, content
}
