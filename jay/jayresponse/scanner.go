package jayresponse

import (
	"bytes"

	"jayfield.example/jay/jayerror"
)

// Scanner finds folded lines in the bytes of a response header. net/http joins a line that begins with a blank with
// the value before it, which is then not the one that the server meant if the blank was to be part of a name. RFC
// 9112, section 5.2, lets a proxy reject such a response. The zero value scans a status line and the lines after it.
type Scanner struct {
	// atStart is set at the start of a line after the status line, ended after the empty line.
	atStart, ended bool
	folded         bool
}

// Scan scans the next bytes. Those after the end of the header have no effect.
func (s *Scanner) Scan(p []byte) {
	for len(p) > 0 && !s.ended {
		switch c := p[0]; {
		case c == '\n':
			s.ended, s.atStart = s.atStart, true
		case c == '\r' && s.atStart:
			// The line is empty if the line feed follows.
		default:
			s.folded = s.folded || s.atStart && (c == ' ' || c == '\t')
			s.atStart = false
			if end := bytes.IndexByte(p, '\n'); end >= 0 {
				p = p[end:]
				continue
			}
			return
		}
		p = p[1:]
	}
}

// Err returns an error of KindMalformed if a line was folded.
func (s *Scanner) Err() error {
	if s.folded {
		return jayerror.New("check", KindMalformed, "line of the header begins with a blank")
	}
	return nil
}
