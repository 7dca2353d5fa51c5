package agree

import (
	"bytes"
	"testing"
)

// The longest entry and the longest answer go in a frame with all that goes with them.
func TestLargestEntryFitsFrame(t *testing.T) {
	const most = 1<<64 - 1
	long := bytes.Repeat([]byte("x"), MaxEntry)
	sent := request{Kind: requestPropose, ID: most, Session: most, Seq: most, Confirmed: most, From: most, Timeout: 1 << 62, Body: long}
	var got request
	if err := readFrame(bytes.NewReader(frame(t, &sent)), &got, func() {}); err != nil || !bytes.Equal(got.Body, long) {
		t.Errorf("a request: %d bytes, %v", len(got.Body), err)
	}
	answer := reply{ID: most, Index: most, Body: long, RetryAfter: 1 << 62}
	var back reply
	if err := readFrame(bytes.NewReader(frame(t, &answer)), &back, func() {}); err != nil || !bytes.Equal(back.Body, long) {
		t.Errorf("a reply: %d bytes, %v", len(back.Body), err)
	}
}

// What names over a thousand backends, 64 bytes each, may be agreed on.
func TestLargeEntryIsCommitted(t *testing.T) {
	const backends, idBytes = 1100, 64 + 2
	c := newCluster(t, 3, newRegister, nil).start()
	v := c.leader().voter
	ctx := testContext(t)
	session, err := v.openSession(ctx)
	if err != nil {
		t.Fatal(err)
	}
	// The register refuses it as no entry of its own: agreed on it is all the same.
	entry := make([]byte, backends*idBytes)
	if _, _, err := v.propose(ctx, sessionEntry{Session: session, Seq: 1, Data: entry}); err != nil {
		t.Errorf("an entry of %d bytes: %v", len(entry), err)
	}
}
