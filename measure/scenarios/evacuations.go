package scenarios

import (
	"encoding/csv"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/filbertmux/filbertmux/measure/standin"
)

// failureDomains are those of the backend servers, by backend server.
var failureDomains = map[string]string{
	"plain1": "sibiu-a", "plain2": "sibiu-b", "plain3": "medias", "engine1": "sibiu-a", "engine2": "sibiu-b",
}

// domains are the failure domains that operators evacuate.
var domains = []string{"sibiu-a", "sibiu-b", "medias"}

// receivedInterval is the time between two reads of the calls that a backend server got.
const receivedInterval = 100 * time.Millisecond

// offices are the offices whose operators evacuate failure domains.
var offices = []string{"sibiu", "kandy"}

// evacuationRow is a row of the table.
type evacuationRow struct {
	office  string
	version uint64
}

// evacuation is one evacuation of a failure domain.
type evacuation struct {
	domain string
	offset uint64 // of the change set that began it, which is the version of its row
	// ended is when an operator first tried to take it back, or zero. From then on it is
	// not known whether it is in force.
	ended time.Time
}

// evacuationChecker finds calls that reach a backend server in an evacuated failure
// domain although the entry had the evacuation in force before the call was sent to it.
// It doesn't depend on any time. It is safe for concurrent use.
type evacuationChecker struct {
	mu      sync.Mutex
	current map[string]*evacuation // by failure domain
	// barred holds the evacuations that each entry to which a call was sent had in
	// force at that time, by the text of the call.
	barred map[string][]*evacuation
	// received counts the calls that each backend server got.
	received map[string]int
	// checked counts the calls of which at least one failure domain was barred.
	checked int
}

func newEvacuationChecker() *evacuationChecker {
	return &evacuationChecker{
		current: make(map[string]*evacuation), barred: make(map[string][]*evacuation), received: make(map[string]int),
	}
}

// learn notes the evacuations in the table, by failure domain.
func (c *evacuationChecker) learn(rows map[string]evacuationRow) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, domain := range domains {
		row, ok := rows[domain]
		e := c.current[domain]
		switch {
		case !ok:
			delete(c.current, domain)
		case e == nil || e.offset != row.version:
			c.current[domain] = &evacuation{domain: domain, offset: row.version}
		}
	}
}

// ending notes that an operator is about to take an evacuation back.
func (c *evacuationChecker) ending(domain string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if e := c.current[domain]; e != nil && e.ended.IsZero() {
		e.ended = time.Now()
	}
}

// sending notes that a call is about to be sent to an entry that has reported a table
// offset. A call that was sent before, such as a booking that is repeated, may still be
// on its way from the earlier entry, so only what both had in force is barred.
func (c *evacuationChecker) sending(text string, offset uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	earlier, again := c.barred[text]
	var barred []*evacuation
	for _, e := range c.current {
		if e.ended.IsZero() && e.offset <= offset && (!again || slices.Contains(earlier, e)) {
			barred = append(barred, e)
		}
	}
	c.barred[text] = barred
	if len(barred) > 0 {
		c.checked++
	}
}

// arrived checks a call that a backend server got.
func (c *evacuationChecker) arrived(backend string, call standin.ReceivedCall) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.received[backend]++
	for _, e := range c.barred[call.Text] {
		if e.domain == failureDomains[backend] && (e.ended.IsZero() || call.Time.Before(e.ended)) {
			return fmt.Errorf("the call %q reached %s at %s, and its entry had the evacuation of %s (offset %d) in force before it got the call",
				call.Text, backend, call.Time.Format(time.RFC3339Nano), e.domain, e.offset)
		}
	}
	return nil
}

func (c *evacuationChecker) receivedBy(backend string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.received[backend]
}

// watchReceived checks the calls that a backend server gets until it or the run ends.
func (r *randomRun) watchReceived(p *process) {
	for !p.ended() {
		r.readReceived(p)
		select {
		case <-p.done:
		case <-r.stopped:
			return
		case <-time.After(receivedInterval):
		}
	}
}

// readReceived checks the calls that a backend server got since the last time.
func (r *randomRun) readReceived(p *process) {
	p.receivedMu.Lock()
	defer p.receivedMu.Unlock()
	_, body, err := r.get(fmt.Sprintf("http://%s%s?after=%d", p.address, standin.ReceivedPath, p.received))
	var calls []standin.ReceivedCall
	if err != nil || json.Unmarshal([]byte(body), &calls) != nil {
		return // it may have been killed
	}
	for _, call := range calls {
		p.received = call.Number
		if err := r.evacuations.arrived(p.name, call); err != nil {
			r.recordViolation(err.Error())
		}
	}
}

// changeEvacuationsRandomly makes operators evacuate one or two failure domains and take
// them back, until the run stops. Sometimes operators of both offices do so at once.
func (r *randomRun) changeEvacuationsRandomly(rng *rand.Rand, stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(rng.IntN(1500)) * time.Millisecond):
		}
		rows, err := r.exportEvacuations()
		if err != nil {
			r.countEvent("export of evacuations failed")
			continue
		}
		chosen := slices.Clone(domains)
		rng.Shuffle(len(chosen), func(i, j int) { chosen[i], chosen[j] = chosen[j], chosen[i] })
		chosen = chosen[:1+rng.IntN(2)]
		first := rng.IntN(len(offices))
		codes := make([]int, 1+rng.IntN(2))
		var both sync.WaitGroup
		for i := range codes {
			office := offices[(first+i)%len(offices)]
			both.Go(func() { codes[i], _ = r.toggleEvacuations(office, rows, chosen) })
		}
		both.Wait()
		r.countEvent(fmt.Sprintf("evacuation codes %v", codes))
		if _, before := rows[chosen[0]]; !before && len(codes) == 2 && codes[0] == 0 && codes[1] == 0 {
			r.recordViolation("both offices began the evacuation of " + chosen[0])
		}
	}
}

// noExitCode is the result of toggleEvacuations if nothing was published.
const noExitCode = -1

// toggleEvacuations evacuates the failure domains that aren't evacuated by rows, and
// takes back the others, if the office owns them. It returns the exit code and the output.
func (r *randomRun) toggleEvacuations(office string, rows map[string]evacuationRow, chosen []string) (code int, output string) {
	lines := [][]string{{"failure_domain", "office", "version", "delete"}}
	text := ""
	for _, domain := range chosen {
		row, evacuated := rows[domain]
		switch {
		case !evacuated:
			lines = append(lines, []string{domain, office, "", ""})
			text += " evacuate " + domain
		case row.office == office:
			r.evacuations.ending(domain)
			lines = append(lines, []string{domain, office, strconv.FormatUint(row.version, 10), "yes"})
			text += " take back " + domain
		}
	}
	if len(lines) == 1 {
		return noExitCode, ""
	}
	dir, err := r.writeTable("evacuations.csv", lines)
	if err != nil {
		r.recordViolation(err.Error())
		return noExitCode, ""
	}
	r.fault("operator of " + office + ":" + text)
	return r.filbertmux("table", "publish", dir, "--office="+office, r.platformFlag())
}

// writeTable writes one file of a table and returns its directory.
func (r *randomRun) writeTable(name string, lines [][]string) (string, error) {
	dir, err := os.MkdirTemp(r.dir, "table")
	if err != nil {
		return "", err
	}
	file, err := os.Create(filepath.Join(dir, name))
	if err != nil {
		return "", err
	}
	return dir, errors.Join(csv.NewWriter(file).WriteAll(lines), file.Close())
}

// exportEvacuations returns the evacuations in the table by failure domain.
func (r *randomRun) exportEvacuations() (map[string]evacuationRow, error) {
	dir, err := os.MkdirTemp(r.dir, "export")
	if err != nil {
		return nil, err
	}
	if code, out := r.filbertmux("table", "export", dir, r.platformFlag()); code != 0 {
		return nil, fmt.Errorf("table export: exit code %d: %s", code, out)
	}
	rows := make(map[string]evacuationRow)
	file, err := os.Open(filepath.Join(dir, "evacuations.csv"))
	if errors.Is(err, fs.ErrNotExist) {
		r.evacuations.learn(rows)
		return rows, nil
	}
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }()
	lines, err := csv.NewReader(file).ReadAll()
	if err != nil || len(lines) == 0 {
		return nil, fmt.Errorf("exported evacuations: %v: %w", lines, err)
	}
	column := func(name string) int { return slices.Index(lines[0], name) }
	domain, office, version := column("failure_domain"), column("office"), column("version")
	for _, line := range lines[1:] {
		n, err := strconv.ParseUint(line[version], 10, 64)
		if err != nil {
			return nil, err
		}
		rows[line[domain]] = evacuationRow{office: line[office], version: n}
	}
	r.evacuations.learn(rows)
	return rows, nil
}

// toggleNow changes evacuations without faults and waits until the change is in force.
func (r *randomRun) toggleNow(office string, chosen []string) error {
	rows, err := r.exportEvacuations()
	if err != nil {
		return err
	}
	code, out := r.toggleEvacuations(office, rows, chosen)
	m := acceptedLine.FindStringSubmatch(out)
	if code != 0 || m == nil {
		return fmt.Errorf("table publish of evacuations: exit code %d: %s", code, out)
	}
	offset, err := strconv.ParseUint(m[1], 10, 64)
	if err != nil {
		return err
	}
	if err := r.awaitInForce(offset); err != nil {
		return err
	}
	_, err = r.exportEvacuations()
	return err
}

// endEvacuations takes back all evacuations.
func (r *randomRun) endEvacuations() error {
	rows, err := r.exportEvacuations()
	if err != nil || len(rows) == 0 {
		return err
	}
	for domain, row := range rows {
		if err := r.toggleNow(row.office, []string{domain}); err != nil {
			return err
		}
	}
	return nil
}

// checkEvacuations evacuates one or two failure domains without faults, checks that the
// others serve each entry, and that the domains are used again afterwards. Nothing may be
// evacuated before, and other changes of the table have to have ended.
func (r *randomRun) checkEvacuations() error {
	first := r.rng.IntN(len(domains))
	office := offices[r.rng.IntN(len(offices))]
	chosen := []string{domains[first], domains[(first+1)%len(domains)]}[:1+r.rng.IntN(2)]
	if err := r.toggleNow(office, chosen); err != nil {
		return err
	}
	for _, e := range entries {
		if err := r.awaitLookup(e); err != nil {
			return fmt.Errorf("while %v are evacuated: %w", chosen, err)
		}
	}
	r.readAllReceived()
	before := make(map[string]int)
	for backend := range failureDomains {
		before[backend] = r.evacuations.receivedBy(backend)
	}
	if err := r.toggleNow(office, chosen); err != nil {
		return err
	}
	for backend, domain := range failureDomains {
		if !slices.Contains(chosen, domain) {
			continue
		}
		if err := r.awaitUse(backend, before[backend]); err != nil {
			return err
		}
	}
	return nil
}

func (r *randomRun) readAllReceived() {
	for backend := range failureDomains {
		r.readReceived(r.processes[backend])
	}
}

// awaitUse sends calls until a backend server has got more than before.
func (r *randomRun) awaitUse(backend string, before int) error {
	n := 0
	return poll(func() error {
		n++
		for _, e := range entries {
			r.sendLookup(e, fmt.Sprintf("/stock/return-%s-%d-%d", backend, before, n))
			r.sendCompletion(e, fmt.Sprintf("return %s-%d-%d", backend, before, n))
			b := newBooking(fmt.Sprintf("return-%s-%d-%d-%s", backend, before, n, e))
			r.addBooking(b)
			r.sendBooking(e, b)
			r.finishBooking(b)
		}
		r.readReceived(r.processes[backend])
		if r.evacuations.receivedBy(backend) <= before {
			return fmt.Errorf("%s got no call after the evacuation of its failure domain was taken back", backend)
		}
		return nil
	})
}

func (c *evacuationChecker) checkedCalls() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.checked
}
