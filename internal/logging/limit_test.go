package logging

import (
	"testing"
	"time"
)

func TestLimit(t *testing.T) {
	l := Limit{Every: time.Hour}
	if left, ok := l.Allow(); !ok || left != 0 {
		t.Fatalf("first line: %d left out, allowed %t", left, ok)
	}
	for range 3 {
		if _, ok := l.Allow(); ok {
			t.Fatal("a second line within the span")
		}
	}
	l.Every = 0
	if left, ok := l.Allow(); !ok || left != 3 {
		t.Fatalf("after the span: %d left out, allowed %t; want 3", left, ok)
	}
}
