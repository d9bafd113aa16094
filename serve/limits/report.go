package limits

import (
	"slices"
	"time"
)

// Report tells a peer the demand of this entry and its grants to that peer.
type Report struct {
	Sender string
	// Sequence increases with each round of reports from the sender.
	Sequence uint64
	// Ack is the highest sequence number that the sender received from the
	// recipient. The grants expire GrantDuration after the recipient sent that
	// report.
	Ack           uint64
	Organisations map[string]OrganisationReport
}

// OrganisationReport is the part of a report about one organisation.
type OrganisationReport struct {
	Demand Amount
	Grant  Amount
}

// peer is the state of another entry from its last report.
type peer struct {
	sequence   uint64
	receivedAt time.Time
	demand     map[string]Amount
}

// maxSentTimes bounds Limiter.sentAt. Grants that acknowledge older reports have
// expired.
const maxSentTimes = 32

// NextReports returns the next round of reports, one for each of the peers. The
// caller calls it about once a second and sends each report within a second. A
// report that arrives later does no harm.
func (l *Limiter) NextReports(now time.Time, peers []string) map[string]Report {
	l.refillAll(now)
	l.sequence++
	l.sentAt[l.sequence] = now
	delete(l.sentAt, l.sequence-maxSentTimes)
	elapsed := now.Sub(l.lastReportAt)
	l.lastReportAt = now
	out := make(map[string]Report, len(peers))
	for _, p := range peers {
		out[p] = Report{Sender: l.entryName, Sequence: l.sequence, Ack: l.lastSequence(p), Organisations: map[string]OrganisationReport{}}
	}
	sorted := slices.Sorted(slices.Values(peers))
	for name, o := range l.organisations {
		o.demand.endWindow(elapsed)
		grants := l.grantToPeers(now, name, o, sorted)
		for _, p := range peers {
			organisationReport := OrganisationReport{Demand: o.demand.current(), Grant: grants[p]}
			if organisationReport != (OrganisationReport{}) {
				out[p].Organisations[name] = organisationReport
			}
		}
	}
	l.updateAllRates(now)
	return out
}

func (l *Limiter) lastSequence(name string) uint64 {
	if p, ok := l.peers[name]; ok {
		return p.sequence
	}
	return 0
}

// Receive applies a report from a peer. Reports that arrive out of order or twice
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
	l.refillAll(now)
	p.sequence = r.Sequence
	p.receivedAt = now
	p.demand = make(map[string]Amount, len(r.Organisations))
	sent, sentKnown := l.sentAt[r.Ack]
	for name, line := range r.Organisations {
		p.demand[name] = line.Demand
	}
	for name, o := range l.organisations {
		line := r.Organisations[name]
		o.grantsReceived = o.grantsReceived.removePeer(r.Sender)
		if !sentKnown || line.Grant == (Amount{}) {
			continue
		}
		o.grantsReceived = o.grantsReceived.add(grant{r.Sender, line.Grant, sent.Add(l.config.GrantDuration)})
	}
	l.updateAllRates(now)
}

// RemovePeer removes a peer that was replaced. A new process with the same name
// starts again at sequence number 1.
func (l *Limiter) RemovePeer(name string) { delete(l.peers, name) }

// grantToPeers decides what this entry grants to its peers out of its own part.
// The sum of its grants and what it keeps never exceeds its own part.
func (l *Limiter) grantToPeers(now time.Time, name string, o *organisation, peers []string) map[string]Amount {
	own := o.limit.scale(1 / float64(l.liveEntries))
	fair := l.fairShares(now, name, o, peers)
	spare := own.sub(fair[l.entryName].min(own))
	var totalNeed Amount
	for _, p := range peers {
		totalNeed = totalNeed.add(fair[p].sub(own).max(Amount{}))
	}
	o.grantsGiven = o.grantsGiven.unexpired(now)
	available := own.sub(o.grantsGiven.outstanding())
	out := make(map[string]Amount, len(peers))
	for _, p := range peers {
		if l.lastSequence(p) == 0 {
			continue
		}
		need := fair[p].sub(own).max(Amount{})
		amount := need.min(need.combine(totalNeed, ratio).combine(spare, product))
		alreadyGranted := o.grantsGiven.maxOf(p)
		amount = amount.min(alreadyGranted.add(available.max(Amount{})))
		if amount == (Amount{}) {
			continue
		}
		available = available.sub(amount.sub(alreadyGranted).max(Amount{}))
		o.grantsGiven = o.grantsGiven.add(grant{p, amount, now.Add(l.config.GrantDuration)})
		out[p] = amount
	}
	return out
}

func ratio(x, y float64) float64 {
	if y <= 0 {
		return 0
	}
	return x / y
}

func product(x, y float64) float64 { return x * y }

// fairShares divides a limit among the entries. If the total demand exceeds the
// limit, the shares are in proportion to demand. Otherwise each entry gets its
// demand and an equal part of the rest. The demand of an entry without a recent
// report is assumed to be its own part, limit/n.
func (l *Limiter) fairShares(now time.Time, name string, o *organisation, peers []string) map[string]Amount {
	demands := map[string]Amount{l.entryName: o.demand.current()}
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
	state, ok := l.peers[p]
	if !ok || now.Sub(state.receivedAt) > l.config.StaleAfter {
		return o.limit.scale(1 / float64(l.liveEntries))
	}
	return state.demand[name]
}

func (l *Limiter) refillAll(now time.Time) {
	for _, o := range l.organisations {
		l.refill(now, o)
	}
}

func (l *Limiter) updateAllRates(now time.Time) {
	for _, o := range l.organisations {
		l.updateRates(now, o)
	}
}

// refill refills the buckets of an organisation up to now.
func (l *Limiter) refill(now time.Time, o *organisation) {
	share := l.currentShare(now, o)
	o.requests.refill(now, share.Requests, l.config.BurstDuration)
	o.tokens.refill(now, share.Tokens, l.config.BurstDuration)
}

// updateRates sets the rates of the buckets after the share changed.
func (l *Limiter) updateRates(now time.Time, o *organisation) {
	share := l.currentShare(now, o)
	o.requests.setRate(share.Requests, l.config.BurstDuration)
	o.tokens.setRate(share.Tokens, l.config.BurstDuration)
}

// demand measures the requests of callers, admitted or not.
type demand struct {
	requests        float64
	tokens          float64
	peakInFlight    int
	refusedInFlight int
	smoothed        Amount
}

func (d *demand) recordRequest(tokens float64) {
	d.requests++
	d.tokens += tokens
}

func (d *demand) recordInFlight(inFlight int) { d.peakInFlight = max(d.peakInFlight, inFlight) }

// endWindow ends a measuring window and adds it to a moving average over about
// two windows.
func (d *demand) endWindow(elapsed time.Duration) {
	if elapsed <= 0 || elapsed > time.Minute {
		elapsed = time.Second
	}
	window := Amount{
		Requests: d.requests / elapsed.Seconds(),
		Tokens:   d.tokens / elapsed.Seconds(),
		InFlight: float64(d.peakInFlight + d.refusedInFlight),
	}
	d.smoothed = d.smoothed.add(window).scale(1.0 / 2)
	d.requests, d.tokens = 0, 0
	d.peakInFlight, d.refusedInFlight = 0, 0
}

func (d *demand) current() Amount { return d.smoothed }
