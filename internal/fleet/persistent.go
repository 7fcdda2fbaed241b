package fleet

import "github.com/cespare/xxhash/v2"

const (
	pageBuckets = 64
	// bucketFill is the average number of keys per bucket above which the map doubles its pages. It is small because a
	// lookup compares the hashes of a whole bucket.
	bucketFill = 6
)

// PersistentMap is an immutable hash map. Edit copies only the changed buckets and their pages, so that changing one of
// 44,000 keys does not copy the others. The zero value is an empty map.
type PersistentMap[K ~string, V any] struct {
	pages []*page[K, V]
	size  int
}

type page[K ~string, V any] [pageBuckets][]slot[K, V]

type slot[K ~string, V any] struct {
	hash  uint64
	key   K
	value V
}

// Len returns the number of keys.
func (m PersistentMap[K, V]) Len() int { return m.size }

// Get returns a pointer to the value of key, which the caller must not change; nil if there is none.
func (m PersistentMap[K, V]) Get(key K) *V {
	if len(m.pages) == 0 {
		return nil
	}
	hash := xxhash.Sum64String(string(key))
	bucket := m.pages[pageOf(hash, len(m.pages))][hash%pageBuckets]
	for i := range bucket {
		if bucket[i].hash == hash && bucket[i].key == key {
			return &bucket[i].value
		}
	}
	return nil
}

// All iterates over the keys and values in no particular order.
func (m PersistentMap[K, V]) All() func(yield func(K, *V) bool) {
	return func(yield func(K, *V) bool) {
		for _, p := range m.pages {
			for _, bucket := range p {
				for i := range bucket {
					if !yield(bucket[i].key, &bucket[i].value) {
						return
					}
				}
			}
		}
	}
}

// Edit starts a set of changes to a copy; m itself stays as it is.
func (m PersistentMap[K, V]) Edit() *MapEdit[K, V] {
	return &MapEdit[K, V]{from: m}
}

// pageOf returns the index of the page that holds a hash; the number of pages is a power of two.
func pageOf(hash uint64, pages int) int {
	return int(hash/pageBuckets) & (pages - 1)
}

// MapEdit collects changes to a PersistentMap. It is not safe for concurrent use.
type MapEdit[K ~string, V any] struct {
	from    PersistentMap[K, V]
	started bool
	// owned marks the buckets that this edit has copied and may change in place.
	owned map[*page[K, V]]*[pageBuckets]bool
}

// start copies the list of pages before the first change.
func (e *MapEdit[K, V]) start() {
	if e.started {
		return
	}
	e.started = true
	e.owned = make(map[*page[K, V]]*[pageBuckets]bool)
	pages := make([]*page[K, V], max(1, len(e.from.pages)))
	copy(pages, e.from.pages)
	if pages[0] == nil {
		pages[0] = new(page[K, V])
	}
	e.from.pages = pages
}

// ownBucket returns the bucket of hash, and copies it and its page first unless this edit has done so.
func (e *MapEdit[K, V]) ownBucket(hash uint64) *[]slot[K, V] {
	e.start()
	index := pageOf(hash, len(e.from.pages))
	p := e.from.pages[index]
	buckets, ok := e.owned[p]
	if !ok {
		copied := *p
		p = &copied
		e.from.pages[index] = p
		buckets = new([pageBuckets]bool)
		e.owned[p] = buckets
	}
	bucket := &p[hash%pageBuckets]
	if !buckets[hash%pageBuckets] {
		*bucket = append(make([]slot[K, V], 0, len(*bucket)+1), *bucket...)
		buckets[hash%pageBuckets] = true
	}
	return bucket
}

// Get returns the value of key including the changes so far; nil if there is none.
func (e *MapEdit[K, V]) Get(key K) *V { return e.from.Get(key) }

// Set adds or replaces the value of key.
func (e *MapEdit[K, V]) Set(key K, value V) {
	hash := xxhash.Sum64String(string(key))
	bucket := e.ownBucket(hash)
	for i := range *bucket {
		if (*bucket)[i].hash == hash && (*bucket)[i].key == key {
			(*bucket)[i].value = value
			return
		}
	}
	*bucket = append(*bucket, slot[K, V]{hash: hash, key: key, value: value})
	e.from.size++
	if e.from.size > len(e.from.pages)*pageBuckets*bucketFill {
		e.grow()
	}
}

// Delete removes key if the map contains it.
func (e *MapEdit[K, V]) Delete(key K) {
	if e.from.Get(key) == nil {
		return
	}
	hash := xxhash.Sum64String(string(key))
	bucket := e.ownBucket(hash)
	for i := range *bucket {
		if (*bucket)[i].hash == hash && (*bucket)[i].key == key {
			last := len(*bucket) - 1
			(*bucket)[i] = (*bucket)[last]
			(*bucket)[last] = slot[K, V]{}
			*bucket = (*bucket)[:last]
			e.from.size--
			return
		}
	}
}

// grow doubles the number of pages and distributes the keys over them.
func (e *MapEdit[K, V]) grow() {
	old := e.from.pages
	e.from.pages = make([]*page[K, V], 2*len(old))
	e.owned = make(map[*page[K, V]]*[pageBuckets]bool)
	for i := range e.from.pages {
		p := new(page[K, V])
		e.from.pages[i] = p
		owned := new([pageBuckets]bool)
		for j := range owned {
			owned[j] = true
		}
		e.owned[p] = owned
	}
	for _, p := range old {
		for b, bucket := range p {
			for _, s := range bucket {
				target := e.from.pages[pageOf(s.hash, len(e.from.pages))]
				target[b] = append(target[b], s)
			}
		}
	}
}

// Map returns the changed map and ends the edit.
func (e *MapEdit[K, V]) Map() PersistentMap[K, V] {
	e.owned = nil
	e.started = false
	return e.from
}
