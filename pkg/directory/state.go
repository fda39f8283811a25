package directory

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"

	"github.com/monsoonlatch/monsoonlatch/pkg/config"
	"github.com/monsoonlatch/monsoonlatch/pkg/membership"
)

// State holds the configuration and the instances that a node knows. Current and Instances take no lock.
type State struct {
	mu          sync.Mutex
	instances   map[membership.InstanceID]membership.Instance
	subscribers []chan struct{}
	// checksum is a checksum of the IDs, incarnations and sequences of all records.
	checksum uint64
	snapshot atomic.Pointer[config.Snapshot]
	// deltas are the latest consecutive deltas, oldest first; the last one leads to the configuration in force.
	deltas   []config.Delta
	services atomic.Pointer[map[string][]membership.Instance]
	// cachedTopology is the cached distribution tree. It is reset when a record changes and rebuilt on the next use.
	cachedTopology atomic.Pointer[topology]
}

var (
	_ membership.View = (*State)(nil)
	_ config.Source   = (*State)(nil)
)

// NewState returns an empty state.
func NewState() *State {
	s := &State{instances: make(map[membership.InstanceID]membership.Instance)}
	s.services.Store(&map[string][]membership.Instance{})
	return s
}

// Current implements config.Source.
func (s *State) Current() *config.Snapshot { return s.snapshot.Load() }

// Version returns the version of the configuration in force, or 0 if there is none.
func (s *State) Version() config.Version {
	if snap := s.Current(); snap != nil {
		return snap.Version
	}
	return 0
}

// Accept puts a configuration in force and reports whether it did. A configuration that is not newer than the one in
// force is rejected regardless of its source, so that a node never reverts to an older version. The deltas
// are used if they start at the configuration in force; otherwise Accept computes one.
func (s *State) Accept(snap *config.Snapshot, deltas []config.Delta) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if snap.Version <= s.Version() {
		return false
	}
	if old := s.Current(); old != nil {
		if len(deltas) == 0 || deltas[0].From != old.Version {
			deltas = []config.Delta{config.NewDelta(old.Version, old.Configuration, snap.Version, snap.Hash, snap.Configuration)}
		}
		s.deltas = append(s.deltas, deltas...)
		s.deltas = slices.Clone(s.deltas[max(0, len(s.deltas)-maxKeptDeltas):])
	}
	s.snapshot.Store(snap)
	return true
}

// maxKeptDeltas is the number of configuration deltas kept for nodes that are behind. A node misses only a few changes
// at most while configurations follow in quick succession.
const maxKeptDeltas = 8

// DeltasSince returns the deltas that lead from the given version to the configuration in force. It returns false if
// they are no longer kept or are larger than the full configuration.
func (s *State) DeltasSince(version config.Version) ([]config.Delta, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	first := slices.IndexFunc(s.deltas, func(d config.Delta) bool { return d.From == version })
	if first < 0 {
		return nil, false
	}
	size := 0
	for _, d := range s.deltas[first:] {
		size += d.Size()
	}
	current := s.Current().Configuration
	if size > len(current.Services)+len(current.Policies)+len(current.Routes) {
		return nil, false
	}
	return slices.Clone(s.deltas[first:]), true
}

// Instances implements membership.View.
func (s *State) Instances(service string) []membership.Instance { return (*s.services.Load())[service] }

// Subscribe implements membership.View.
func (s *State) Subscribe() <-chan struct{} {
	c := make(chan struct{}, 1)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.subscribers = append(s.subscribers, c)
	return c
}

// All returns all known records, including those of departed instances.
func (s *State) All() []membership.Instance {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]membership.Instance, 0, len(s.instances))
	for _, in := range s.instances {
		out = append(out, in)
	}
	return out
}

// NodeCount returns the number of nodes that have not departed.
func (s *State) NodeCount() int { return len(s.topology().nodes) }

// topology returns the current distribution tree.
func (s *State) topology() *topology {
	if t := s.cachedTopology.Load(); t != nil {
		return t
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	t := newTopology(slices.Collect(maps.Values(s.instances)))
	s.cachedTopology.Store(t)
	return t
}

// supersedes reports whether record a is newer than record b of the same instance.
func supersedes(a, b membership.Instance) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	return a.Sequence > b.Sequence
}

// Merge stores the records that are newer than the known ones and returns their number.
func (s *State) Merge(records ...membership.Instance) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	changed := 0
	for _, in := range records {
		known, ok := s.instances[in.ID]
		if in.ID == "" || (ok && !supersedes(in, known)) {
			continue
		}
		s.instances[in.ID] = in
		changed++
	}
	if changed > 0 {
		s.rebuildViews()
	}
	return changed
}

// MarkDeparted marks an instance whose record was deleted as departed. It returns the changed record and true, or
// false if the instance is unknown or has departed already. The record is distributed to other nodes like any other;
// when the instance comes back, its new record replaces this one, since a restart raises the incarnation.
func (s *State) MarkDeparted(id membership.InstanceID) (membership.Instance, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	in, ok := s.instances[id]
	if !ok || in.State == membership.StateDeparted {
		return in, false
	}
	in.State = membership.StateDeparted
	in.Sequence++
	s.instances[id] = in
	s.rebuildViews()
	return in, true
}

// Digest summarises what a node knows, so that another node can determine what it lacks.
type Digest struct {
	Version config.Version
	// Sum is a checksum of the records; equal sets of records have equal sums. Most requests carry it instead of
	// Records, whose size grows with the number of nodes.
	Sum uint64
	// Records holds the incarnation and sequence of each record. A request with nil asks only whether the sums differ.
	Records map[membership.InstanceID][2]uint64
}

// Digest returns the digest of the state without Records.
func (s *State) Digest() Digest {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Digest{Version: s.Version(), Sum: s.checksum}
}

// FullDigest returns the digest of the state with Records.
func (s *State) FullDigest() Digest {
	s.mu.Lock()
	defer s.mu.Unlock()
	d := Digest{Version: s.Version(), Sum: s.checksum, Records: make(map[membership.InstanceID][2]uint64, len(s.instances))}
	for id, in := range s.instances {
		d.Records[id] = [2]uint64{in.Incarnation, in.Sequence}
	}
	return d
}

// Missing returns the records that are newer than those in a full digest or not contained in it.
func (s *State) Missing(d Digest) []membership.Instance {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []membership.Instance
	for id, in := range s.instances {
		known, ok := d.Records[id]
		if !ok || supersedes(in, membership.Instance{Incarnation: known[0], Sequence: known[1]}) {
			out = append(out, in)
		}
	}
	return out
}

// rebuildViews recomputes the checksum and the instance list of each service, drops the cached distribution tree and
// notifies the subscribers. The caller holds mu.
func (s *State) rebuildViews() {
	byService := make(map[string][]membership.Instance)
	s.checksum = 0
	for _, in := range s.instances {
		s.checksum ^= xxhash.Sum64String(fmt.Sprintf("%s %d %d", in.ID, in.Incarnation, in.Sequence))
		if in.State != membership.StateDeparted {
			byService[in.Service] = append(byService[in.Service], in)
		}
	}
	for _, list := range byService {
		slices.SortFunc(list, func(a, b membership.Instance) int { return cmp.Compare(a.ID, b.ID) })
	}
	s.services.Store(&byService)
	s.cachedTopology.Store(nil)
	for _, c := range s.subscribers {
		select {
		case c <- struct{}{}:
		default:
		}
	}
}
