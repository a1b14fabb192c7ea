package jayconfig

import (
	"encoding/hex"
	"errors"
	"strings"

	"k8s.io/apimachinery/pkg/labels"

	"jayfield.example/jay/jayaccount"
	"jayfield.example/jay/jayini"
)

// Caller is a client account that may send requests.
type Caller struct {
	// Hash is the SHA-256 hash of the account's key.
	Hash   jayaccount.Digest
	Labels labels.Set
	// Weight is the account's relative share among callers with queued requests.
	Weight int
	// Rate is the account's limit in requests per second over all instances; 0 means no limit.
	Rate int
}

const (
	hashPrefix = "sha256:"
	maxWeight  = 100
	maxRate    = 100_000
)

func newCaller() *Caller {
	return &Caller{Labels: labels.Set{}, Weight: 1}
}

// HashKey returns the hash of a caller's key in the form used in the configuration.
func HashKey(key string) string {
	sum := jayaccount.Key(key).Digest()
	return hashPrefix + hex.EncodeToString(sum[:])
}

func (c *Caller) fields() []jayini.Field {
	return []jayini.Field{
		jayini.Required(jayini.Field{Name: "key", Set: c.setHash}),
		labelsField("labels", &c.Labels),
		jayini.Int("weight", &c.Weight, 1, maxWeight),
		jayini.Int("rate", &c.Rate, 0, maxRate),
	}
}

func (c *Caller) setHash(value string) error {
	sum, err := hex.DecodeString(strings.TrimPrefix(value, hashPrefix))
	if !strings.HasPrefix(value, hashPrefix) || err != nil || len(sum) != len(c.Hash) {
		return errors.New("not sha256: and 64 hexadecimal digits; make it with jayfield hash")
	}
	copy(c.Hash[:], sum)
	return nil
}
