// Package sourcecheck has tests over the project's own source: what a compiler can't see
// and a reader forgets. It has no code of its own.
package sourcecheck
