"""A process of the fan-out tier: a source, or a relay. Neither keeps anything on disk."""

from __future__ import annotations

import asyncio
import logging
import random
import secrets
from collections.abc import Callable, Sequence
from dataclasses import asdict, dataclass

from magpieshift import clock
from magpieshift.config import Address
from magpieshift.control.wire import control_pb2 as wire
from magpieshift.log import fields
from magpieshift.relay import configuration, status
from magpieshift.relay.client import RelayClient
from magpieshift.relay.fanout import Fanout
from magpieshift.relay.follower import Apply, Follower
from magpieshift.relay.limits import MOST_LOG_ENTRIES, RELAY_FAILOVER_MOST_S, lapse_us
from magpieshift.relay.log import SequencedLog
from magpieshift.relay.messages import NO_EPOCH, ConfigurationChange, Entry, Epoch, Snapshot
from magpieshift.relay.selection import Relay, Selection, rank
from magpieshift.relay.service import RelayService
from magpieshift.relay.snapshot import State
from magpieshift.relay.source import LogReader, VersionReader

log = logging.getLogger(__name__)

COUNTERS_S = 10.0  # between two lines with the counters
LOOK_S = 0.05  # between two looks whether a relay may begin to serve


class SourceSuperseded(Exception):
    """Another source is newer: this one ends."""


@dataclass(frozen=True)
class SourceOptions:
    """What a source is told."""

    changelog: Address
    listen: str  # host:port
    versions: str = ""  # folder of configuration versions; empty: none are passed on
    name: str = "source"
    region: str = ""
    log_entries: int = MOST_LOG_ENTRIES  # kept; who lacks older ones gets a snapshot


@dataclass(frozen=True)
class RelayOptions:
    """What a relay is told."""

    sources: Sequence[Relay]
    listen: str  # host:port
    name: str
    region: str
    log_entries: int = MOST_LOG_ENTRIES


class _Node:
    """What source and relay have in common: a log, its state, followers, and the lines about them."""

    def __init__(self, options: SourceOptions | RelayOptions, epoch: Epoch) -> None:
        self.name = options.name
        self.region = options.region
        self.log = SequencedLog(epoch, most=options.log_entries)
        self.state = State(configuration.make_whole)
        self.fanout = self._make_fanout()
        self.service = RelayService(self.fanout, self._superseded, self.report)
        self._ended = asyncio.Event()

    def _make_fanout(self) -> Fanout:
        raise NotImplementedError

    def _superseded(self, epoch: Epoch) -> None:
        raise NotImplementedError

    def age_us(self, now_us: int) -> int | None:
        """How current the process is; None where that is not known."""
        raise NotImplementedError

    @property
    def upstream(self) -> str:
        """Whom it follows, or what it reads."""
        raise NotImplementedError

    def report(self) -> wire.StatusReport:
        """How it stands, and how its followers do."""
        now_us = clock.source.steady_us()
        return status.report(
            self.name,
            self.region,
            self.upstream,
            self.log,
            self.state,
            self.fanout,
            self.service.counters,
            self.age_us(now_us),
            now_us,
        )

    def stop(self) -> None:
        """Begin the end; ``run`` returns then."""
        self._ended.set()

    async def _tell_counters(self) -> None:
        """One line with the counters, once in a while."""
        while True:
            await asyncio.sleep(COUNTERS_S)
            now_us = clock.source.steady_us()
            followers = self.fanout.status(now_us)
            slowest = max(followers, key=lambda each: each.behind, default=None)
            log.info(
                "counters",
                extra=fields(
                    **asdict(self.service.counters),
                    followers=len(followers),
                    head=self.log.head,
                    done=self.fanout.done(now_us),
                    age_us=self.age_us(now_us),
                    slowest=slowest.name if slowest is not None else "",
                    slowest_behind=slowest.behind if slowest is not None else 0,
                ),
            )

    async def _serve(self, listen: str, ready: Callable[[int], None]) -> None:
        """Serve followers until the end."""
        await self.service.start(listen)
        log.info("ready", extra=fields(name=self.name, region=self.region, port=self.service.port))
        ready(self.service.port)
        telling = asyncio.ensure_future(self._tell_counters())
        try:
            await self._ended.wait()
        finally:
            telling.cancel()


class SourceNode(_Node):
    """Numbers what the change log and the folder of versions tell, and serves it to relays."""

    def __init__(self, options: SourceOptions) -> None:
        self._options = options
        self._reader = LogReader(options.changelog, self._append, secrets.randbits(32))
        self._versions = VersionReader(options.versions, self._append) if options.versions else None
        self._newer = NO_EPOCH
        epoch = Epoch(clock.source.unix_us() // 1000, secrets.randbits(64))
        super().__init__(options, epoch)

    async def run(self, ready: Callable[[int], None] = lambda port: None) -> None:
        """Serve until ``stop``; ``SourceSuperseded`` where another source is newer, ``OSError`` where it
        cannot listen."""
        epoch = self.log.epoch
        log.info("epoch new", extra=fields(epoch=epoch.term, instance=f"{epoch.instance:016x}"))
        self._reader.start()
        if self._versions is not None:
            self._versions.start()
        try:
            await self._serve(self._options.listen, ready)
        finally:
            self._reader.stop()
            if self._versions is not None:
                self._versions.stop()
            await self.service.stop()
        if self._newer != NO_EPOCH:
            raise SourceSuperseded(f"a source with epoch {self._newer.term} is newer than {epoch.term}")

    @property
    def upstream(self) -> str:
        host, port = self._options.changelog
        return f"{host}:{port}"

    def _make_fanout(self) -> Fanout:
        counts_from_us = clock.source.steady_us() + lapse_us()
        return Fanout(self.log, self.state, self.age_us, counts_from_us=counts_from_us)

    def age_us(self, now_us: int) -> int | None:
        """How current the process is; None where that is not known."""
        return self._reader.age_us(now_us)

    def _append(self, entry: Entry) -> None:
        self.log.append(entry)
        self.state.fold(entry, clock.source.steady_us())

    def _superseded(self, epoch: Epoch) -> None:
        log.error("superseded", extra=fields(epoch=self.log.epoch.term, by=epoch.term))
        self._newer = epoch
        self.stop()


class RelayNode(_Node):
    """Follows a source, keeps a copy of the newest part of its log, and serves it to followers."""

    def __init__(self, options: RelayOptions, rand: random.Random | None = None) -> None:
        self._options = options
        self.follower = Follower(options.name, secrets.token_hex(4))
        super().__init__(options, NO_EPOCH)
        ranked = rank(options.name, options.region, options.sources)
        selection = Selection(ranked, rand or random.Random(), RELAY_FAILOVER_MOST_S)
        self.client = RelayClient(self.follower, selection, self, self.fanout.report)

    async def run(self, ready: Callable[[int], None] = lambda port: None) -> None:
        """Serve until ``stop``, once it has what the source has; ``OSError`` where it cannot listen."""
        self.client.start()
        try:
            while not self._ended.is_set() and not self.fanout.fit(clock.source.steady_us()):
                await asyncio.sleep(LOOK_S)
            if not self._ended.is_set():
                await self._serve(self._options.listen, ready)
        finally:
            await self.service.stop()
            await self.client.stop()

    @property
    def upstream(self) -> str:
        return self.client.relay.address

    def _make_fanout(self) -> Fanout:
        follower = self.follower
        return Fanout(
            self.log,
            self.state,
            self.age_us,
            done_everywhere=lambda: follower.done,
            link_age=follower.currency.epoch_link_age_us,
        )

    def age_us(self, now_us: int) -> int | None:
        """How current the process is; None where that is not known."""
        return self.follower.currency.epoch_age_us(now_us)

    def _superseded(self, epoch: Epoch) -> None:
        log.warning("superseded", extra=fields(epoch=self.log.epoch.term, by=epoch.term))
        self.follower.heard_of(epoch)

    # --- what it receives

    def apply(self, batch: Apply) -> None:
        """Copy a batch into the log."""
        now_us = clock.source.steady_us()
        self.log.extend(batch.first, batch.entries)
        for entry in batch.entries:
            self.state.fold(entry, now_us)
        self._tell_configuration()

    def take_snapshot(self, snapshot: Snapshot) -> None:
        """Go on from what a snapshot says."""
        if snapshot.epoch != self.log.epoch:
            log.info("epoch new", extra=fields(epoch=snapshot.epoch.term, applied=snapshot.applied))
        self.state.restore(snapshot, clock.source.steady_us())
        self.log.restart(snapshot.epoch, snapshot.applied)
        self._tell_configuration()

    def take_configuration(self, change: ConfigurationChange) -> None:
        """A version whose delta did not fit, whole."""
        self.state.take_configuration(change)
        self._tell_configuration()

    def _tell_configuration(self) -> None:
        whole = self.state.configuration
        self.follower.configuration = whole.digest if whole is not None else ""
        self.follower.want_whole = self.state.want_whole
