"""Built-in scenarios, as the data of their documents."""

from __future__ import annotations

from typing import Any

BUILT_IN_SCENARIOS: dict[str, dict[str, Any]] = {
    "quiet": {"seconds": 10},
    "paused": {
        "seconds": 25,
        "faults": {
            "one": {"what": "pause", "who": "r1", "at-s": 2, "for-s": 5},
            "two": {"what": "pause", "who": "r2", "at-s": 10, "for-s": 5},
            "three": {"what": "pause", "who": "r3", "at-s": 10, "for-s": 5},
        },
    },
    "deaf-and-mute": {
        "seconds": 30,
        "faults": {
            "deaf": {"what": "cut", "source": "routers", "target": "r1", "at-s": 2, "for-s": 12},
            "mute": {"what": "cut", "source": "r2", "target": "routers", "at-s": 2, "for-s": 12},
        },
    },
    "lossy": {
        "seconds": 25,
        "faults": {
            "all": {"what": "lose", "by": 0.3, "at-s": 1, "for-s": 20},
            "one": {"what": "lose", "source": "r1", "by": 0.6, "at-s": 1, "for-s": 20},
        },
    },
    "killed": {
        "seconds": 30,
        "faults": {f"k{i}": {"what": "kill", "who": f"r{i}", "at-s": 2, "for-s": 2} for i in range(1, 6)},
    },
    "stores": {
        "seconds": 25,
        "faults": {
            "drained": {"what": "drain", "who": "box1", "at-s": 3, "for-s": 2},
            "dead": {"what": "die", "who": "hub1", "at-s": 5, "for-s": 3},
            "purged": {"what": "purge", "at-s": 6},
            "late": {"what": "late-list", "at-s": 9, "for-s": 3},
            "again": {"what": "purge", "at-s": 10},
            "gone": {"what": "die", "who": "box2", "at-s": 10, "for-s": 3},
        },
    },
    "streams": {
        "seconds": 25,
        "faults": {
            "reset": {"what": "reset", "source": "r1", "target": "box1", "at-s": 2, "for-s": 3},
            "silent": {"what": "silence", "source": "r2", "target": "box2", "at-s": 3, "for-s": 5},
            "one-way": {"what": "cut", "source": "hub1", "target": "r0", "at-s": 4, "for-s": 5},
            "deaf": {"what": "cut", "source": "log", "target": "r3", "at-s": 4, "for-s": 8},
            "drained": {"what": "drain", "who": "box1", "at-s": 6, "for-s": 2},
            "thin": {"what": "throttle", "source": "*", "target": "origin", "by": 20, "at-s": 10, "for-s": 4},
        },
    },
    "overload": {
        "seconds": 40,
        "faults": {
            "slow": {"what": "slow", "who": "origin", "by": 400, "at-s": 3, "for-s": 8},
            "dead": {"what": "die", "who": "hub1", "at-s": 14, "for-s": 4},
            "errs": {"what": "err", "who": "box1", "by": 0.5, "at-s": 21, "for-s": 6},
            "paused": {"what": "pause", "who": "r1", "at-s": 24, "for-s": 5},
            "killed": {"what": "kill", "who": "r2", "at-s": 29, "for-s": 2},
            "too": {"what": "kill", "who": "r3", "at-s": 29, "for-s": 2},
        },
    },
    "clocks": {
        "seconds": 25,
        "faults": {
            "back": {"what": "step", "who": "r1", "by": -30, "at-s": 2, "for-s": 8},
            "ahead": {"what": "step", "who": "r2", "by": 30, "at-s": 3, "for-s": 8},
            "fast": {"what": "rate", "who": "r3", "by": 1.01, "at-s": 1, "for-s": 20},
            "slow": {"what": "rate", "who": "r0", "by": 0.99, "at-s": 1, "for-s": 20},
        },
    },
}
"""Data of the scenario documents, by the scenario's name."""
