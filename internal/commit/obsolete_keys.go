package commit

import (
	"slices"

	"tamarindlead/internal/budget"
	"tamarindlead/internal/inventory"
	"tamarindlead/internal/kv"
	"tamarindlead/internal/record"
	"tamarindlead/micros"
)

// obsoleteKeyMaxWait is the longest time for which other writes delay the deletion of obsolete keys.
// After that, one key is deleted together with other writes each time this period has passed.
const obsoleteKeyMaxWait = 5 * micros.Second

// DeleteLater schedules the deletion of keys that are no longer read. They are deleted when the
// write budget allows it.
func (p *Pipeline) DeleteLater(keys ...string) { p.obsoleteKeys = append(p.obsoleteKeys, keys...) }

// IsObsolete reports whether a key is scheduled for deletion.
func (p *Pipeline) IsObsolete(key string) bool {
	emptied := func(b *inventory.Block) bool {
		return b.Dirty && len(b.Machines) == 0 && record.BlockKey(b.Name) == key
	}
	return slices.Contains(p.obsoleteKeys, key) || slices.ContainsFunc(p.blocks, emptied)
}

// addOverdueDeletion adds the deletion of an obsolete key if other writes have delayed it for
// obsoleteKeyMaxWait.
func (p *Pipeline) addOverdueDeletion(t *Transaction, full func() bool) {
	p.dropEmptySegments()
	now := p.host.Now()
	if len(p.obsoleteKeys) == 0 {
		p.obsoleteKeyDeletedAt = now
		return
	}
	if now-p.obsoleteKeyDeletedAt < obsoleteKeyMaxWait || full() {
		return
	}
	p.obsoleteKeyDeletedAt = now
	key := p.obsoleteKeys[0]
	t.Delete(key)
	t.OnResult(func(committed bool, _ uint64) {
		if committed {
			p.obsoleteKeys = slices.DeleteFunc(p.obsoleteKeys, func(k string) bool { return k == key })
		}
	})
}

// deleteObsoleteKeys deletes obsolete keys in a separate transaction if the write budget allows it.
func (p *Pipeline) deleteObsoleteKeys() {
	p.dropEmptySegments()
	n := min(p.budget.AvailableWrites(budget.Cleanup, p.host.Now()), p.settings.MaxTransactionOps, len(p.obsoleteKeys))
	if n < 1 {
		return
	}
	var writes []kv.Write
	for _, key := range p.obsoleteKeys[:n] {
		writes = append(writes, kv.Write{Delete: key})
	}
	p.inFlight = true
	p.store.Do(budget.Cleanup, kv.Transaction(p.Preconditions(nil), writes), func(r kv.Result) {
		if p.host.Superseded() {
			return
		}
		p.inFlight = false
		p.nextFlush = p.host.Now() + flushInterval
		if r.Outcome == kv.OK {
			p.obsoleteKeys = p.obsoleteKeys[n:]
		}
	})
}

// dropEmptySegments removes segments without chunks. Their keys are never used again, so their
// deletion is not urgent.
func (p *Pipeline) dropEmptySegments() {
	p.segments = slices.DeleteFunc(p.segments, func(s *inventory.CompletionSegment) bool {
		if !s.IsRemovable() {
			return false
		}
		p.DeleteLater(s.Key())
		return true
	})
}
