package fleet

import "time"

// Times of finding hosts again that were lost or never met.
const (
	// reunionInterval is the time between two tries to reach one of the lost hosts. The
	// rate does not grow with their number.
	reunionInterval = 500 * time.Millisecond
	// firstSurvey is the time after which a host that has just joined or met a lost one
	// asks a peer for all hosts, and longestSurvey the bound up to which the time
	// grows, by surveyGrowth each time. Two hosts of a zone that do not know each
	// other would each relay for a part of it.
	firstSurvey   = 300 * time.Millisecond
	longestSurvey = time.Minute
	surveyGrowth  = 4
)

// reunion looks for hosts that this one has lost or never met.
type reunion struct {
	nextHello time.Time
	// survey is the pause before the next question for all hosts, at nextSurvey.
	survey     time.Duration
	nextSurvey time.Time
}

// begin makes the next question for all hosts come soon.
func (r *reunion) begin(now time.Time) {
	r.survey = firstSurvey
	r.nextSurvey = now.Add(firstSurvey)
}

func (r *reunion) tick(c *Core, now time.Time) {
	if !now.Before(r.nextHello) {
		r.nextHello = now.Add(reunionInterval)
		if p := c.lostPeer(); p != nil {
			c.sayHello(p.Datagrams, true)
		}
	}
	if now.Before(r.nextSurvey) || !c.joined() {
		return
	}
	c.joining.wantPeers = true
	if c.joining.informed {
		r.survey = min(surveyGrowth*r.survey, longestSurvey)
	}
	r.nextSurvey = now.Add(r.survey/2 + time.Duration(c.cfg.Rand.Int64N(int64(r.survey))))
}

// lostPeer returns one of the hosts that are silent, nil if there is none.
func (c *Core) lostPeer() *peerState {
	var lost []*peerState
	for _, hash := range c.known() {
		if p := c.peers[hash]; !p.alive {
			lost = append(lost, p)
		}
	}
	if len(lost) == 0 {
		return nil
	}
	return lost[c.cfg.Rand.IntN(len(lost))]
}

// greeted notes a datagram from the host itself that introduces it. A lost host is
// found again by it.
func (c *Core) greeted(now time.Time, peer Peer) {
	c.introduced(now, peer)
	p := c.peers[NewHash(peer.ID)]
	if p == nil || p.Incarnation != peer.Incarnation {
		return
	}
	if !p.alive {
		p.heard = now
		c.peerAlive(now, p)
		c.reunion.begin(now)
	}
}
