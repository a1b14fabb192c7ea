package jaystream

import "time"

// maxReads is how often the log is read for one look-up.
const maxReads = 3

// Step is what a look-up needs next.
type Step string

// Steps of a look-up.
const (
	// StepConfirm reads the registry up to its end.
	StepConfirm Step = "confirm"
	// StepRead reads the log up to its end.
	StepRead Step = "read"
	// StepDone ends the look-up.
	StepDone Step = "done"
)

// Result is how a look-up ended.
type Result string

// Results of look-ups.
const (
	// ResultOwn is a stream of this instance, ResultRecorded one of the log, ResultPeer one that another instance knew.
	ResultOwn      Result = "own"
	ResultRecorded Result = "recorded"
	ResultPeer     Result = "peer"
	// ResultOnly means that only one version is in play, ResultUnconfirmed that the store did not confirm that.
	ResultOnly        Result = "only"
	ResultUnconfirmed Result = "unconfirmed"
	ResultUnknown     Result = "unknown"
)

// Progress is what has been done for a look-up.
type Progress struct {
	// Confirmed is set once the registry was read, or the store did not answer, which sets Unconfirmed too.
	Confirmed, Unconfirmed bool
	// Reads is the number of reads of the log.
	Reads int
	// Failed is set if the newest read of the log failed, Silent if the store has had its time to answer too, so that no more
	// reads are made.
	Failed, Silent bool
}

// Answer is the state of a look-up.
type Answer struct {
	Step    Step
	Result  Result
	Version string
}

// LookUp returns the version that began a stream, or what is to be done to know it.
func (t *Table) LookUp(now time.Time, name, attempt string, p Progress) Answer {
	unknown := Answer{Step: StepDone, Result: ResultUnknown}
	s, result := t.find(name, attempt)
	if s != nil && s.ambiguous {
		return unknown
	}
	if s != nil {
		return Answer{StepDone, result, s.version}
	}
	versions := t.Versions(now, name)
	known := !t.loaded.IsZero() && t.Complete(now)
	if known && len(versions) == 1 {
		return p.only(versions[0])
	}
	if p.Silent || p.Reads >= maxReads || known && (attempt == "" || len(versions) == 0) {
		return unknown
	}
	return Answer{Step: StepRead}
}

// Doubt returns why the version that began a stream is unknown after a look-up.
func (t *Table) Doubt(now time.Time, name, attempt string) string {
	s, _ := t.find(name, attempt)
	versions := t.Versions(now, name)
	switch {
	case s != nil && s.ambiguous:
		return "several versions began streams under the attempt"
	case t.loaded.IsZero() || !t.Complete(now):
		return "the instance does not know yet which versions were in play"
	case len(versions) == 0:
		return "no version is in play"
	case attempt == "":
		return "the attempt is not named, and several versions were in play"
	}
	return "no record of the stream, and several versions were in play"
}

// only returns the answer if one version only is in play.
func (p Progress) only(version string) Answer {
	switch {
	case !p.Confirmed:
		return Answer{Step: StepConfirm}
	case p.Unconfirmed:
		return Answer{StepDone, ResultUnconfirmed, version}
	}
	return Answer{StepDone, ResultOnly, version}
}

// find returns a stream of this instance, of the log or of another instance, nil if none has it.
func (t *Table) find(name, attempt string) (*stream, Result) {
	if attempt == "" {
		return nil, ResultUnknown
	}
	return t.findKey(NewKey(name, attempt))
}

func (t *Table) findKey(key Key) (*stream, Result) {
	own, read := t.own[key], t.read[key]
	switch {
	case own != nil && read != nil && own.version != read.version:
		return &stream{ambiguous: true}, ResultUnknown
	case own != nil:
		return own, ResultOwn
	case read != nil && read.kept:
		return read, ResultPeer
	}
	return read, ResultRecorded
}
