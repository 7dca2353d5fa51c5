package standin

import (
	"fmt"
	"strings"
)

// TargetJSON is a line of a list: a backend in service, long since started.
func TargetJSON(uid, endpoint string) string { return TargetJSONInState("in_service", uid, endpoint) }

// TargetJSONInState is a line of a list with its state.
func TargetJSONInState(state, uid, endpoint string) string {
	return fmt.Sprintf(`{"uid":%q,"endpoint":%q,"az":"z1","model":"m","pod_group":1,"state":%q,`+
		`"capacity_hint":1.0,"boot_ms":0}`, uid, endpoint, state)
}

// ListJSON is a whole list, or changed lines.
func ListJSON(rev int, all bool, targets ...string) string {
	return fmt.Sprintf(`{"rev":%d,"all":%t,"targets":[%s]}`, rev, all, strings.Join(targets, ","))
}

// MeshConfig is a configuration for a proxy of one client process among many, whose clients
// mark retries; else as Config.
func MeshConfig(listen, discovery string, sockets int, known string) string {
	text := Config(listen, discovery, sockets, known)
	for _, r := range [][2]string{
		{`"zones":["z1","z2"],"balancers":1`, `"zones":["z1"],"kind-of-service":"mesh","balancers":100`},
		{`"limits":{"conn-idle-ms"`, `"clients":{"marks-retry":true},"limits":{"streams-per-conn":100,"may-tell":true,"cancel":true,"conn-idle-ms"`},
		{`"retry-after":true`, `"retry-after":false`},
	} {
		text = strings.Replace(text, r[0], r[1], 1)
	}
	return text
}

// Config is a configuration with three classes: "get" may run any number of
// times, "put" carries a key, "pay" must not run twice. Idle connections may stand
// longer than a test waits, so that a test sees who closes them.
func Config(listen, discovery string, sockets int, known string) string {
	return fmt.Sprintf(`{"name":"n1","listen":%q,"discovery":%q,"seed":"8c1f30d27a5be964",
"limits":{"cores":1.0,"memory_mb":192,"sockets":%d},
"known":%s,
"settings":{"az":"z1","zones":["z1","z2"],"balancers":1,"me":0,"stage":0,"discovery":"on_request",
"classes":[
{"name":"get","aim-ms":800,"give-up-ms":2000,"group":"all","idempotency":"free","worth":1},
{"name":"put","aim-ms":800,"give-up-ms":2000,"group":"all","idempotency":"guarded","memory-span-ms":5000,"worth":1},
{"name":"pay","aim-ms":800,"give-up-ms":2000,"group":"all","idempotency":"single_shot","worth":1}],
"limits":{"conn-idle-ms":60000,"dial-timeout-ms":200,"max-attempts":4,"retry-after":true,"max-retry-after-ms":1500},
"rules":{"ask-within-ms":4000,"cold-from":0.2,"warm-within-ms":10000}}}`, listen, discovery, sockets, known)
}
