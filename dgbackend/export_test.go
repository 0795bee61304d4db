package dgbackend

// ReserveResponseMemory reserves memory for response bodies, as long responses do. It
// returns a function that releases it.
func ReserveResponseMemory(f *Forwarder, bytes int64) (release func()) {
	f.memory.reserve(bytes)
	return func() { f.memory.release(bytes) }
}
