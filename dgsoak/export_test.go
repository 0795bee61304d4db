package dgsoak

// Exports for tests.
var (
	Content  = content
	Merge    = merge
	StampFor = stamp
)
