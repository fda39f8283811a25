package proxy

import (
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/monsoonlatch/monsoonlatch/pkg/balance"
	"github.com/monsoonlatch/monsoonlatch/pkg/config"
	"github.com/monsoonlatch/monsoonlatch/pkg/membership"
)

// Each ingress sends an instance only a request or two in a second, so that the loads in the responses are old by the time
// they are used. Nodes of one availability zone therefore tell each other in their requests and responses the newest loads
// that they know.

const (
	// maxNews is the number of reports in one request or response; with all of them it takes some 150 bytes.
	maxNews = 6
	// noNews is the value of HeaderNews in a request that carries no reports, but asks for the times of the instance.
	noNews = "-"
	// slotTimeWeight and routeTimeWeight are the inverses of the weight of one request in the averages of slotTimes. Both
	// follow a change of the speed within about a second.
	slotTimeWeight  = 16
	routeTimeWeight = 16
	// maxRouteTimes bounds the routes whose times are kept.
	maxRouteTimes = 64
)

// slotTimes observes how long requests use the slots of the local backend server, and how many wait in each rank.
type slotTimes struct {
	waiting [config.MaxRank + 1]atomic.Int32
	mu      sync.Mutex
	all     time.Duration
	routes  map[string]time.Duration
	// linkFree is the time at which the VM's link has sent the responses that it was given so far.
	linkFree time.Time
}

// observe adds a request that the backend server has answered.
func (t *slotTimes) observe(route string, took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.all = smooth(t.all, took, slotTimeWeight)
	if t.routes == nil {
		t.routes = make(map[string]time.Duration)
	}
	if known, ok := t.routes[route]; ok || len(t.routes) < maxRouteTimes {
		t.routes[route] = smooth(known, took, routeTimeWeight)
	}
}

func smooth(average, sample time.Duration, weight time.Duration) time.Duration {
	if average == 0 {
		return sample
	}
	return average + (sample-average)/weight
}

func (t *slotTimes) route(name string) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.routes[name]
}

// sent notes a response to another node. link is the bandwidth of the VM in Mbit/s; 0 if unknown.
func (t *slotTimes) sent(now time.Time, bytes int64, link int) {
	if link <= 0 || bytes <= 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.linkFree.Before(now) {
		t.linkFree = now
	}
	t.linkFree = t.linkFree.Add(time.Duration(bytes) * 8 * time.Microsecond / time.Duration(link))
}

// complete adds what the gate does not know to its load.
func (t *slotTimes) complete(now time.Time, l Load) balance.Load {
	out := balance.Load{InUse: l.InUse, Limit: l.Limit, Queued: l.Queued, ByRank: true}
	for i := range t.waiting {
		out.Waiting[i] = int(t.waiting[i].Load())
	}
	t.mu.Lock()
	out.SlotTime, out.LinkWait = t.all, max(0, t.linkFree.Sub(now))
	t.mu.Unlock()
	return out
}

// newsBoard is the part of the selector that an egress uses to exchange reports with other nodes.
type newsBoard interface {
	learn(now time.Time, news []balance.News)
	tell(now time.Time, service string) []balance.News
}

// learn takes over reports from another node.
func (s *selector) learn(now time.Time, news []balance.News) {
	if len(news) == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.picker.Learn(now, news)
}

// tell returns the newest reports of a service's instances.
func (s *selector) tell(now time.Time, service string) []balance.News {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.picker.Tell(now, service, make([]balance.News, 0, maxNews), maxNews)
}

// formatNews encodes reports as the value of HeaderNews: for each one the instance, slots in use, limit, slot time in
// microseconds, age in milliseconds, the wait for its link in microseconds, and the
// waiting requests of the ranks up to the last that has any.
func formatNews(b []byte, news []balance.News) []byte {
	for i := range news {
		if len(b) > 0 {
			b = append(b, ';')
		}
		n := &news[i]
		b = append(append(b, escapeName(string(n.ID))...), '=')
		b = appendReport(b, &n.Load, n.Age.Milliseconds())
	}
	return b
}

// appendReport encodes a load and one more number, which is an age or a service time.
func appendReport(b []byte, l *balance.Load, last int64) []byte {
	b = strconv.AppendInt(b, int64(l.InUse), 10)
	b = strconv.AppendInt(append(b, '/'), int64(l.Limit), 10)
	b = strconv.AppendInt(append(b, '/'), l.SlotTime.Microseconds(), 10)
	b = strconv.AppendInt(append(b, '/'), last, 10)
	b = strconv.AppendInt(append(b, '/'), l.LinkWait.Microseconds(), 10)
	for r := range l.Waiting {
		if rest := l.Waiting[r:]; sum(rest) == 0 {
			break
		}
		b = strconv.AppendInt(append(b, '/'), int64(l.Waiting[r]), 10)
	}
	return b
}

func sum(values []int) int {
	n := 0
	for _, v := range values {
		n += v
	}
	return n
}

// parseNews decodes the value of HeaderNews. Malformed reports are left out.
func parseNews(value string) []balance.News {
	if value == "" || value == noNews {
		return nil
	}
	news := make([]balance.News, 0, maxNews)
	for item := range strings.SplitSeq(value, ";") {
		id, report, ok := strings.Cut(item, "=")
		if !ok {
			continue
		}
		if l, age, ok := parseReport(report); ok && len(news) < maxNews {
			news = append(news, balance.News{ID: membership.InstanceID(unescapeName(id)), Load: l, Age: time.Duration(age) * time.Millisecond})
		}
	}
	return news
}

// maxReported bounds the numbers of a report, so that sums and conversions cannot overflow.
const maxReported = 1 << 32

// parseReport reverses appendReport.
func parseReport(s string) (l balance.Load, last int64, ok bool) {
	l.ByRank = true
	i := 0
	for field := range strings.SplitSeq(s, "/") {
		n, err := strconv.ParseInt(field, 10, 64)
		if err != nil || n < 0 || n > maxReported {
			return l, 0, false
		}
		switch {
		case i == 0:
			l.InUse = int(n)
		case i == 1:
			l.Limit = int(n)
		case i == 2:
			l.SlotTime = time.Duration(n) * time.Microsecond
		case i == 3:
			last = n
		case i == 4:
			l.LinkWait = time.Duration(n) * time.Microsecond
		case i-5 < len(l.Waiting):
			l.Waiting[i-5] = int(n)
			l.Queued += int(n)
		default:
			return l, 0, false
		}
		i++
	}
	return l, last, i >= 5
}

// newsForPeer returns the value of HeaderNews for a request to an instance; empty if the choice of instances does not use
// it. Nothing but the question goes to another zone.
func (s *selector) newsForPeer(now time.Time, service string, sameZone bool) string {
	if !s.exchangesNews {
		return ""
	}
	if sameZone {
		if b := formatNews(nil, s.tell(now, service)); len(b) > 0 {
			return string(b)
		}
	}
	return noNews
}

// answerNews returns the value of HeaderNews for the response to a request that carried the given value: the own load with
// the time that requests of the route take here, then reports of other instances. asked is empty if the caller's node does
// not use them.
func (e *Egress) answerNews(now time.Time, c *call, asked string, l Load) string {
	load := e.times.complete(now, l)
	b := appendReport(make([]byte, 0, 160), &load, e.times.route(c.route).Microseconds())
	if e.board != nil && asked != noNews {
		e.board.learn(now, parseNews(asked))
		b = formatNews(b, e.board.tell(now, c.service))
	}
	return string(b)
}

// takeNews adds what the value of HeaderNews in a response says to the reply, and returns the reports of other instances.
func (rep *reply) takeNews(value string) []balance.News {
	own, others, _ := strings.Cut(value, ";")
	if l, routeMicros, ok := parseReport(own); ok {
		rep.load, rep.routeTime = &l, time.Duration(routeMicros)*time.Microsecond
	}
	return parseNews(others)
}
