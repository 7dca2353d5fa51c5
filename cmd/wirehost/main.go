// Command wirehost runs the decision module on the bench's wire: batches of
// events on standard input, replies on standard output, until input ends.
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
