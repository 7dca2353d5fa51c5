// Command backend is a backend to try the balancer with: it answers every
// request with what it got.
package main

import (
	"fmt"
	"io"
	"log"
	"net/http"
	"os"
)

func main() {
	addr := "127.0.0.1:9001"
	if len(os.Args) > 1 {
		addr = os.Args[1]
	}
	log.Fatal(http.ListenAndServe(addr, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		fmt.Fprintf(w, "%s got %s %s %s\n", addr, r.Method, r.RequestURI, body)
	})))
}
