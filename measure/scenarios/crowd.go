package scenarios

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"

	"github.com/filbertmux/filbertmux/examples"
	"github.com/filbertmux/filbertmux/measure/standin"
	"github.com/filbertmux/filbertmux/measure/untrusted"
)

const (
	// crowdClients is the number of clients of a crowd. The half that comes to each entry
	// is more than an entry may have sockets, and their bodies together are larger than the
	// memory for requests.
	crowdClients = 440
	// maxBodyBytes is the largest body that an entry accepts.
	maxBodyBytes = 3 << 20
	dialTimeout  = time.Second
	// stalledTokens and stalledReadBytes are the length of an answer whose reader stops,
	// and what it reads before.
	stalledTokens    = 1500
	stalledReadBytes = 4 << 10
)

// crowd is a number of clients outside the operators' control. Each holds its connection
// open until the crowd leaves. It is safe for concurrent use.
type crowd struct {
	sent  atomic.Int64
	mu    sync.Mutex
	conns []net.Conn
	left  bool
}

// add keeps a connection open until the crowd leaves, and reports whether it may be used.
func (c *crowd) add(conn net.Conn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.left {
		_ = conn.Close()
		return false
	}
	c.conns = append(c.conns, conn)
	return true
}

func (c *crowd) leave() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.left = true
	for _, conn := range c.conns {
		_ = conn.Close()
	}
}

// crowdUploads are bodies up to the limit, of which most stop short of their end, and
// beyond it.
var crowdUploads = []untrusted.Upload{
	{Declared: maxBodyBytes, Chunk: maxBodyBytes, Size: maxBodyBytes},
	{Declared: maxBodyBytes, Chunk: untrusted.LargeChunk, Size: maxBodyBytes - 1},
	{Declared: -1, Chunk: untrusted.LargeChunk, Size: maxBodyBytes},
	{Declared: -1, Chunk: untrusted.SmallChunk, Size: maxBodyBytes / 12},
	{Declared: 1 << 30, Chunk: untrusted.LargeChunk, Size: 2 * maxBodyBytes},
	{Declared: -1, Chunk: untrusted.LargeChunk, Size: 8 * maxBodyBytes, Complete: true},
}

// changeCrowd starts a crowd, or lets the present one leave.
func (r *randomRun) changeCrowd() string {
	if r.endCrowd() {
		return "crowd leaves"
	}
	c := &crowd{}
	r.crowd = c
	seed := r.rng.Uint64()
	for n := range crowdClients {
		rng := rand.New(rand.NewPCG(seed, uint64(n)))
		address := r.addressOf(entries[rng.IntN(len(entries))])
		go func() {
			conn, err := net.DialTimeout("tcp4", address, dialTimeout)
			if err == nil && c.add(conn) {
				c.misuse(conn, rng)
			}
		}()
	}
	return fmt.Sprintf("crowd of %d clients", crowdClients)
}

// endCrowd reports whether there was a crowd.
func (r *randomRun) endCrowd() bool {
	if r.crowd == nil {
		return false
	}
	r.crowd.leave()
	r.crowd = nil
	return true
}

// misuse is what one client does on its connection.
func (c *crowd) misuse(conn net.Conn, rng *rand.Rand) {
	kind := rng.IntN(2 * (len(crowdUploads) + 1))
	head := crowdHead("/order-book/orders", rng)
	switch {
	case kind < len(crowdUploads):
		u := crowdUploads[kind]
		u.Send(conn, head+u.Framing()+"\r\n\r\n", &c.sent)
	case kind == len(crowdUploads):
		c.stopReading(conn, rng)
	default:
		_, _ = io.WriteString(conn, head) // the head never ends
	}
}

// crowdHead returns the beginning of a request. One in three has no known key.
func crowdHead(path string, rng *rand.Rand) string {
	key := "unknown"
	if rng.IntN(3) > 0 {
		key = examples.DevKey([]string{"reports", callerOrganisation}[rng.IntN(2)])
	}
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: entry\r\nAuthorization: Bearer %s\r\nIdempotency-Key: %s\r\n",
		http.MethodPost, path, key, uuid.Must(uuid.NewV7()))
}

// stopReading asks for a long answer and reads only the beginning.
func (*crowd) stopReading(conn net.Conn, rng *rand.Rand) {
	body, err := json.Marshal(standin.ChatRequest{
		Model: "text-desk", Stream: true, MaxTokens: stalledTokens,
		Messages: []standin.ChatMessage{{Role: "user", Content: strings.Repeat("x", slowReaderWordBytes)}},
	})
	if err != nil {
		return
	}
	_, err = fmt.Fprintf(conn, "%sContent-Length: %d\r\n\r\n%s", crowdHead("/v1/chat/completions", rng), len(body), body)
	if err == nil {
		_, _ = io.ReadFull(conn, make([]byte, stalledReadBytes))
	}
}
