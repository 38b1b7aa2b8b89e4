package rollout

// loadLevels are the numbers of calls in progress, the new one included, at which a level of
// load begins. They grow by about half, so that few levels cover targets of any size.
var loadLevels = [...]int{1, 2, 3, 4, 6, 9, 13, 19, 28}

// LoadCount counts the answers to calls that started at one level of load.
type LoadCount struct {
	Answers uint64 `cbor:"1,keyasint"`
	// Bad counts failures, and times above the limit of the route.
	Bad uint64 `cbor:"2,keyasint,omitempty"`
}

// LoadEvidence counts answers by level of load.
type LoadEvidence [len(loadLevels)]LoadCount

// levelOf returns the level of a call that starts with a number of calls in progress,
// itself included.
func levelOf(running int) int {
	level := 0
	for i, from := range loadLevels {
		if running >= from {
			level = i
		}
	}
	return level
}

// since returns what the counts have more than earlier ones.
func (e LoadEvidence) since(before LoadEvidence) LoadEvidence {
	for i := range e {
		e[i].Answers -= min(e[i].Answers, before[i].Answers)
		e[i].Bad -= min(e[i].Bad, before[i].Bad)
	}
	return e
}

// from returns the counts of a level and those above it together.
func (e LoadEvidence) from(level int) LoadCount {
	var sum LoadCount
	for _, c := range e[level:] {
		sum.Answers += c.Answers
		sum.Bad += c.Bad
	}
	return sum
}
