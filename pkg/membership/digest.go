package membership

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// hash covers the fields that merging compares. Ages are excluded because they differ between tables.
func (i Instance) hash() uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(string(i.ID))
	var b [18]byte
	binary.LittleEndian.PutUint64(b[0:], i.Incarnation)
	binary.LittleEndian.PutUint64(b[8:], i.Sequence)
	b[16] = byte(i.State)
	if i.HandedOver {
		b[17] = 1
	}
	_, _ = d.Write(b[:])
	return d.Sum64()
}

// digest adds the entry to the digests of its service and availability zone. A digest is the XOR of the record hashes,
// so an update takes constant time and the order of updates does not matter.
func (t *Table) digest(e *entry) {
	e.hash, e.digested = e.instance.hash(), true
	t.sum(e)
}

// undigest removes the entry from the digests.
func (t *Table) undigest(e *entry) {
	if e.digested {
		t.sum(e)
		e.digested = false
	}
}

// sum adds the hash of the entry to the digests, or removes it if they contain it.
func (t *Table) sum(e *entry) {
	t.byService[e.instance.Service] ^= e.hash
	t.byZone[e.instance.AvailabilityZone] ^= e.hash
}

// Digest returns the digest over the services for which keep returns true. Tables with equal digests hold the same
// records.
func (t *Table) Digest(keep func(service string) bool) uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	var sum uint64
	for service, d := range t.byService {
		if keep(service) {
			sum ^= d
		}
	}
	return sum
}

// ZoneDigests returns the digest of each availability zone.
func (t *Table) ZoneDigests() map[string]uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make(map[string]uint64, len(t.byZone))
	for zone, d := range t.byZone {
		if d != 0 {
			out[zone] = d
		}
	}
	return out
}
