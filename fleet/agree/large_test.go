package agree

import (
	"bytes"
	"testing"
)

// The largest entry and the largest answer fit into a frame with all other fields at
// their maximum.
func TestLargestEntryFitsFrame(t *testing.T) {
	const most = 1<<64 - 1
	long := bytes.Repeat([]byte("x"), MaxEntry)
	sent := request{Kind: requestPropose, ID: most, Session: most, Seq: most, Confirmed: most, From: most, Timeout: 1 << 62, Body: long}
	var got request
	if err := readFrame(bytes.NewReader(mustEncodeFrame(t, &sent)), &got, func() {}); err != nil || !bytes.Equal(got.Body, long) {
		t.Errorf("request: body of %d bytes, error %v", len(got.Body), err)
	}
	answer := reply{ID: most, Index: most, Body: long, RetryAfter: 1 << 62}
	var back reply
	if err := readFrame(bytes.NewReader(mustEncodeFrame(t, &answer)), &back, func() {}); err != nil || !bytes.Equal(back.Body, long) {
		t.Errorf("reply: body of %d bytes, error %v", len(back.Body), err)
	}
}

// An entry that names over a thousand backends, with IDs of 64 bytes, can be committed.
func TestLargeEntryIsCommitted(t *testing.T) {
	const backends, idBytes = 1100, 64 + 2
	c := newCluster(t, 3, newRegister, nil).start()
	v := c.leader().voter
	ctx := testContext(t)
	session, err := v.openSession(ctx)
	if err != nil {
		t.Fatal(err)
	}
	// The register machine ignores the entry as malformed; it is committed nevertheless.
	entry := make([]byte, backends*idBytes)
	if _, _, err := v.propose(ctx, sessionEntry{Session: session, Seq: 1, Data: entry}); err != nil {
		t.Errorf("entry of %d bytes: %v", len(entry), err)
	}
}
