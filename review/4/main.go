//go:build review

// The driver of case 4: the id of an open request is accepted again. See claim.txt.
package main

import "oxbowloft/review/lab2"

func main() { lab2.Main("open-ids") }
