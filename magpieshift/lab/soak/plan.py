"""The plan of one soak run, drawn from its seed."""

from __future__ import annotations

import random
import signal
from collections.abc import Sequence
from dataclasses import dataclass, field
from enum import StrEnum

SIGNAL_GAPS_S = (0.0, 0.0, 0.01, 0.05, 0.2, 0.7)
"""Possible intervals in seconds between two signals of a series."""
MAX_SERIES = 4
"""Maximum number of signals in a series."""
ALL_HANG_SHARE = 0.3
"""Share of the plans in which all endpoints hang at the end."""
MAX_IDLE_CLIENTS = 150
"""Maximum number of idle clients. All clients together use less than a third of the settings' descriptors."""


class StartMode(StrEnum):
    """How the router is started."""

    BARE = "bare"
    """Configured by environment variables, as on the platform."""
    RUN = "run"
    """``magpieshift run`` with a settings file."""
    CONTROLLED = "controlled"
    """``magpieshift run`` with stored versions and a control service."""


class SoakFault(StrEnum):
    """A fault in the router's environment."""

    NONE = "none"
    HANG = "hang"
    """A cache hangs from just before SIGTERM."""
    DIE = "die"
    """A cache is killed without a drain just before SIGTERM."""
    LATE_LOG = "late-log"
    """The change log publishes no events from just before SIGTERM."""
    BAD_SETTINGS = "bad-settings"
    """The settings file that the router reads at SIGHUP is invalid."""
    MOVED_LOG = "moved-log"
    """The settings file that the router reads at SIGHUP names another change log."""


@dataclass(frozen=True)
class TimedSignal:
    """One signal of a series."""

    gap_s: float
    """Seconds since the previous signal."""
    number: signal.Signals


@dataclass(frozen=True)
class SoakPlan:
    """The plan of one soak run."""

    seed: int
    start_mode: StartMode
    fault: SoakFault
    cache_delay_ms: float
    """Delay added to each answer of the caches."""
    origin_delay_ms: float
    """Delay added to each answer of the origin."""
    rate: float
    """Requests per second of each kind of client."""
    idle_clients: int
    """Number of idle clients."""
    is_replaced: bool
    """Whether a second process takes over before SIGTERM."""
    serving_s: float
    """Seconds of load before the reloads and the shutdown."""
    start_signals: Sequence[TimedSignal] = field(default=())
    """Reloads while the router starts."""
    reloads: Sequence[TimedSignal] = field(default=())
    """Reloads while the router serves."""
    end_signals: Sequence[TimedSignal] = field(default=())
    """SIGTERM and the signals after it."""
    all_hang: bool = False
    """Whether all endpoints hang from just before SIGTERM: requests are then open until their deadlines."""

    def describe(self) -> str:
        """Return the plan as one line."""
        series = {
            "start": self.start_signals,
            "serving": self.reloads,
            "end": self.end_signals,
        }
        signals = "; ".join(
            f"{name} " + ",".join(f"+{each.gap_s:g} {each.number.name}" for each in timed)
            for name, timed in series.items()
            if timed
        )
        replaced = ", replaced" if self.is_replaced else ""
        hanging = ", all endpoints hang at the end" if self.all_hang else ""
        return (
            f"{self.start_mode}, fault {self.fault}, caches +{self.cache_delay_ms:.0f} ms, origin "
            f"+{self.origin_delay_ms:.0f} ms, {self.rate:.0f}/s, {self.idle_clients} idle clients"
            f"{replaced}{hanging}, serving {self.serving_s:.1f} s; {signals}"
        )


def _draw_series(rand: random.Random, kinds: Sequence[signal.Signals], least: int) -> list[TimedSignal]:
    """Draw a series of signals of these kinds, at least ``least``."""
    count = rand.randint(least, MAX_SERIES)
    return [TimedSignal(rand.choice(SIGNAL_GAPS_S), rand.choice(kinds)) for _ in range(count)]


def draw_plan(seed: int) -> SoakPlan:
    """Draw the plan of a seed; the same seed gives the same plan."""
    rand = random.Random(seed)
    start_mode = rand.choice(list(StartMode))
    end_first = TimedSignal(rand.choice(SIGNAL_GAPS_S), signal.SIGTERM)
    end_rest = _draw_series(rand, (signal.SIGTERM, signal.SIGHUP), 0)
    return SoakPlan(
        seed=seed,
        start_mode=start_mode,
        fault=rand.choice(list(SoakFault)),
        cache_delay_ms=rand.choice((0.0, 20.0, 150.0)),
        origin_delay_ms=rand.choice((0.0, 100.0, 700.0)),
        rate=rand.choice((15.0, 40.0, 80.0)),
        idle_clients=rand.choice((4, 40, MAX_IDLE_CLIENTS)),
        is_replaced=start_mode is not StartMode.CONTROLLED and rand.random() < 0.25,
        serving_s=rand.uniform(0.4, 1.2),
        start_signals=_draw_series(rand, (signal.SIGHUP,), 1) if rand.random() < 0.3 else (),
        reloads=_draw_series(rand, (signal.SIGHUP,), 0),
        end_signals=[end_first, *end_rest],
        # drawn last, so that the other parts of each seed's plan stay as they were
        all_hang=rand.random() < ALL_HANG_SHARE,
    )
