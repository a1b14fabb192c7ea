package jayusage

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// keep is how long cells are kept after the end of their window.
	keep = 30 * time.Second
	// maxOwnCells bounds the cells of an instance: accounts times the windows of 30 s. With windows of
	// 5 s there is room for 2,000 accounts.
	maxOwnCells = 16 << 10
)

// Cell is the number of requests of an account in a window that one incarnation counted. It is
// cumulative, so that the highest number of several reports is the latest.
type Cell struct {
	Window int64
	// Account is the hash of the account's name.
	Account uint32
	Count   uint64
}

// AccountHash returns the hash by which an account is identified between instances.
func AccountHash(name string) uint32 {
	return nameHash(name)
}

// ServiceHash returns the short hash of a service's name in demand.
func ServiceHash(name string) uint32 {
	return nameHash(name)
}

func nameHash(name string) uint32 {
	return uint32(xxhash.Sum64String(name)) //nolint:gosec // Only the lower half is used.
}

// cellKey identifies a cell of one incarnation.
type cellKey struct {
	window  int64
	account uint32
}

// Counter counts the requests that this incarnation began, by window and account.
type Counter struct {
	cells map[cellKey]ownCell
	// version grows with each change.
	version uint64
	// dropped is the number of requests that were not counted since there were too many cells.
	dropped uint64
}

type ownCell struct {
	count, version uint64
}

// NewCounter returns a counter without cells.
func NewCounter() *Counter {
	return &Counter{cells: make(map[cellKey]ownCell)}
}

// Add counts a request of an account in a window.
func (c *Counter) Add(window int64, account uint32) {
	key := cellKey{window: window, account: account}
	cell, ok := c.cells[key]
	if !ok && len(c.cells) >= maxOwnCells {
		c.dropped++
		return
	}
	c.version++
	c.cells[key] = ownCell{count: cell.count + 1, version: c.version}
}

// Since returns the cells that changed after a version, in order, and the version up to which they lead.
func (c *Counter) Since(version uint64) ([]Cell, uint64) {
	var cells []Cell
	if version == c.version {
		return nil, version
	}
	for key, cell := range c.cells {
		if cell.version > version || version > c.version {
			cells = append(cells, Cell{Window: key.window, Account: key.account, Count: cell.count})
		}
	}
	sortCells(cells)
	return cells, c.version
}

// Prune drops the cells of windows before one.
func (c *Counter) Prune(first int64) {
	for key := range c.cells {
		if key.window < first {
			delete(c.cells, key)
		}
	}
}

func sortCells(cells []Cell) {
	slices.SortFunc(cells, func(a, b Cell) int {
		return cmp.Or(cmp.Compare(a.Window, b.Window), cmp.Compare(a.Account, b.Account))
	})
}
