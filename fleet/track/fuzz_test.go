package track

import (
	"testing"
	"time"
)

// FuzzReceive passes arbitrary messages from a reachable member to a table. The table must
// not panic and must stay within its limits on message size and entries.
func FuzzReceive(f *testing.F) {
	fl := newFleet(1, 3, 1, nil, nil)
	var captured [][]byte
	fl.intercept = func(_, _ *node, msg []byte) []byte {
		captured = append(captured, msg)
		return msg
	}
	fl.traffic(50*ms, 10, 20*time.Second)
	fl.loss = 0.2
	fl.run(3 * time.Second)
	fl.restart(fl.nodes[1])
	fl.run(20 * time.Second)
	kinds := map[byte]int{}
	for _, msg := range captured {
		if len(msg) > headerSize && kinds[msg[headerSize]] < 4 {
			kinds[msg[headerSize]]++
			f.Add(msg[headerSize:])
		}
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		fl := newFleet(1, 3, 1, func(s *Settings) { s.MaxEntries = 64 }, nil)
		fl.reliable = true
		fl.traffic(50*ms, 10, 2*time.Second)
		fl.run(2 * time.Second)
		receiver, sender := fl.nodes[0], fl.nodes[1]
		p := receiver.table.byNameHash[hashName(sender.name)]
		h := header{flags: flagEcho, senderHash: p.nameHash, senderIncarnation: p.Incarnation,
			receiverIncarnation: receiver.table.incarnation, epoch: receiver.table.epoch,
			timestamp: p.lastStamp + 1, echoedTimestamp: uint64(receiver.table.now)}
		receiver.table.Receive(receiver.table.now, sender.name, append(appendHeader(nil, &h), body...))
		for range 40 {
			receiver.table.Tick(receiver.table.now + 100*ms)
			outs, _ := receiver.table.Output()
			for _, o := range outs {
				if len(o.Payload) > MaxMessage {
					t.Fatalf("sent a message of %d bytes, over MaxMessage", len(o.Payload))
				}
			}
		}
		if s := receiver.table.Stats(); s.Entries > 64 || s.Entries+s.Tombstones > 128 {
			t.Fatalf("holds %d entries, %d tombstones", s.Entries, s.Tombstones)
		}
	})
}
