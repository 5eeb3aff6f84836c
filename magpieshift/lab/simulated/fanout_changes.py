"""The change log of a simulated fan-out tier, and the connection over which a source reads it."""

from __future__ import annotations

import random

from magpieshift.lab.simulated.fanout_network import Host
from magpieshift.lab.simulated.fanout_processes import Source
from magpieshift.lab.simulated.time import SimulatedTime
from magpieshift.relay.limits import PURGE_RETENTION_US
from magpieshift.relay.messages import ConfigurationChange, EndpointListChange, Entry, Purge

MAX_DELIVERY_US = 900_000  # longest time until an accepted entry arrives at a source
REPLAY_WINDOW_US = PURGE_RETENTION_US  # a source that starts receives all entries of this age or younger


class ChangeLog:
    """The accepted entries, with the time of their acceptance. An endpoint list or configuration version
    replaces the one before, so a replay contains only the newest of each besides the recent entries."""

    def __init__(self, time: SimulatedTime) -> None:
        self._time = time
        self.entries: list[tuple[int, Entry]] = []

    def purge(self, key: str = "") -> Purge:
        """Accept a purge; without a key, of an object that was never purged before."""
        purge = Purge(key or f"{len(self.entries):x}", 0, self._time.now_us)
        self._accept(purge)
        return purge

    def change_endpoint_list(self) -> None:
        """Accept a new endpoint list."""
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
        """What a source receives when it starts: the newest endpoint list and configuration version, and all
        entries of the last ``REPLAY_WINDOW_US``."""
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
    """A source's connection to the change log. Accepted entries arrive in order within ``MAX_DELIVERY_US``;
    if there are none, a keep-alive comment arrives."""

    def __init__(self, time: SimulatedTime, rand: random.Random, log: ChangeLog, host: Host) -> None:
        self.is_cut = False
        self._time = time
        self._rand = rand
        self._log = log
        self._host = host
        self._delivered = 0  # number of entries of the log that have arrived
        self._has_replayed = False
        self._socket: list[Entry] = []
        self._has_unread = False  # the socket holds entries or a keep-alive comment
        self._last_empty_us = host.now_us()
        self._is_stopped = False
        self._poll()

    def stop(self) -> None:
        """Close the connection, because the source has ended."""
        self._is_stopped = True

    def _poll(self) -> None:
        """Put all new entries, or a keep-alive comment, into the socket, and schedule the next time."""
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
        """Let the source read all that is in the socket, and return the entries. What is read arrived after
        the socket was last seen empty, so the source is current up to that time. An empty socket alone proves
        nothing, as the network may delay data."""
        now_us = self._host.now_us()
        entries = self._socket
        self._socket = []
        if self._has_unread:
            source.read(entries, self._last_empty_us, now_us)
        self._has_unread = False
        self._last_empty_us = now_us
        return entries
