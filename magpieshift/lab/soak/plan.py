"""What happens in one life of a router, drawn from its seed."""

from __future__ import annotations

import random
import signal
from collections.abc import Sequence
from dataclasses import dataclass, field
from enum import StrEnum

SIGNAL_GAPS_S = (0.0, 0.0, 0.01, 0.05, 0.2, 0.7)
"""Between two signals of a series."""
MAX_SERIES = 4
"""Signals of one series."""
MAX_IDLE_CLIENTS = 150
"""Idle clients; with the others they stay under a third of the descriptors that the settings allow."""


class RouterForm(StrEnum):
    """How the router is started."""

    BARE = "bare"
    """By its environment, as the platform does."""
    RUN = "run"
    """``magpieshift run`` with a settings file."""
    CONTROLLED = "controlled"
    """``magpieshift run`` with stored versions and a control service."""


class SoakFault(StrEnum):
    """What goes wrong around the router."""

    NONE = "none"
    HANG = "hang"
    """A cache hangs from right before SIGTERM on."""
    DIE = "die"
    """A cache ends without notice at SIGTERM."""
    LATE_LOG = "late-log"
    """The change log tells nothing new."""
    BAD_SETTINGS = "bad-settings"
    """The file that SIGHUP makes it read cannot be used."""
    MOVED_LOG = "moved-log"
    """The file names another change log."""


@dataclass(frozen=True)
class TimedSignal:
    """One signal of a series."""

    gap_s: float
    """After the one before."""
    number: signal.Signals


@dataclass(frozen=True)
class SoakPlan:
    """One life."""

    seed: int
    form: RouterForm
    fault: SoakFault
    cache_delay_ms: float
    """By which each cache answers later than it would."""
    origin_delay_ms: float
    rate: float
    """Requests a second of each kind of client."""
    idle_clients: int
    """Idle clients."""
    is_replaced: bool
    """Whether a second process takes over before SIGTERM."""
    serving_s: float
    """From ready to the first signal."""
    start_signals: Sequence[TimedSignal] = field(default=())
    """Reloads while it starts."""
    reloads: Sequence[TimedSignal] = field(default=())
    """Reloads while it serves."""
    end_signals: Sequence[TimedSignal] = field(default=())
    """SIGTERM, and what comes behind it."""

    def describe(self) -> str:
        """The plan in one line."""
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
        return (
            f"{self.form}, fault {self.fault}, caches +{self.cache_delay_ms:.0f} ms, origin "
            f"+{self.origin_delay_ms:.0f} ms, {self.rate:.0f}/s, crowd {self.idle_clients}{replaced}, "
            f"serving {self.serving_s:.1f} s; {signals}"
        )


def _draw_series(rand: random.Random, kinds: Sequence[signal.Signals], least: int) -> list[TimedSignal]:
    """A series of signals of these kinds."""
    count = rand.randint(least, MAX_SERIES)
    return [TimedSignal(rand.choice(SIGNAL_GAPS_S), rand.choice(kinds)) for _ in range(count)]


def draw_plan(seed: int) -> SoakPlan:
    """The life of a seed."""
    rand = random.Random(seed)
    form = rand.choice(list(RouterForm))
    end_first = TimedSignal(rand.choice(SIGNAL_GAPS_S), signal.SIGTERM)
    end_rest = _draw_series(rand, (signal.SIGTERM, signal.SIGHUP), 0)
    return SoakPlan(
        seed=seed,
        form=form,
        fault=rand.choice(list(SoakFault)),
        cache_delay_ms=rand.choice((0.0, 20.0, 150.0)),
        origin_delay_ms=rand.choice((0.0, 100.0, 700.0)),
        rate=rand.choice((15.0, 40.0, 80.0)),
        idle_clients=rand.choice((4, 40, MAX_IDLE_CLIENTS)),
        is_replaced=form is not RouterForm.CONTROLLED and rand.random() < 0.25,
        serving_s=rand.uniform(0.4, 1.2),
        start_signals=_draw_series(rand, (signal.SIGHUP,), 1) if rand.random() < 0.3 else (),
        reloads=_draw_series(rand, (signal.SIGHUP,), 0),
        end_signals=[end_first, *end_rest],
    )
