package topicproof

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func address(n int) string { return fmt.Sprintf("10.0.%d.%d:7000", n/200, n%200) }

// Guards against gateways that disagree on the pollers although they agree who is alive, and
// against pollers that are asked by more gateways than their links allow for.
func TestPollersAreAskedEquallyOften(t *testing.T) {
	for gateways, want := range map[int]int{1: 1, 2: 2, 3: 3, 4: 3, 10: 3, 24: 3, 35: 3, 36: 3, 37: 4, 330: 28} {
		pollers, asked := 0, make(map[string]int)
		for n := range gateways {
			var live []string
			for i := range gateways {
				if i != n {
					live = append(live, address(i))
				}
			}
			p := Choose(address(n), live)
			require.Equal(t, gateways > want, p.Asked)
			require.NotContains(t, p.Responders, address(n))
			if p.Poller {
				require.Len(t, p.Responders, min(want-1, maxResponders)+min(gateways-want, spareResponders))
				pollers++
				continue
			}
			require.Len(t, p.Responders, maxResponders)
			for _, r := range p.Responders {
				asked[r]++
			}
		}
		require.Equal(t, want, pollers, gateways)
		for responder, n := range asked {
			require.LessOrEqual(t, n, maxResponders*(gatewaysPerPoller-1), responder)
		}
	}
}

// Guards against more than one change of the pollers when a gateway is lost.
func TestLossOfPollerMakesNextOnePoll(t *testing.T) {
	pollers := func(list []string) map[string]bool {
		found := make(map[string]bool)
		for _, self := range list {
			if Choose(self, list).Poller {
				found[self] = true
			}
		}
		return found
	}
	var list []string
	for n := range 24 {
		list = append(list, address(n))
	}
	before := pollers(list)
	for lost := range before {
		var left []string
		for _, a := range list {
			if a != lost {
				left = append(left, a)
			}
		}
		after := pollers(left)
		require.Len(t, after, minPollers)
		for a := range before {
			require.True(t, a == lost || after[a])
		}
	}
}

// Guards against an old proof that keeps a gateway from reading the store itself, against
// newer records and other histories that lead to no read, and against reads without a need.
func TestWhenTheStoreIsRead(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	proof := func(next int64, digest uint64, ageMs int) Proof {
		return Proof{Next: next, Digest: digest, Age: time.Duration(ageMs) * time.Millisecond}
	}
	for _, test := range []struct {
		name    string
		proof   Proof
		outcome Outcome
		want    ReadReason
	}{
		{"nothing newer", proof(5, 9, 100), Confirmed, Idle},
		{"not younger than the own read", proof(5, 9, 450), Ignored, Idle},
		{"too old to go without a read", proof(5, 9, 2000), Ignored, NoProof},
		{"newer records", proof(6, 8, 100), Contradicted, NewRecords},
		{"newer records that were read before", proof(6, 8, 480), Contradicted, NewRecords},
		{"newer records, but the proof is old", proof(6, 8, 1700), Ignored, NoProof},
		{"fewer records after the own read", proof(4, 7, 100), Contradicted, OtherHistory},
		{"fewer records before the own read", proof(4, 7, 300), Ignored, NoProof},
		{"other records after the own read", proof(5, 7, 100), Contradicted, OtherHistory},
		{"other records before the own read", proof(5, 7, 300), Ignored, NoProof},
	} {
		t.Run(test.name, func(t *testing.T) {
			var k Knowledge
			require.Equal(t, Start, k.ReadReason(at(0), false))
			require.Equal(t, Ignored, k.Apply(at(0), at(0), proof(0, 0, 0)), "nothing is read yet")
			k.RecordRead(Read{Next: 5, Digest: 9, Complete: true, Sent: at(100), Received: at(200)})
			require.Equal(t, NoProof, k.ReadReason(at(200), false))
			require.Equal(t, Poll, k.ReadReason(at(200), true))
			require.Equal(t, test.outcome, k.Apply(at(560), at(500), test.proof))
			require.Equal(t, test.want, k.ReadReason(at(560), false))
			current, _ := k.CurrentAt()
			if test.outcome == Confirmed {
				require.Equal(t, at(400), current)
				require.Equal(t, at(400).Add(MaxProofAge), k.IdleUntil())
				require.Equal(t, NoProof, k.ReadReason(k.IdleUntil().Add(1), false))
				return
			}
			require.Equal(t, at(100), current)
		})
	}
}

// Guards against a gateway that reads again and again for the same proof, and against one that
// goes on without the read that a proof required.
func TestRequiredReads(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	for _, test := range []struct {
		name  string
		proof Proof
		read  Read
		want  ReadReason
	}{
		{"has the records", Proof{Next: 6}, Read{Next: 6, Sent: at(400), Received: at(600)}, NoProof},
		{"hasn't all of them", Proof{Next: 7}, Read{Next: 6, Sent: at(510), Received: at(600)}, NewRecords},
		{"sent before, found nothing", Proof{Next: 6}, Read{Next: 5, Digest: 9, Complete: true, Sent: at(400), Received: at(600)}, NewRecords},
		{"the store has no more", Proof{Next: 6}, Read{Next: 5, Digest: 9, Complete: true, Sent: at(510), Received: at(600)}, NoProof},
		{"not from the begin", Proof{Next: 4}, Read{Next: 5, Digest: 9, Complete: true, Sent: at(510), Received: at(600)}, OtherHistory},
		{"from the begin", Proof{Next: 4}, Read{Next: 4, Digest: 7, Complete: true, Snapshot: true, Sent: at(510), Received: at(600)}, NoProof},
	} {
		t.Run(test.name, func(t *testing.T) {
			var k Knowledge
			k.RecordRead(Read{Next: 5, Digest: 9, Complete: true, Sent: at(100), Received: at(200)})
			require.Equal(t, Contradicted, k.Apply(at(510), at(500), test.proof))
			k.RecordRead(test.read)
			require.Equal(t, test.want, k.ReadReason(at(600), false))
		})
	}
}

// Guards against a lost poller that delays proofs for longer than AnswerTimeout, against more
// requests than one in AskInterval while they are answered, and against responses to unknown
// or old requests.
func TestAskerTakesTurns(t *testing.T) {
	now := time.Unix(1000, 0)
	a := NewAsker(1 << 40)
	_, ok := a.Due(now)
	require.False(t, ok, "nobody is known")
	a.SetPollers(Pollers{Responders: []string{"a", "b", "c"}})
	first, ok := a.Due(now)
	require.True(t, ok)
	_, ok = a.Due(now.Add(AnswerTimeout - 1))
	require.False(t, ok)
	second, ok := a.Due(now.Add(AnswerTimeout))
	require.True(t, ok)
	require.NotEqual(t, first.To, second.To)
	asked, ok := a.Resolve(first.Number)
	require.True(t, ok)
	require.Equal(t, now, asked)
	_, ok = a.Resolve(second.Number)
	require.True(t, ok)
	_, ok = a.Due(now.Add(AskInterval))
	require.False(t, ok)
	third, ok := a.Due(now.Add(AnswerTimeout + AskInterval))
	require.True(t, ok)
	require.Len(t, map[string]bool{first.To: true, second.To: true, third.To: true}, 3)
	_, ok = a.Resolve(third.Number + 1)
	require.False(t, ok)
	_, ok = a.Due(now.Add(AnswerTimeout + AskInterval + 2*MaxProofAge))
	require.True(t, ok)
	_, ok = a.Resolve(third.Number)
	require.False(t, ok, "it is too old")
}

// Guards against a digest that depends on the way in which the records were read.
func TestDigest(t *testing.T) {
	var followed, snapshot Digest
	followed.Set("a", []byte("1"))
	followed.Set("b", []byte("2"))
	followed.Set("c", []byte("3"))
	followed.Set("a", []byte("4"))
	followed.Set("b", nil)
	followed.Set("d", nil)
	snapshot.Set("c", []byte("3"))
	snapshot.Set("a", []byte("4"))
	require.Equal(t, snapshot.Sum(), followed.Sum())
	snapshot.Set("a", []byte("3"))
	require.NotEqual(t, snapshot.Sum(), followed.Sum())
	var swapped Digest
	swapped.Set("c", []byte("4"))
	swapped.Set("a", []byte("3"))
	require.NotEqual(t, swapped.Sum(), followed.Sum())
	require.Zero(t, new(Digest).Sum())
}

// Guards against gateways that poll although others do, against knowledge that is older than
// without proofs, and against new records of which the others learn late.
func TestQuietDeployment(t *testing.T) {
	const settle, quiet = 2 * time.Second, 10 * time.Second
	for _, gateways := range []int{10, 35, 330} {
		m := newModel(t, 1, gateways)
		m.faults, m.noticed = false, true
		for n := range m.gateways {
			m.chooseLive(n)
		}
		m.run(settle)
		clear(m.reads)
		clear(m.asked)
		for m.now < settle+quiet {
			m.run(m.now + 20*time.Millisecond)
			for _, g := range m.gateways {
				current, _ := g.knowledge.CurrentAt()
				require.LessOrEqual(t, m.now-g.real(current), MaxProofAge)
			}
		}
		reads, most := 0, 0
		for reason, n := range m.reads {
			require.Equal(t, Poll, reason)
			reads += n
		}
		for _, n := range m.asked {
			most = max(most, n)
		}
		perSecond := float64(most) / quiet.Seconds()
		t.Logf("%d gateways: %.1f reads/s of the store, %.1f requests/s to the busiest poller", gateways, float64(reads)/quiet.Seconds(), perSecond)
		require.LessOrEqual(t, perSecond, float64(gatewaysPerPoller)/AskInterval.Seconds())

		m.records.Set("0", []byte("new"))
		state := m.past[len(m.past)-1]
		state.next++
		m.record(state)
		m.run(m.now + modelPoll + AskInterval + 3*modelTick)
		for _, g := range m.gateways {
			require.Equal(t, state.next, g.knowledge.next)
		}
	}
}
