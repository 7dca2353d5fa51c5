//go:build review

// The driver of case 6: a ban is lost to the new process. See claim.txt.
package main

import "oxbowloft/review/lab2"

func main() { lab2.Main("bans") }
