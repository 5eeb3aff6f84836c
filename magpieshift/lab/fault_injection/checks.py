"""What is judged of a fleet of processes from outside: a plug for each invariant.

A check is shown the fleet now and then while it runs, and asked at the end for what it saw broken. The rules
at the stores are ``emulator.Rules``, which all stores and routers of a run have in common.
"""

from __future__ import annotations

import math
import os
from collections.abc import Mapping
from pathlib import Path
from typing import Any, Protocol

WHOLE = 1.0 + 1e-4  # shares are logged to six places
# as the cluster's settings say
MEMORY_MB = 64
SOCKETS = 512


class Seen(Protocol):
    """What a check may look at."""

    folder: Path

    def running(self) -> Mapping[str, int]:
        """Process ids by router."""
        ...

    def idle(self) -> list[tuple[str, int, float, float]]:
        """Who, of which start, could do nothing, from when until when on the steady clock."""
        ...

    def counted(self) -> Mapping[str, int]:
        """What became of the clients' requests."""
        ...

    def missed(self) -> list[str]:
        """Some of those lost, each in a line."""
        ...


class Check(Protocol):
    """One invariant."""

    def look(self, fleet: Seen, views: Mapping[str, Mapping[str, Any]]) -> None:
        """The fleet as it is at this moment, with the views of those who answered."""
        ...

    def broken(self, fleet: Seen) -> list[str]:
        """At the end: a line for each breach; none where it held."""
        ...


class Quiet:
    """A check that need not look meanwhile."""

    def look(self, fleet: Seen, views: Mapping[str, Mapping[str, Any]]) -> None:
        pass


class Answers(Quiet):
    """One final answer to each request that a router could answer; and they are of use."""

    def broken(self, fleet: Seen) -> list[str]:
        counted = fleet.counted()
        found = []
        if counted["lost"]:
            found.append(f"{counted['lost']} requests lost, such as {'; '.join(fleet.missed()[:5])}")
        if counted["doubles"]:
            found.append(f"{counted['doubles']} requests answered twice")
        if counted["sent"] and counted["served"] < counted["sent"] / 10:
            found.append(f"{counted['served']} requests served of {counted['sent']}")
        return found


class Logs(Quiet):
    """No router raised anything that it did not expect."""

    def broken(self, fleet: Seen) -> list[str]:
        found = []
        for log in sorted(fleet.folder.glob("*.log")):
            text = log.read_text(errors="replace")
            if "Traceback" in text:
                found.append(f"{log.name}: {text[text.index('Traceback') :][:600]}")
        return found


class Limits:
    """Memory and descriptors of each process stay within its settings."""

    def __init__(self) -> None:
        self.most_mb = 0.0
        self.most_open = 0

    def look(self, fleet: Seen, views: Mapping[str, Mapping[str, Any]]) -> None:
        for pid in fleet.running().values():
            try:
                pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
                self.most_open = max(self.most_open, len(os.listdir(f"/proc/{pid}/fd")))
            except (OSError, IndexError):
                continue  # it ended meanwhile
            self.most_mb = max(self.most_mb, pages * os.sysconf("SC_PAGE_SIZE") / (1 << 20))

    def broken(self, fleet: Seen) -> list[str]:
        found = []
        if self.most_mb > MEMORY_MB:
            found.append(f"a process held {self.most_mb:.1f} MB, limit {MEMORY_MB}")
        if self.most_open > SOCKETS:
            found.append(f"a process had {self.most_open} descriptors, limit {SOCKETS}")
        return found


class Shares(Quiet):
    """What all may use at an instant, in all: never more than the whole.

    The routers' own logs tell each change of a share, on the clock that all processes of a machine have in
    common. A process that stands still or is dead uses nothing; one that is being replaced looks before it
    acts whether its successor lives, and then uses half."""

    def broken(self, fleet: Seen) -> list[str]:
        most, when = self.most(fleet)
        return [f"shares came to {most:.4f} of the whole at {when:.3f}"] if most > WHOLE else []

    def most(self, fleet: Seen) -> tuple[float, float]:
        """The most they came to, and when."""
        steps: list[tuple[float, float, str]] = []
        for log in fleet.folder.glob("*.log"):
            name, start, _ = log.name.split(".")
            changes = self._changes(log)
            successor = fleet.folder / f"{name}.{int(start) + 1}.log"
            if successor.exists() and (begun := self._changes(successor)[:1]):
                at = begun[0][0]
                held = [share for when, share in changes if when <= at]
                ended = any((who, str(n)) == (name, start) and a < at for who, n, a, _ in fleet.idle())
                if held and not ended:
                    steps.append((math.nextafter(at, 0.0), held[-1] / 2, log.name))  # before it acts
            steps += [(at, share, log.name) for at, share in changes]
            for who, which, since, until in fleet.idle():
                if (who, str(which)) != (name, start):
                    continue
                held = [share for at, share in changes if at <= since]
                steps.append((since, 0.0, log.name))
                later = any(since < at < until for at, _ in changes)
                if until != float("inf") and held and not later:
                    # it reads the clock before it acts: what it then logs is what it may use
                    nexts = [share for at, share in changes if at >= until]
                    steps.append((until, min([held[-1], *nexts[:1]]), log.name))
        now: dict[str, float] = {}
        most = 0.0
        when = 0.0
        for at, share, which_log in sorted(steps, key=lambda step: (step[0], step[1])):
            now[which_log] = share
            if (total := sum(now.values())) > most + 1e-9:
                most = total
                when = at
        return most, when

    @staticmethod
    def _changes(log: Path) -> list[tuple[float, float]]:
        found = []
        for line in log.read_text(errors="replace").splitlines():
            if " event=share " in line:
                pairs = dict(word.split("=", 1) for word in line.split() if "=" in word)
                found.append((int(pairs["at_us"]) / 1e6, float(pairs["share"])))
        return found


def standard() -> list[Check]:
    """What holds in every run."""
    return [Answers(), Logs(), Limits(), Shares()]
