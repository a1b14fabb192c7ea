package jaystandin

// attachment is one reader of a sequence.
type attachment struct {
	// offset is the next token to write.
	offset int
	wake   chan struct{}
	// ended is closed when another reader takes over.
	ended chan struct{}
}

func newAttachment(offset int) *attachment {
	return &attachment{offset: offset, wake: make(chan struct{}, 1), ended: make(chan struct{})}
}

func (a *attachment) notify() {
	select {
	case a.wake <- struct{}{}:
	default:
	}
}
