package jayadmit

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"jayfield.example/jay/jayusage"
)

const (
	// useWindow is the time constant of the decay of use. Shares hold over some seconds.
	useWindow = 3 * time.Second
	// maxPeerAge is the age up to which the use that other instances report counts.
	maxPeerAge = 2 * time.Second
	// minUse is the decayed use in tokens below which an account is forgotten.
	minUse = 1.0
	// starvedPart is the part of its fair share below which an account goes before all others. It is more
	// than the half that every account is to get, since use is known only after requests were sent.
	starvedPart = 0.7
	// MaxReported is the largest number of accounts in a report of use.
	MaxReported = 16
)

// Use is the decayed use of an account in tokens, by the hash of its name.
type Use struct {
	Account uint32
	Tokens  float64
}

// Standing is an account's use and fair share.
type Standing struct {
	Use, Share float64
}

// Above reports whether the account uses its fair share or more.
func (s Standing) Above() bool {
	return s.Share > 0 && s.Use >= s.Share
}

// starved reports whether the account goes before all others once one of its requests has been held for its limit.
func (s Standing) starved() bool {
	return s.Use < starvedPart*s.Share
}

// decayed is a sum that decays with useWindow.
type decayed struct {
	value float64
	at    time.Time
}

func (d decayed) on(now time.Time) float64 {
	if d.at.IsZero() {
		return 0
	}
	return d.value * math.Exp(-max(0, now.Sub(d.at)).Seconds()/useWindow.Seconds())
}

func (d decayed) plus(now time.Time, n float64) decayed {
	return decayed{value: d.on(now) + n, at: now}
}

// Shares measures what accounts use, and divides it by max-min fairness: no account gets more than it
// wants, and what one does not want is divided among the others.
type Shares struct {
	own map[string]decayed
	// wanted counts the tokens of all requests, also of those that are held or were refused.
	wanted  map[string]decayed
	peers   map[uint32]float64
	peersAt time.Time
}

// NewShares returns shares without use.
func NewShares() *Shares {
	return &Shares{own: make(map[string]decayed), wanted: make(map[string]decayed)}
}

// Add records that a request of an account was sent to an engine.
func (s *Shares) Add(now time.Time, account string, tokens int) {
	s.own[account] = s.own[account].plus(now, float64(tokens))
}

// Want records that a request of an account arrived.
func (s *Shares) Want(now time.Time, account string, tokens int) {
	s.wanted[account] = s.wanted[account].plus(now, float64(tokens))
}

// SetPeers records the sum of the use that other instances report.
func (s *Shares) SetPeers(now time.Time, uses []Use) {
	s.peers, s.peersAt = make(map[uint32]float64, len(uses)), now
	for _, u := range uses {
		s.peers[u.Account] += u.Tokens
	}
}

// PeerAge returns the age of the use of other instances that counts, 0 if none does.
func (s *Shares) PeerAge(now time.Time) time.Duration {
	if s.peers == nil || now.Sub(s.peersAt) > maxPeerAge {
		return 0
	}
	return now.Sub(s.peersAt)
}

// Heaviest returns the own use of the accounts that use the most, at most MaxReported.
func (s *Shares) Heaviest(now time.Time) []Use {
	var list []Use
	for account, d := range s.own {
		if tokens := d.on(now); tokens >= minUse {
			list = append(list, Use{Account: jayusage.AccountHash(account), Tokens: tokens})
		}
	}
	slices.SortFunc(list, func(a, b Use) int {
		return cmp.Or(cmp.Compare(b.Tokens, a.Tokens), cmp.Compare(a.Account, b.Account))
	})
	return list[:min(len(list), MaxReported)]
}

// Standings returns the use and fair share of all accounts. waiting holds the tokens of their held requests.
func (s *Shares) Standings(now time.Time, waiting map[string]int) map[string]Standing {
	peers := s.peers
	if now.Sub(s.peersAt) > maxPeerAge {
		peers = nil
	}
	use, wants, others := make(map[string]float64), make(map[string]float64), maps.Clone(peers)
	for account, d := range s.own {
		if use[account] = d.on(now); use[account] < minUse {
			delete(s.own, account)
		}
	}
	for account, d := range s.wanted {
		if wants[account] = d.on(now); wants[account] < minUse {
			delete(s.wanted, account)
		}
		use[account] += 0
	}
	demands := make([]float64, 0, len(use)+len(others))
	total := 0.0
	for account := range use {
		hash := jayusage.AccountHash(account)
		wants[account] = max(wants[account], use[account]+float64(waiting[account])) + others[hash]
		use[account] += others[hash]
		delete(others, hash)
		total += use[account]
		demands = append(demands, wants[account])
	}
	for _, tokens := range others {
		total += tokens
		demands = append(demands, tokens)
	}
	level := waterLevel(demands, total)
	standings := make(map[string]Standing, len(use))
	for account := range use {
		standings[account] = Standing{Use: use[account], Share: min(wants[account], level)}
	}
	return standings
}

// waterLevel returns the level at which demands, each cut off at it, add up to the total.
func waterLevel(demands []float64, total float64) float64 {
	slices.Sort(demands)
	for i, demand := range demands {
		level := total / float64(len(demands)-i)
		if demand > level {
			return level
		}
		total -= demand
	}
	return math.Inf(1)
}
