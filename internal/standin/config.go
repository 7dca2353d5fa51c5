package standin

import (
	"fmt"
	"strings"
)

// TargetJSON returns a list entry for a backend that is in service and started long ago, so
// that it is past its slow start.
func TargetJSON(uid, endpoint string) string { return TargetJSONInState("in_service", uid, endpoint) }

// TargetJSONInState returns a list entry with the given state.
func TargetJSONInState(state, uid, endpoint string) string {
	return fmt.Sprintf(`{"uid":%q,"endpoint":%q,"az":"z1","model":"m","pod_group":1,"state":%q,`+
		`"capacity_hint":1.0,"boot_ms":0}`, uid, endpoint, state)
}

// ListJSON returns a list message of revision rev: the whole list if all is set, else only the
// entries that changed.
func ListJSON(rev int, all bool, targets ...string) string {
	return fmt.Sprintf(`{"rev":%d,"all":%t,"targets":[%s]}`, rev, all, strings.Join(targets, ","))
}

// MeshConfig returns Config changed to the configuration of a sidecar proxy: one of 100, each of
// which serves one client process. Its clients mark retries.
func MeshConfig(listen, discovery string, maxSockets int, knownList string) string {
	text := Config(listen, discovery, maxSockets, knownList)
	for _, replacement := range [][2]string{
		{`"zones":["z1","z2"],"balancers":1`, `"zones":["z1"],"kind-of-service":"mesh","balancers":100`},
		{`"limits":{"conn-idle-ms"`, `"clients":{"marks-retry":true},"limits":{"streams-per-conn":100,"may-tell":true,"cancel":true,"conn-idle-ms"`},
		{`"retry-after":true`, `"retry-after":false`},
	} {
		text = strings.Replace(text, replacement[0], replacement[1], 1)
	}
	return text
}

// Config returns a configuration with three request classes: "get" is idempotent, "put" carries
// an idempotency key, which backends deduplicate by, and "pay" must not run twice. The idle
// timeout of connections is longer than any test waits, so that a closed connection was closed
// for another reason.
func Config(listen, discovery string, maxSockets int, knownList string) string {
	return fmt.Sprintf(`{"name":"n1","listen":%q,"discovery":%q,"seed":"8c1f30d27a5be964",
"limits":{"cores":1.0,"memory_mb":192,"sockets":%d},
"known":%s,
"settings":{"az":"z1","zones":["z1","z2"],"balancers":1,"me":0,"stage":0,"discovery":"on_request",
"classes":[
{"name":"get","aim-ms":800,"give-up-ms":2000,"group":"all","idempotency":"free","worth":1},
{"name":"put","aim-ms":800,"give-up-ms":2000,"group":"all","idempotency":"guarded","memory-span-ms":5000,"worth":1},
{"name":"pay","aim-ms":800,"give-up-ms":2000,"group":"all","idempotency":"single_shot","worth":1}],
"limits":{"conn-idle-ms":60000,"dial-timeout-ms":200,"max-attempts":4,"retry-after":true,"max-retry-after-ms":1500},
"rules":{"ask-within-ms":4000,"cold-from":0.2,"warm-within-ms":10000}}}`, listen, discovery, maxSockets, knownList)
}
