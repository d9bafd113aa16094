package limits

import (
	"slices"
	"time"
)

// Report tells a peer this entry's demand and what it grants to that peer.
type Report struct {
	Sender string
	// Sequence increases with each round of reports of the sender.
	Sequence uint64
	// Ack is the highest sequence number that the sender got from the peer
	// that this report is for. Its grants end GrantFor after the peer sent
	// that report.
	Ack           uint64
	Organisations map[string]OrganisationReport
}

// OrganisationReport is the part of a report about one organisation.
type OrganisationReport struct {
	Demand Amount
	Grant  Amount
}

// peer is what this entry knows about another entry.
type peer struct {
	sequence uint64
	at       time.Time
	demand   map[string]Amount
}

// sentTimes bounds Limiter.sentAt. Older reports are past GrantFor.
const sentTimes = 32

// NextReports returns the next round of reports, one for each named peer. The
// caller calls it about once a second and sends each report within a second;
// a report that arrives later does no harm.
func (l *Limiter) NextReports(now time.Time, peers []string) map[string]Report {
	l.advanceAll(now)
	l.sequence++
	l.sentAt[l.sequence] = now
	delete(l.sentAt, l.sequence-sentTimes)
	elapsed := now.Sub(l.reportedAt)
	l.reportedAt = now
	out := make(map[string]Report, len(peers))
	for _, p := range peers {
		out[p] = Report{Sender: l.self, Sequence: l.sequence, Ack: l.ack(p), Organisations: map[string]OrganisationReport{}}
	}
	sorted := slices.Sorted(slices.Values(peers))
	for name, o := range l.organisations {
		o.demand.roll(elapsed)
		grants := l.grant(now, name, o, sorted)
		for _, p := range peers {
			line := OrganisationReport{Demand: o.demand.current(), Grant: grants[p]}
			if line != (OrganisationReport{}) {
				out[p].Organisations[name] = line
			}
		}
	}
	l.applyAll(now)
	return out
}

func (l *Limiter) ack(name string) uint64 {
	if p, ok := l.peers[name]; ok {
		return p.sequence
	}
	return 0
}

// Receive takes a report of a peer. Reports that arrive out of order or twice
// are ignored.
func (l *Limiter) Receive(now time.Time, r Report) {
	p, ok := l.peers[r.Sender]
	if !ok {
		p = &peer{}
		l.peers[r.Sender] = p
	}
	if r.Sequence <= p.sequence {
		return
	}
	l.advanceAll(now)
	p.sequence = r.Sequence
	p.at = now
	p.demand = make(map[string]Amount, len(r.Organisations))
	sent, known := l.sentAt[r.Ack]
	for name, line := range r.Organisations {
		p.demand[name] = line.Demand
	}
	for name, o := range l.organisations {
		line := r.Organisations[name]
		o.received = o.received.without(r.Sender)
		if !known || line.Grant == (Amount{}) {
			continue
		}
		o.received = o.received.with(grant{r.Sender, line.Grant, sent.Add(l.config.GrantDuration)})
	}
	l.applyAll(now)
}

// RemovePeer drops a peer that was replaced; a new process under the same name
// starts again at sequence 1.
func (l *Limiter) RemovePeer(name string) { delete(l.peers, name) }

// grant decides what this entry gives to its peers out of its own part. What
// it hands out together with what it keeps never exceeds its own part.
func (l *Limiter) grant(now time.Time, name string, o *organisation, peers []string) map[string]Amount {
	own := o.limit.scale(1 / float64(l.live))
	fair := l.fairShares(now, name, o, peers)
	spare := own.sub(fair[l.self].min(own))
	var needed Amount
	for _, p := range peers {
		needed = needed.add(fair[p].sub(own).max(Amount{}))
	}
	o.given = o.given.current(now)
	left := own.sub(o.given.outstanding())
	out := make(map[string]Amount, len(peers))
	for _, p := range peers {
		if l.ack(p) == 0 {
			continue
		}
		need := fair[p].sub(own).max(Amount{})
		part := need.min(need.combine(needed, ratio).combine(spare, multiply))
		before := o.given.of(p)
		part = part.min(before.add(left.max(Amount{})))
		if part == (Amount{}) {
			continue
		}
		left = left.sub(part.sub(before).max(Amount{}))
		o.given = o.given.with(grant{p, part, now.Add(l.config.GrantDuration)})
		out[p] = part
	}
	return out
}

func ratio(x, y float64) float64 {
	if y <= 0 {
		return 0
	}
	return x / y
}

func multiply(x, y float64) float64 { return x * y }

// fairShares divides a limit among the entries by demand: in proportion if the
// demand exceeds the limit, otherwise each gets its demand and an equal part
// of the rest. An entry without a recent report counts with its own part.
func (l *Limiter) fairShares(now time.Time, name string, o *organisation, peers []string) map[string]Amount {
	demands := map[string]Amount{l.self: o.demand.current()}
	total := o.demand.current()
	for _, p := range peers {
		demands[p] = l.demandOf(now, name, o, p)
		total = total.add(demands[p])
	}
	fair := make(map[string]Amount, len(demands))
	n := float64(len(demands))
	for p, d := range demands {
		fair[p] = Amount{
			Requests: fairShare(o.limit.Requests, d.Requests, total.Requests, n),
			Tokens:   fairShare(o.limit.Tokens, d.Tokens, total.Tokens, n),
			InFlight: fairShare(o.limit.InFlight, d.InFlight, total.InFlight, n),
		}
	}
	return fair
}

func fairShare(limit, demand, total, n float64) float64 {
	if total > limit {
		return limit * demand / total
	}
	return demand + (limit-total)/n
}

func (l *Limiter) demandOf(now time.Time, name string, o *organisation, p string) Amount {
	known, ok := l.peers[p]
	if !ok || now.Sub(known.at) > l.config.StaleAfter {
		return o.limit.scale(1 / float64(l.live))
	}
	return known.demand[name]
}

func (l *Limiter) advanceAll(now time.Time) {
	for _, o := range l.organisations {
		l.advance(now, o)
	}
}

func (l *Limiter) applyAll(now time.Time) {
	for _, o := range l.organisations {
		l.apply(now, o)
	}
}

// advance fills the buckets up to now.
func (l *Limiter) advance(now time.Time, o *organisation) {
	share := l.entitlement(now, o)
	o.requests.advance(now, share.Requests, l.config.BurstDuration)
	o.tokens.advance(now, share.Tokens, l.config.BurstDuration)
}

// apply sets the rates after the share changed.
func (l *Limiter) apply(now time.Time, o *organisation) {
	share := l.entitlement(now, o)
	o.requests.setRate(share.Requests, l.config.BurstDuration)
	o.tokens.setRate(share.Tokens, l.config.BurstDuration)
}

// demand measures what callers ask for, admitted or not.
type demand struct {
	requests        float64
	tokens          float64
	mostInFlight    int
	refusedInFlight int
	smoothed        Amount
}

func (d *demand) offered(tokens float64) {
	d.requests++
	d.tokens += tokens
}

func (d *demand) observe(inFlight int) { d.mostInFlight = max(d.mostInFlight, inFlight) }

// roll ends a measuring window and smooths it over about two windows.
func (d *demand) roll(elapsed time.Duration) {
	if elapsed <= 0 || elapsed > time.Minute {
		elapsed = time.Second
	}
	window := Amount{
		Requests: d.requests / elapsed.Seconds(),
		Tokens:   d.tokens / elapsed.Seconds(),
		InFlight: float64(d.mostInFlight + d.refusedInFlight),
	}
	d.smoothed = d.smoothed.add(window).scale(1.0 / 2)
	d.requests, d.tokens = 0, 0
	d.mostInFlight, d.refusedInFlight = 0, 0
}

func (d *demand) current() Amount { return d.smoothed }
