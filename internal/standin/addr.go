package standin

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"
	"testing"
)

// portCounter counts the ports that FreeAddr has tried.
var portCounter atomic.Int64

// FreeAddr returns a loopback address that it hands out only once. The host part is derived
// from the process ID, so that test processes don't collide, and the port lies below the
// range of ephemeral ports.
func FreeAddr(t testing.TB) string {
	t.Helper()
	pid := os.Getpid()
	host := fmt.Sprintf("127.%d.%d.9", 1+pid%250, 1+pid/250%250)
	for range 100 {
		addr := fmt.Sprintf("%s:%d", host, 20000+portCounter.Add(1)%10000)
		if ln, err := net.Listen("tcp", addr); err == nil {
			ln.Close()
			return addr
		}
	}
	t.Fatal("no free address")
	return ""
}
