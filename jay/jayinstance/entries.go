package jayinstance

import (
	"time"

	"jayfield.example/jay/jayentry"
	"jayfield.example/jay/jaymesh"
)

// entries answers which instances callers should use.
type entries struct {
	mesh     *jaymesh.Mesh
	lifetime time.Duration
}

// Entries returns the addresses for callers of a region, the best first.
func (e entries) Entries(region string) []jayentry.Entry {
	return e.mesh.Entries(region)
}

// Lifetime returns how long an answer may be kept.
func (e entries) Lifetime() time.Duration {
	return e.lifetime
}
