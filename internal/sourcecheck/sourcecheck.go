// Package sourcecheck has tests that check the project's own source for rules that the
// compiler can't enforce. It has no code of its own.
package sourcecheck
