package jayaccount

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"crypto/subtle"
	"maps"
	"slices"
)

// Entry is an account with the digests of its keys.
type Entry struct {
	Account Account
	Digests []Digest
}

// NewEntry returns the entry of an account with some keys.
func NewEntry(account Account, keys ...Key) Entry {
	entry := Entry{Account: account}
	for _, key := range keys {
		entry.Digests = append(entry.Digests, key.Digest())
	}
	return entry
}

// Table finds accounts by their keys. It is immutable and holds no keys, only their digests.
type Table struct {
	secret  []byte
	entries map[Digest]tableEntry
	names   []string
	// listed holds the entries as they were given.
	listed []Entry
}

// tableEntry is the account that holds a key, with the key's digest.
type tableEntry struct {
	account Account
	digest  Digest
}

// NewTable returns the table of some accounts. If several entries have the same digest, the last one
// holds it.
func NewTable(entries ...Entry) *Table {
	t := &Table{secret: make([]byte, sha256.Size), entries: make(map[Digest]tableEntry, len(entries)), listed: cloneEntries(entries)}
	_, _ = rand.Read(t.secret) // crypto/rand.Read never fails.
	names := make(map[string]bool, len(entries))
	for _, entry := range entries {
		names[entry.Account.Name] = true
		for _, digest := range entry.Digests {
			t.entries[t.index(digest)] = tableEntry{account: entry.Account, digest: digest}
		}
	}
	t.names = slices.Sorted(maps.Keys(names))
	return t
}

// Find returns the account that holds a key. To prevent timing attacks, the lookup uses an HMAC
// with a secret random key and the comparison takes constant time, so the response time does not
// reveal how much of a wrong key is correct.
func (t *Table) Find(key Key) (Account, bool) {
	digest := key.Digest()
	found, ok := t.entries[t.index(digest)]
	if !ok || subtle.ConstantTimeCompare(found.digest[:], digest[:]) != 1 {
		return Account{}, false
	}
	return found.account, true
}

// Names returns the names of all accounts in order, also of those without a key.
func (t *Table) Names() []string {
	return slices.Clone(t.names)
}

// Len returns the number of accounts.
func (t *Table) Len() int {
	return len(t.names)
}

// Entries returns the accounts as they were given, several with the same name or digest included.
func (t *Table) Entries() []Entry {
	return cloneEntries(t.listed)
}

func cloneEntries(entries []Entry) []Entry {
	cloned := slices.Clone(entries)
	for i := range cloned {
		cloned[i].Digests = slices.Clone(cloned[i].Digests)
	}
	return cloned
}

// index returns the index of a digest.
func (t *Table) index(digest Digest) Digest {
	mac := hmac.New(sha256.New, t.secret)
	mac.Write(digest[:])
	return Digest(mac.Sum(nil))
}
