// Command 6 shows a request that crashes each replica that begins to write its answer and is
// never refused, because the replicas write three events before.
package main

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/filbertmux/filbertmux/review/kit2"
)

const (
	gateways = 4
	replicas = 10
	// contact is a bound of the deployment.
	contact = 3 * time.Second
	// crashAfter is the number of events that a replica writes before it crashes, and
	// backAfter the time until it is back.
	crashAfter = 3
	backAfter  = 3 * time.Second
	// crashPerSecond and soundPerSecond are the rates of the request that crashes replicas
	// and of sound ones, at all gateways together.
	crashPerSecond = 2.0
	soundPerSecond = 40.0
	duration       = 30 * time.Second
	// allowed is the number of retries that may reach replicas later than contact after the
	// third crash.
	allowed = 3
	// poison is what crashes replicas.
	poison = "draft that crashes replicas"
)

// outcomes counts the answers to sound requests.
type outcomes struct {
	c      *kit2.Case
	kind   string
	mu     sync.Mutex
	counts map[string]int
}

func main() { kit2.Run("review/6", body) }

func body(c *kit2.Case) (int, error) {
	c.Store.PutJSON("keyed.op", "config", kit2.ModelConfig(7))
	crashText := poison
	if !c.Trouble {
		crashText = ""
	}
	models := c.NewModels(crashText, crashAfter, backAfter)
	for range replicas {
		if err := models.Start(); err != nil {
			return 0, err
		}
	}
	var list []*kit2.Gateway
	for i := range gateways {
		g, err := c.StartGateway(fmt.Sprintf("edge-%d", i), c.Store.Address())
		if err != nil {
			return 0, err
		}
		list = append(list, g)
	}
	sound := &outcomes{c: c, kind: "sound", counts: make(map[string]int)}
	crashing := &outcomes{c: c, kind: "crashing", counts: make(map[string]int)}
	go every(soundPerSecond, func() { sound.send(list, fmt.Sprintf("draft %x", rand.Uint64())) })
	time.Sleep(5 * time.Second)
	sound.log(c, "sound requests before")
	c.Logf("from now on the same request comes again and again")
	go every(crashPerSecond, func() { crashing.send(list, poison) })
	time.Sleep(duration)
	sound.log(c, "sound requests")
	crashing.log(c, "requests that come again")
	for _, g := range list {
		c.CopyLog(g.Name, "refused from now on")
	}
	models.RecordArrivals()
	return check(c, models), nil
}

// every calls f at random times, perSecond times in a second on average.
func every(perSecond float64, f func()) {
	for {
		time.Sleep(time.Duration(rand.ExpFloat64() / perSecond * float64(time.Second)))
		go f()
	}
}

// check counts the arrivals of the request later than contact after the third crash.
func check(c *kit2.Case, models *kit2.Models) int {
	crashes := models.Crashes()
	c.Logf("%d crashes", len(crashes))
	if len(crashes) < 3 {
		return kit2.Held
	}
	late := 0
	for _, a := range models.Arrivals() {
		if a.Kind != "crash" || a.At.Sub(crashes[2]) <= contact {
			continue
		}
		late++
		if late <= 5 {
			c.LogAt(a.At, "request %s reached a replica %.3f s after the third crash", a.ID, a.At.Sub(crashes[2]).Seconds())
		}
	}
	c.Logf("%d arrivals later than %s after the third crash; allowed are %d", late, contact, allowed)
	if late > allowed {
		return kit2.Broken
	}
	return kit2.Held
}

// send sends a request on a new channel to any gateway and reads the stream.
func (o *outcomes) send(list []*kit2.Gateway, prompt string) {
	at, id, g := time.Now(), fmt.Sprintf("%016x", rand.Uint64()), list[rand.IntN(len(list))]
	outcome := request(g, id, prompt)
	o.c.Record(at, "sent: %s %s to %s, answered after %.3f s: %s", o.kind, id, g.Name, time.Since(at).Seconds(), outcome)
	o.mu.Lock()
	defer o.mu.Unlock()
	o.counts[outcome]++
}

func (o *outcomes) log(c *kit2.Case, what string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	c.Logf("%s: %v", what, o.counts)
}

func request(g *kit2.Gateway, id, prompt string) string {
	client := http.Client{Timeout: 9 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	req, err := http.NewRequest(http.MethodPost, "http://"+g.Address+kit2.DraftPath+"letter", strings.NewReader(prompt))
	if err != nil {
		return err.Error()
	}
	own := "7d0c51aa"
	if prompt != poison {
		own = fmt.Sprintf("%08x", rand.Uint32())
	}
	req.Host = kit2.Host
	req.Header.Set("X-Attempt-Id", id)
	req.Header.Set("X-Deadline-Ms", "8000")
	req.Header.Set("X-Key", kit2.Key)
	req.Header.Set("X-Model-Id", "m")
	req.Header.Set("X-Token-Usage", "400,60")
	req.Header.Set("X-Prefix-Hash", fmt.Sprintf("%08x:40,%s:360", 0x5c1e0000+rand.IntN(6), own))
	if prompt == poison {
		req.Header.Set("X-Prefix-Hash", "5c1e0000:40,"+own+":360")
	}
	resp, err := client.Do(req)
	if err != nil {
		return "no answer"
	}
	defer func() { _ = resp.Body.Close() }()
	events := 0
	for lines := bufio.NewScanner(resp.Body); lines.Scan(); {
		if strings.HasPrefix(lines.Text(), "id:") {
			events++
		}
	}
	if resp.StatusCode == http.StatusOK && events < kit2.DraftEvents {
		return "broken off after its first event"
	}
	return fmt.Sprintf("status %d", resp.StatusCode)
}
