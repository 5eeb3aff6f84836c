"""The change log of a simulated fan-out tier, and the connection by which a source reads it."""

from __future__ import annotations

import random

from magpieshift.lab.simulated.fanout_network import Host
from magpieshift.lab.simulated.fanout_processes import Source
from magpieshift.lab.simulated.time import SimulatedTime
from magpieshift.relay.limits import PURGE_RETENTION_US
from magpieshift.relay.messages import ConfigurationChange, EndpointListChange, Entry, Purge

MAX_DELIVERY_US = 900_000  # the longest that its words are under way to a source
REPLAY_WINDOW_US = PURGE_RETENTION_US  # entries so old are still told to a source that begins


class ChangeLog:
    """What was accepted, when. Lists and versions are told whole, so the newest of each will do."""

    def __init__(self, time: SimulatedTime) -> None:
        self._time = time
        self.entries: list[tuple[int, Entry]] = []

    def purge(self, key: str = "") -> Purge:
        """Accept a purge; of an object that was never purged where no key is given."""
        purge = Purge(key or f"{len(self.entries):x}", 0, self._time.now_us)
        self._accept(purge)
        return purge

    def change_endpoint_list(self) -> None:
        """Accept a list of stores."""
        self._accept(
            EndpointListChange(
                f'{{"complete": true, "revision": {len(self.entries)}, "members": [{{"id": "a"}}]}}'
            )
        )

    def change_configuration(self, content: bytes = b"x" * 200) -> None:
        """Accept a configuration version."""
        number = len(self.entries) + 1
        self._accept(ConfigurationChange(number, f"v{number}", "", content))

    def _accept(self, entry: Entry) -> None:
        self.entries.append((self._time.now_us, entry))

    def replay(self) -> list[Entry]:
        """What a source that begins is told: the newest list and version, and all that is not too old."""
        since_us = self._time.now_us - REPLAY_WINDOW_US
        newest: dict[type, int] = {}
        for position, (_, entry) in enumerate(self.entries):
            if not isinstance(entry, Purge):
                newest[type(entry)] = position
        return [
            entry
            for position, (accepted_us, entry) in enumerate(self.entries)
            if accepted_us >= since_us or position in newest.values()
        ]


class ChangeLogReader:
    """A source's connection to the change log: what that accepted arrives in order after up to
    ``HELD_MOST_US``, and a comment where nothing is new."""

    def __init__(self, time: SimulatedTime, rand: random.Random, log: ChangeLog, host: Host) -> None:
        self.is_cut = False
        self._time = time
        self._rand = rand
        self._log = log
        self._host = host
        self._delivered = 0  # of the log, so far
        self._has_replayed = False
        self._socket: list[Entry] = []
        self._has_unread = False  # something, if only a comment, is in the socket
        self._last_empty_us = host.now_us()
        self._is_stopped = False
        self._poll()

    def stop(self) -> None:
        """The source has ended."""
        self._is_stopped = True

    def _poll(self) -> None:
        """Write what is new, or a comment; it was accepted up to ``HELD_MOST_US`` ago."""
        if self._is_stopped:
            return
        if not self.is_cut:
            if self._has_replayed:
                self._socket += [entry for _, entry in self._log.entries[self._delivered :]]
            else:
                self._socket += self._log.replay()
            self._has_replayed, self._delivered, self._has_unread = True, len(self._log.entries), True
        self._time.after(self._rand.randrange(MAX_DELIVERY_US // 10, MAX_DELIVERY_US), self._poll)

    def read(self, source: Source) -> list[Entry]:
        """Let the source read all there is. What is read arrived after the socket was last seen empty, so the
        source is current to then; an empty socket by itself proves nothing."""
        now_us = self._host.now_us()
        entries = self._socket
        self._socket = []
        if self._has_unread:
            source.read(entries, self._last_empty_us, now_us)
        self._has_unread = False
        self._last_empty_us = now_us
        return entries
