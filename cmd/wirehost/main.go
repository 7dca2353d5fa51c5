// Command wirehost runs the balancing logic for the bench. It reads batches of events from standard
// input and writes the replies to standard output, until the input ends.
package main

import (
	"fmt"
	"os"

	"oxbowloft/internal/host"
)

func main() {
	if err := host.Run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "wirehost:", err)
		os.Exit(1)
	}
}
