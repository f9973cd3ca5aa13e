package shelfshelf

// Processor is what runs the goroutines of a process.
type Processor interface {
	// Yield returns once other goroutines that are ready to run have had their turn.
	Yield()
}
