package jayroster

import (
	"encoding/binary"

	"jayfield.example/jay/jayerror"
	"jayfield.example/jay/jaymember"
)

// packVersion is the first byte of packed sums. Others are refused.
const packVersion = 1

// hashBytes is the size of a hash.
const hashBytes = 4

// pack returns sums with their lists in as few bytes as they need: hashes have four bytes and numbers are varints. Hashes are
// incompressible, and msgpack adds two to seven bytes to each entry.
func (s *sums) pack() *sums {
	data := binary.AppendUvarint([]byte{packVersion}, uint64(len(s.Work)))
	for _, w := range s.Work {
		data = appendNumbers(binary.BigEndian.AppendUint32(data, w.Upstream), w.Work.Running, w.Work.PrefillTokens, w.Work.ShortPrefillTokens)
	}
	data = binary.AppendUvarint(data, uint64(len(s.Tallies)))
	for _, t := range s.Tallies {
		data = appendNumbers(binary.BigEndian.AppendUint32(data, t.Upstream), t.Served, t.Failed)
	}
	data = appendPrefixes(data, s.Prefixes)
	data = binary.AppendUvarint(data, uint64(len(s.Speeds)))
	for _, f := range s.Speeds {
		data = appendNumbers(binary.BigEndian.AppendUint32(data, f.Upstream), f.Counts[:]...)
		data = appendNumbers(data, f.Votes, f.Steps)
	}
	return &sums{Packed: data, Suspects: s.Suspects}
}

// packedIf returns the sums packed if their receiver decodes that.
func (s *sums) packedIf(packs bool) *sums {
	if packs {
		return s.pack()
	}
	return s
}

func appendNumbers(data []byte, numbers ...int) []byte {
	for _, n := range numbers {
		data = binary.AppendVarint(data, int64(n))
	}
	return data
}

func appendPrefixes(data []byte, prefixes []jaymember.CachedPrefix) []byte {
	data = binary.AppendUvarint(data, uint64(len(prefixes)))
	for _, p := range prefixes {
		data = binary.BigEndian.AppendUint32(binary.BigEndian.AppendUint32(data, p.Upstream), p.Part)
	}
	return data
}

// unpack returns sums with the lists that were packed. Sums that are not packed are returned as they are.
func (s *sums) unpack() (*sums, error) {
	if len(s.Packed) == 0 {
		return s, nil
	}
	if s.Packed[0] != packVersion {
		return nil, jayerror.Newf("unpack", KindFormat, "sums of version %d, not %d", s.Packed[0], packVersion)
	}
	r := &packReader{data: s.Packed[1:]}
	result := &sums{Suspects: s.Suspects}
	for range r.length() {
		result.Work = append(result.Work, jaymember.UpstreamWork{
			Upstream: r.hash(), Work: jaymember.Work{Running: r.number(), PrefillTokens: r.number(), ShortPrefillTokens: r.number()},
		})
	}
	for range r.length() {
		result.Tallies = append(result.Tallies, jaymember.Tally{Upstream: r.hash(), Served: r.number(), Failed: r.number()})
	}
	for range r.length() {
		result.Prefixes = append(result.Prefixes, jaymember.CachedPrefix{Upstream: r.hash(), Part: r.hash()})
	}
	for range r.length() {
		f := jaymember.Speed{Upstream: r.hash()}
		for n := range f.Counts {
			f.Counts[n] = r.number()
		}
		f.Votes, f.Steps = r.number(), r.number()
		result.Speeds = append(result.Speeds, f)
	}
	if r.short {
		return nil, jayerror.New("unpack", KindFormat, "sums end too early")
	}
	return result, nil
}

// packReader reads packed sums. After the end of the data it returns zeros.
type packReader struct {
	data  []byte
	short bool
}

func (r *packReader) end() {
	r.data, r.short = nil, true
}

// length returns the length of a list. Each entry has at least the bytes of a hash, which bounds it.
func (r *packReader) length() int {
	length, n := binary.Uvarint(r.data)
	if n <= 0 || length > uint64(len(r.data)/hashBytes) {
		r.end()
		return 0
	}
	r.data = r.data[n:]
	return int(length) //nolint:gosec // It is below the length of the data.
}

func (r *packReader) hash() uint32 {
	if len(r.data) < hashBytes {
		r.end()
		return 0
	}
	hash := binary.BigEndian.Uint32(r.data)
	r.data = r.data[hashBytes:]
	return hash
}

func (r *packReader) number() int {
	number, n := binary.Varint(r.data)
	if n <= 0 {
		r.end()
		return 0
	}
	r.data = r.data[n:]
	return int(number)
}
