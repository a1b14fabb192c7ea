package jayusage

import (
	"encoding/binary"

	"jayfield.example/jay/jayerror"
)

// Kind classifies a failure of the package.
type Kind string

// KindFormat means that cells or a record cannot be decoded.
const KindFormat Kind = "format"

// Error is the error type of the package.
type Error = jayerror.Error[Kind]

const (
	// maxCells bounds the cells that an instance keeps of all incarnations: accounts times windows of 30 s
	// times incarnations of the zone. A zone of 33 instances with 73 accounts and windows of 5 s has 20,000.
	maxCells = 64 << 10
	// hashBytes is the size of an account's hash.
	hashBytes = 4
)

// Cells holds the cells of several incarnations. Cells arrive repeatedly and in any order.
type Cells struct {
	incarnations map[string]*incarnation
	count        int
	// dropped is the number of cells that were not kept since there were too many.
	dropped uint64
}

type incarnation struct {
	zone  string
	cells map[cellKey]uint64
}

// NewCells returns an empty set of cells.
func NewCells() *Cells {
	return &Cells{incarnations: make(map[string]*incarnation)}
}

// Merge merges cells of an incarnation in a zone. Of each cell the highest count is kept.
func (c *Cells) Merge(name, zone string, cells []Cell) {
	if len(cells) == 0 {
		return
	}
	known, ok := c.incarnations[name]
	if !ok {
		known = &incarnation{zone: zone, cells: make(map[cellKey]uint64)}
		c.incarnations[name] = known
	}
	for _, cell := range cells {
		key := cellKey{window: cell.Window, account: cell.Account}
		count, exists := known.cells[key]
		if !exists {
			if c.count >= maxCells {
				c.dropped++
				continue
			}
			c.count++
		}
		known.cells[key] = max(count, cell.Count)
	}
}

// Prune drops the cells of windows before one.
func (c *Cells) Prune(first int64) {
	for name, i := range c.incarnations {
		for key := range i.cells {
			if key.window < first {
				delete(i.cells, key)
				c.count--
			}
		}
		if len(i.cells) == 0 {
			delete(c.incarnations, name)
		}
	}
}

// Sum returns the counts of a window by account in a zone, and the number of incarnations that have any.
func (c *Cells) Sum(zone string, window int64) (counts map[uint32]uint64, incarnations int) {
	counts = make(map[uint32]uint64)
	for _, i := range c.incarnations {
		if i.zone != zone {
			continue
		}
		found := false
		for key, count := range i.cells {
			if key.window == window {
				counts[key.account] += count
				found = true
			}
		}
		if found {
			incarnations++
		}
	}
	return counts, incarnations
}

// EncodeCells encodes cells: the lowest window, and for each cell its distance to that, the
// account and the count. That takes some 7 bytes a cell, a third of the size as a msgpack array of integers.
func EncodeCells(cells []Cell) []byte {
	if len(cells) == 0 {
		return nil
	}
	first := cells[0].Window
	for _, c := range cells {
		first = min(first, c.Window)
	}
	data := binary.AppendVarint(nil, first)
	for _, c := range cells {
		data = binary.AppendUvarint(data, uint64(c.Window-first)) //nolint:gosec // The first window is the lowest.
		data = binary.BigEndian.AppendUint32(data, c.Account)
		data = binary.AppendUvarint(data, c.Count)
	}
	return data
}

// DecodeCells decodes cells.
func DecodeCells(data []byte) ([]Cell, error) {
	if len(data) == 0 {
		return nil, nil
	}
	first, n := binary.Varint(data)
	if n <= 0 {
		return nil, jayerror.New("decode", KindFormat, "no first window")
	}
	data = data[n:]
	cells := make([]Cell, 0, len(data)/(hashBytes+2))
	for len(data) > 0 {
		distance, n := binary.Uvarint(data)
		if n <= 0 || len(data) < n+hashBytes {
			return nil, jayerror.New("decode", KindFormat, "cell cut off")
		}
		account := binary.BigEndian.Uint32(data[n:])
		data = data[n+hashBytes:]
		count, n := binary.Uvarint(data)
		if n <= 0 {
			return nil, jayerror.New("decode", KindFormat, "count cut off")
		}
		data = data[n:]
		cells = append(cells, Cell{Window: first + int64(distance), Account: account, Count: count}) //nolint:gosec // Windows out of range are dropped by the receiver.
	}
	return cells, nil
}
