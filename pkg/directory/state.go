package directory

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/monsoonlatch/monsoonlatch/pkg/clock"
	"github.com/monsoonlatch/monsoonlatch/pkg/config"
	"github.com/monsoonlatch/monsoonlatch/pkg/era"
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
	// confirmed is the time at which the store, directly or through other nodes, last had no newer configuration.
	confirmed clock.EventTime
	// deltas are the latest consecutive deltas, oldest first; the last one leads to the configuration in force.
	deltas   []config.Delta
	services atomic.Pointer[map[string][]membership.Instance]
	// nodes is the number of nodes that have not departed.
	nodes atomic.Int64
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

// ConfigurationAge returns the time since the configuration in force was last known to be the newest one in the store.
func (s *State) ConfigurationAge() time.Duration { return s.confirmed.Age(time.Now()) }

// confirm records that the configuration in force was the newest one in the store at the given time, which is not after
// the present. Earlier confirmations change nothing.
func (s *State) confirm(at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.confirmed.Age(at) > 0 {
		s.confirmed.Set(at)
	}
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
	if size > len(current.Services)+len(current.Policies)+len(current.Routes)+len(current.Tenants) {
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

// find returns the record of an instance, or the zero value.
func (s *State) find(id membership.InstanceID) membership.Instance {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.instances[id]
}

// NodeCount returns the number of nodes that have not departed.
func (s *State) NodeCount() int { return int(s.nodes.Load()) }

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

// change is the replacement of one record by another; before is the zero value for a new instance.
type change struct{ before, after membership.Instance }

// Merge stores the records that are newer than the known ones and returns their number.
func (s *State) Merge(records ...membership.Instance) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	var changes []change
	for _, in := range records {
		known, ok := s.instances[in.ID]
		if in.ID == "" || (ok && !supersedes(in, known)) {
			continue
		}
		s.instances[in.ID] = in
		changes = append(changes, change{known, in})
	}
	if len(changes) > 0 {
		s.updateViews(changes)
	}
	return len(changes)
}

// MarkDeparted marks an instance whose record was deleted as departed. It returns the changed record and true, or
// false if the instance is unknown or has departed already. The record is distributed to other nodes like any other;
// when the instance comes back, its new record replaces this one, since a restart raises the incarnation.
func (s *State) MarkDeparted(id membership.InstanceID) (membership.Instance, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	known, ok := s.instances[id]
	if !ok || known.State == membership.StateDeparted {
		return known, false
	}
	departed := known
	departed.State = membership.StateDeparted
	departed.Sequence++
	s.instances[id] = departed
	s.updateViews([]change{{known, departed}})
	return departed, true
}

// Digest summarises what a node knows, so that another node can determine what it lacks.
type Digest struct {
	Version config.Version
	// Sum is a checksum of the records; equal sets of records have equal sums. Most requests carry it instead of
	// Records, whose size grows with the number of nodes.
	Sum uint64
	// Records holds the incarnation and sequence of each record. A request with nil asks only whether the sums differ.
	Records map[membership.InstanceID][2]uint64
	// PlanSum is the checksum of the plans for roll-outs; it is zero if there are none. RolloutsUnknown is set until the
	// requesting node knows whether there are any.
	PlanSum         uint64
	RolloutsUnknown bool
	// Era is the latest era of the store that the requesting node knows; zero if it knows none.
	Era era.Number
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

// updateViews applies changed records to the checksum, the number of nodes and the instance list of each service, drops the
// cached distribution tree and notifies the subscribers. Its cost depends on the changes and on the services that they
// concern, not on the number of all instances: at several hundred nodes hundreds of records change within seconds. The
// caller holds mu.
func (s *State) updateViews(changes []change) {
	lists := serviceLists{byService: maps.Clone(*s.services.Load()), copied: make(map[string]bool)}
	nodes := s.nodes.Load()
	for _, c := range changes {
		if c.before.ID != "" {
			s.checksum ^= recordSum(c.before)
		}
		s.checksum ^= recordSum(c.after)
		nodes += countNode(c.after) - countNode(c.before)
		lists.remove(c.before)
		lists.add(c.after)
	}
	s.nodes.Store(nodes)
	s.services.Store(&lists.byService)
	s.cachedTopology.Store(nil)
	for _, c := range s.subscribers {
		select {
		case c <- struct{}{}:
		default:
		}
	}
}

// recordSum is the part of a record in the checksum.
func recordSum(in membership.Instance) uint64 {
	b := make([]byte, 0, 128)
	b = append(append(b, in.ID...), ' ')
	b = append(strconv.AppendUint(b, in.Incarnation, 10), ' ')
	return xxhash.Sum64(strconv.AppendUint(b, in.Sequence, 10))
}

// isNode reports whether a record is that of a node in the distribution tree.
func isNode(in membership.Instance) bool {
	return in.State != membership.StateDeparted && in.ControlAddress != ""
}

// countNode returns 1 for the record of a node and 0 for others.
func countNode(in membership.Instance) int64 {
	if isNode(in) {
		return 1
	}
	return 0
}

// serviceLists edits the instance lists of services, which are ordered by ID. Readers use the old lists meanwhile, so that a
// list is copied before its first change.
type serviceLists struct {
	byService map[string][]membership.Instance
	copied    map[string]bool
}

// find returns the list of the instance's service, which may be changed, and the position of the instance in it.
func (l *serviceLists) find(in membership.Instance) (list []membership.Instance, i int, found bool) {
	list = l.byService[in.Service]
	if !l.copied[in.Service] {
		list = slices.Clone(list)
		l.copied[in.Service] = true
	}
	i, found = slices.BinarySearchFunc(list, in.ID, func(a membership.Instance, id membership.InstanceID) int { return cmp.Compare(a.ID, id) })
	return list, i, found
}

func (l *serviceLists) remove(in membership.Instance) {
	if in.ID == "" || in.State == membership.StateDeparted {
		return
	}
	list, i, found := l.find(in)
	if found {
		list = slices.Delete(list, i, i+1)
	}
	if len(list) == 0 {
		delete(l.byService, in.Service)
		return
	}
	l.byService[in.Service] = list
}

func (l *serviceLists) add(in membership.Instance) {
	if in.State == membership.StateDeparted {
		return
	}
	list, i, _ := l.find(in)
	l.byService[in.Service] = slices.Insert(list, i, in)
}
