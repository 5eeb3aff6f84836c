"""The processes of the fan-out tier, source and relay. Neither stores anything on disk."""

from __future__ import annotations

import asyncio
import logging
import random
import secrets
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from magpieshift import clock
from magpieshift.background_task import BackgroundTask
from magpieshift.config import Address
from magpieshift.control.wire import control_pb2 as wire
from magpieshift.log import fields
from magpieshift.relay import status
from magpieshift.relay.change_log_reader import ChangeLogReader
from magpieshift.relay.client import RelayClient
from magpieshift.relay.configuration import apply_delta
from magpieshift.relay.errors import SourceSupersededError
from magpieshift.relay.fanout import Fanout
from magpieshift.relay.follower import Follower
from magpieshift.relay.instructions import ApplyEntries
from magpieshift.relay.limits import MAX_LOG_ENTRIES, MAX_RELAY_FAILOVER_BACKOFF_S, lease_lapse_us
from magpieshift.relay.log import SequencedLog
from magpieshift.relay.log_state import LogState
from magpieshift.relay.messages import NO_EPOCH, ConfigurationChange, Entry, Epoch, Snapshot
from magpieshift.relay.selection import RelayAddress, RelaySelection, rank_relays
from magpieshift.relay.service import RelayService
from magpieshift.relay.version_reader import VersionReader

log = logging.getLogger(__name__)

COUNTERS_INTERVAL_S = 10.0
"""Interval between log lines with the counters."""
READY_POLL_S = 0.05
"""Interval between checks whether a starting relay is ready to serve; short compared with its start."""


@dataclass(frozen=True)
class SourceOptions:
    """A source's settings."""

    changelog: Address
    """Address of the change log."""
    listen: str
    """host:port; port 0 picks a free one."""
    versions: str = ""
    """Folder of configuration versions; if empty, no versions are distributed."""
    name: str = "source"
    """Name of the source in status reports."""
    region: str = ""
    """Region of the source."""
    log_entries: int = MAX_LOG_ENTRIES
    """Maximum entries that are retained; a follower that lacks older ones gets a snapshot."""


@dataclass(frozen=True)
class RelayOptions:
    """A relay's settings."""

    sources: Sequence[RelayAddress]
    """The sources that the relay may follow."""
    listen: str
    """host:port; port 0 picks a free one."""
    name: str
    """Name of the relay, in reports and as a follower of its source."""
    region: str
    """Region of the relay."""
    log_entries: int = MAX_LOG_ENTRIES
    """Maximum entries that are retained; a follower that lacks older ones gets a snapshot."""


class _FanoutNode:
    """The common part of source and relay: the log and its state, the followers, and the log lines with
    counters."""

    def __init__(self, options: SourceOptions | RelayOptions, epoch: Epoch) -> None:
        self.name = options.name
        self.region = options.region
        self.log = SequencedLog(epoch, max_entries=options.log_entries)
        """Log with the newest entries."""
        self.state = LogState(apply_delta)
        """Accumulated state of all entries."""
        self.fanout = self._make_fanout()
        """State machine that serves the followers."""
        self.service = RelayService(self.fanout, self._on_superseded, self.report)
        """gRPC service with the followers' streams."""
        self._stopping = asyncio.Event()

    def _make_fanout(self) -> Fanout:
        raise NotImplementedError

    def _on_superseded(self, epoch: Epoch) -> None:
        raise NotImplementedError

    def age_us(self, now_us: int) -> int | None:
        """How old the process's knowledge is; None if that is not known."""
        raise NotImplementedError

    @property
    def upstream(self) -> str:
        """Address of the source that it follows, or of the change log that it reads."""
        raise NotImplementedError

    def report(self) -> wire.StatusReport:
        """The status report for operators."""
        now_us = clock.source.steady_us()
        return status.make_status_report(
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
        """Request the shutdown; ``run`` returns once it is complete."""
        self._stopping.set()

    async def _log_counters(self) -> None:
        """Log the counters every ``COUNTERS_INTERVAL_S``."""
        while True:
            await asyncio.sleep(COUNTERS_INTERVAL_S)
            now_us = clock.source.steady_us()
            followers = self.fanout.status(now_us)
            slowest = max(followers, key=lambda each: each.lag_entries, default=None)
            log.info(
                "counters reported",
                extra=fields(
                    **self.service.counters.as_data(),
                    followers=len(followers),
                    head=self.log.head,
                    done=self.fanout.watermark(now_us),
                    age_us=self.age_us(now_us),
                    slowest=slowest.name if slowest is not None else "",
                    slowest_behind=slowest.lag_entries if slowest is not None else 0,
                ),
            )

    async def _serve(self, listen: str, ready: Callable[[int], None]) -> None:
        """Serve followers until ``stop``."""
        await self.service.start(listen)
        log.info("ready", extra=fields(name=self.name, region=self.region, port=self.service.port))
        ready(self.service.port)
        counters_logger = BackgroundTask("relay counters", self._log_counters)
        counters_logger.start()
        try:
            await self._stopping.wait()
        finally:
            counters_logger.cancel()


class SourceNode(_FanoutNode):
    """Assigns sequence numbers to the changes of the change log and of the version folder, and serves them to
    relays."""

    def __init__(self, options: SourceOptions) -> None:
        self._options = options
        self._change_log_reader = ChangeLogReader(options.changelog, self._append, secrets.randbits(32))
        self._version_reader = VersionReader(options.versions, self._append) if options.versions else None
        self._newer_epoch = NO_EPOCH
        epoch = Epoch(clock.source.unix_us() // 1000, secrets.randbits(64))
        super().__init__(options, epoch)

    async def run(self, ready: Callable[[int], None] = lambda port: None) -> None:
        """Serve until ``stop``; ``SourceSupersededError`` if another source is newer, ``OSError`` if it
        cannot listen."""
        epoch = self.log.epoch
        log.info("epoch started", extra=fields(epoch=epoch.term, instance=f"{epoch.instance:016x}"))
        self._change_log_reader.start()
        if self._version_reader is not None:
            self._version_reader.start()
        try:
            await self._serve(self._options.listen, ready)
        finally:
            self._change_log_reader.stop()
            if self._version_reader is not None:
                self._version_reader.stop()
            await self.service.stop()
        if self._newer_epoch != NO_EPOCH:
            raise SourceSupersededError(
                f"superseded by a newer source with term {self._newer_epoch.term}, this one has {epoch.term}"
            )

    @property
    def upstream(self) -> str:
        """The change log's address, ``host:port``."""
        host, port = self._options.changelog
        return f"{host}:{port}"

    def _make_fanout(self) -> Fanout:
        watermark_from_us = clock.source.steady_us() + lease_lapse_us()
        return Fanout(self.log, self.state, self.age_us, watermark_from_us=watermark_from_us)

    def age_us(self, now_us: int) -> int | None:
        """How old the process's knowledge is; None if that is not known."""
        return self._change_log_reader.age_us(now_us)

    def _append(self, entry: Entry) -> None:
        self.log.append(entry)
        self.state.apply_entry(entry, clock.source.steady_us())

    def _on_superseded(self, epoch: Epoch) -> None:
        log.error("epoch superseded", extra=fields(epoch=self.log.epoch.term, by=epoch.term))
        self._newer_epoch = epoch
        self.stop()


class RelayNode(_FanoutNode):
    """Follows a source, holds a copy of the newest part of its log, and serves it to followers."""

    def __init__(self, options: RelayOptions, rand: random.Random | None = None) -> None:
        self._options = options
        self.follower = Follower(options.name, secrets.token_hex(4))
        super().__init__(options, NO_EPOCH)
        ranked = rank_relays(options.name, options.region, options.sources)
        selection = RelaySelection(ranked, rand or random.Random(), MAX_RELAY_FAILOVER_BACKOFF_S)
        self.client = RelayClient(self.follower, selection, self, self.fanout.report)

    async def run(self, ready: Callable[[int], None] = lambda port: None) -> None:
        """Serve until ``stop``, beginning once the relay has everything that its source has; ``OSError`` if
        it cannot listen."""
        self.client.start()
        try:
            while not self._stopping.is_set() and not self.fanout.is_fresh(clock.source.steady_us()):
                await asyncio.sleep(READY_POLL_S)
            if not self._stopping.is_set():
                await self._serve(self._options.listen, ready)
        finally:
            await self.service.stop()
            await self.client.stop()

    @property
    def upstream(self) -> str:
        """The address of the source that it follows, ``host:port``."""
        return self.client.relay.address

    def _make_fanout(self) -> Fanout:
        follower = self.follower
        return Fanout(
            self.log,
            self.state,
            self.age_us,
            source_watermark=lambda: follower.watermark,
            sync_age_us=follower.staleness.epoch_sync_age_us,
        )

    def age_us(self, now_us: int) -> int | None:
        """How old the process's knowledge is; None if that is not known."""
        return self.follower.staleness.epoch_age_us(now_us)

    def _on_superseded(self, epoch: Epoch) -> None:
        log.warning("epoch superseded", extra=fields(epoch=self.log.epoch.term, by=epoch.term))
        self.follower.learn_epoch(epoch)

    # --- received data

    def apply_entries(self, batch: ApplyEntries) -> None:
        """Append a batch to the log."""
        now_us = clock.source.steady_us()
        self.log.extend(batch.first, batch.entries)
        for entry in batch.entries:
            self.state.apply_entry(entry, now_us)
        self._publish_configuration()

    def restore_snapshot(self, snapshot: Snapshot) -> None:
        """Replace log and state by a snapshot."""
        if snapshot.epoch != self.log.epoch:
            log.info("epoch started", extra=fields(epoch=snapshot.epoch.term, applied=snapshot.applied))
        self.state.restore(snapshot, clock.source.steady_us())
        self.log.restart(snapshot.epoch, snapshot.applied)
        self._publish_configuration()

    def apply_configuration(self, change: ConfigurationChange) -> None:
        """Apply a complete version in place of a delta that did not apply."""
        self.state.apply_full_configuration(change)
        self._publish_configuration()

    def _publish_configuration(self) -> None:
        newest = self.state.configuration
        self.follower.configuration_digest = newest.digest if newest is not None else ""
        self.follower.wants_full = self.state.needs_full
