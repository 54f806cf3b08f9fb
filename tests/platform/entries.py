"""A registry entry as an executor writes it."""

ENTRY = {
    "service": "desk",
    "addr": "10.128.0.9:8080",
    "zone": "lima-surco",
    "version": "v1",
    "slots": 8,
    "state": "draining",
    "cold_left_ms": 0,
    "capacity": {"cpu": 16000, "mem_mb": 32768, "gpu": 1},
    "labels": ["a", "r1-3"],
    "remaining_ms": 1500,
    "clock_ms": 1,
    "seq": 4,
    "born": 1_700_000_000_000,
}
