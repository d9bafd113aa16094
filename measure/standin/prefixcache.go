package standin

import (
	"container/list"
	"sync"

	"github.com/zeebo/xxh3"
)

// prefixBlockBytes is the granularity of the prefix cache.
const prefixBlockBytes = 64

// CacheEvent tells that a prompt prefix entered or left the cache.
type CacheEvent struct {
	Sequence uint64 `json:"sequence"`
	Prefix   uint64 `json:"prefix"`
	Evicted  bool   `json:"evicted"`
}

// prefixCache is a least-recently-used cache of prompt prefixes. Its events
// reach readers late by eventLag events, and each dropEvery-th is lost.
type prefixCache struct {
	mu        sync.Mutex
	capacity  int
	eventLag  int
	dropEvery int
	order     *list.List
	blocks    map[uint64]*list.Element
	sequence  uint64
	events    []CacheEvent
}

func newPrefixCache(cfg EngineConfig) *prefixCache {
	return &prefixCache{
		capacity:  cfg.PrefixCacheBlocks,
		eventLag:  cfg.CacheEventLag,
		dropEvery: cfg.DropEveryNthCacheEvent,
		order:     list.New(),
		blocks:    make(map[uint64]*list.Element),
	}
}

// lookup returns how many leading bytes of the prompt were cached and caches
// all of its whole blocks.
func (c *prefixCache) lookup(prompt string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	cached := 0
	hitting := true
	for end := prefixBlockBytes; end <= len(prompt); end += prefixBlockBytes {
		prefix := xxh3.HashString(prompt[:end])
		element, found := c.blocks[prefix]
		hitting = hitting && found
		if hitting {
			cached = end
		}
		if found {
			c.order.MoveToFront(element)
			continue
		}
		c.insert(prefix)
	}
	return cached
}

func (c *prefixCache) insert(prefix uint64) {
	if c.capacity <= 0 {
		return
	}
	if len(c.blocks) >= c.capacity {
		c.evictOldest()
	}
	c.blocks[prefix] = c.order.PushFront(prefix)
	c.publish(prefix, false)
}

func (c *prefixCache) evictOldest() {
	oldest := c.order.Back()
	prefix, ok := c.order.Remove(oldest).(uint64)
	if !ok {
		return
	}
	delete(c.blocks, prefix)
	c.publish(prefix, true)
}

func (c *prefixCache) publish(prefix uint64, evicted bool) {
	c.sequence++
	if c.dropEvery > 0 && c.sequence%uint64(c.dropEvery) == 0 {
		return
	}
	c.events = append(c.events, CacheEvent{Sequence: c.sequence, Prefix: prefix, Evicted: evicted})
}

// since returns the visible events after a sequence number.
func (c *prefixCache) since(after uint64) []CacheEvent {
	c.mu.Lock()
	defer c.mu.Unlock()
	visible := max(0, len(c.events)-c.eventLag)
	out := []CacheEvent{}
	for _, event := range c.events[:visible] {
		if event.Sequence > after {
			out = append(out, event)
		}
	}
	return out
}
