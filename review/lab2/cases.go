//go:build review

package lab2

// cases are the cases by name.
var cases = map[string]func(*lab) int{
	"late":     late,
	"open-ids": openIDs,
	"bans":     bans,
}

// radarConfig returns the configuration of a proxy of radar-tiles-gr: lists are asked for, drains
// bind after 500 ms.
func radarConfig(listen, discovery string, known []target, memoryMB, sockets int) map[string]any {
	class := func(name string, aim, giveUp float64, effect string, worth float64) map[string]any {
		return map[string]any{"name": name, "aim-ms": aim, "give-up-ms": giveUp, "group": "all", "idempotency": effect,
			"memory-span-ms": 5000.0, "worth": worth}
	}
	return map[string]any{
		"name": "n1", "listen": listen, "discovery": discovery, "seed": "8c1f30d27a5be964",
		"limits": map[string]any{"cores": 1.0, "memory_mb": memoryMB, "sockets": sockets},
		"known":  list{1, true, known},
		"settings": map[string]any{
			"az": "athens-1", "zones": []string{"athens-1"}, "balancers": 1, "me": 0, "stage": 0, "tiers": []string{"tile-front"},
			"kind-of-service": "chain", "discovery": "on_request",
			"classes": []any{
				class("latest-tile", 750, 2000, "free", 12),
				class("loop-tile", 1000, 2500, "free", 1),
				class("alert-signup", 1200, 3000, "single_shot", 1),
			},
			"clients": map[string]any{"marks-retry": false},
			"goal":    map[string]any{"whole": 0.6, "worst-class": 0.2, "worst-window": 0.2},
			"limits": map[string]any{"cancel": true, "conn-idle-ms": 10000.0, "dial-timeout-ms": 120.0, "max-attempts": 4,
				"max-retry-after-ms": 1500.0, "probing": true, "retry-after": true, "streams-per-conn": 1},
			"rules": map[string]any{"ask-within-ms": 6000.0, "cold-from": 0.13, "fall-multiple": 2.5,
				"stop-sending-within-ms": 500.0, "tip-after-ms": 1500.0, "warm-within-ms": 24000.0},
		},
	}
}
