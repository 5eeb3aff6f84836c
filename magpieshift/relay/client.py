"""Drives a ``Follower``: keeps one gRPC stream at a time, to the relay that its ``RelaySelection``
chooses."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Coroutine
from typing import Any, Protocol

from magpieshift import clock
from magpieshift.background_task import BackgroundTask
from magpieshift.control.grpc_channel import STREAM_FAILURES, failure_text
from magpieshift.log import fields
from magpieshift.relay import status
from magpieshift.relay.connection import RelayConnection
from magpieshift.relay.decoding import decode_downstream
from magpieshift.relay.encoding import encode_upstream
from magpieshift.relay.errors import (
    MalformedMessageError,
    RelayChangedError,
    RelayUnreachableError,
    StreamEndedError,
)
from magpieshift.relay.follower import Follower
from magpieshift.relay.instructions import (
    ApplyConfiguration,
    ApplyEntries,
    EndStream,
    Instruction,
    RestoreSnapshot,
)
from magpieshift.relay.limits import FRESHNESS_LEASE_US
from magpieshift.relay.messages import ConfigurationChange, Snapshot
from magpieshift.relay.report import DownstreamReport
from magpieshift.relay.selection import RelayAddress, RelaySelection

log = logging.getLogger(__name__)

TICK_S = 0.1
"""Interval between checks of the follower's timers: a fifth of the probe interval."""
MAX_REASON_LENGTH = 200
"""Maximum characters that are logged of the reason why a relay was lost."""


class EntryReceiver(Protocol):
    """Applies what a follower receives. Each method runs in one turn of the event loop: when it returns,
    everything is applied and can be acknowledged. It must not raise."""

    def apply_entries(self, batch: ApplyEntries) -> None:
        """Apply the entries of a batch, in order."""
        ...

    def restore_snapshot(self, snapshot: Snapshot) -> None:
        """Replace the state by a snapshot's, without forgetting purges."""
        ...

    def apply_configuration(self, change: ConfigurationChange) -> None:
        """Apply a complete configuration version, which the follower requested."""
        ...


class RelayClient:
    """Owns a process's stream to the relay that it follows."""

    def __init__(
        self,
        follower: Follower,
        selection: RelaySelection,
        receiver: EntryReceiver,
        make_report: Callable[[int], DownstreamReport] | None = None,
    ) -> None:
        """``make_report`` is given by a relay only; it returns the report on the relay's own followers."""
        self.caught_up = asyncio.Event()
        """Set once the process has held a lease for the first time."""
        self._follower = follower
        self._selection = selection
        self._receiver = receiver
        self._make_report = make_report
        self._following = BackgroundTask("relay client", self._run)
        self._connection: RelayConnection | None = None
        # the connection to the previous relay after a planned change, until the lease there is released
        self._previous_connection: RelayConnection | None = None
        # whether the present outage has been logged at warning level: once per outage, as all relays may be
        # unreachable for a long time
        self._loss_logged = False
        self._is_receiving = True

    @property
    def relay(self) -> RelayAddress:
        """The relay that is being followed or tried."""
        return self._selection.current

    def start(self) -> None:
        """Follow relays until ``stop``."""
        self._following.start()

    def stop_receiving(self) -> None:
        """Stop applying and acknowledging messages."""
        self._is_receiving = False

    async def stop(self) -> None:
        """Release the lease and close the stream. A relay does not release: its followers may still hold
        leases that depend on its own."""
        if not self._following.is_running:
            return
        if self._connection is not None and self._make_report is None:
            last = self._follower.release_lease(clock.source.steady_us())
            await self._connection.send_last(encode_upstream(last))
        await self.close()
        await self._close_previous()

    async def close(self) -> None:
        """Close the stream at once, and keep the lease at the relay, as a killed process does."""
        self._following.cancel()
        await self._following.wait()

    async def _close_previous(self) -> None:
        previous = self._previous_connection
        self._previous_connection = None
        if previous is not None:
            await previous.close()

    async def _run(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            relay = self._selection.current
            began_s = loop.time()
            try:
                reason = await self._follow(relay)
            except RelayChangedError as err:
                log.info("switching to higher-ranked relay", extra=fields(peer=relay.name, reason=err))
                continue
            except Exception as err:  # a fault in applying one message must not stop the client
                log.exception("relay stream failed", extra=fields(peer=relay.name))
                reason = f"{type(err).__name__}: {err}"
            delay_s = self._selection.record_failure(loop.time() - began_s)
            self._log_connection_lost(relay, reason)
            await asyncio.sleep(delay_s)

    def _log_connection_lost(self, relay: RelayAddress, reason: str) -> None:
        log.log(
            logging.DEBUG if self._loss_logged else logging.WARNING,
            "relay connection lost",
            extra=fields(
                peer=relay.name,
                address=relay.address,
                reason=reason[:MAX_REASON_LENGTH],
                applied=self._follower.applied,
                next=self._selection.current.name,
            ),
        )
        self._loss_logged = True

    # --- one stream

    async def _follow(self, relay: RelayAddress) -> str:
        """Follow one relay from the join to the end of the stream; returns why it ended."""
        connection = RelayConnection(relay.address)
        must_close = True
        ticking: asyncio.Task[None] | None = None
        try:
            await connection.open()
            join = self._follower.connect(clock.source.steady_us())
            await connection.write(encode_upstream(join))
            self._connection = connection
            connection.reading = _start_task(self._read(connection, relay))
            ticking = _start_task(self._tick(connection))
            tasks = (connection.reading, ticking)
            done, _ = await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
            for task in done:
                task.result()
            return "the relay ended the stream"
        except RelayChangedError:
            # a relay's followers may hold leases that depend on the previous stream
            if self._make_report is None:
                await self._close_previous()
                self._previous_connection = connection
                must_close = False
            raise
        except MalformedMessageError as err:
            log.warning("malformed message", extra=fields(peer=relay.name, reason=err))
            self._loss_logged = True
            return str(err)
        except (*STREAM_FAILURES, StreamEndedError) as err:
            return failure_text(err)
        finally:
            self._connection = None
            if ticking is not None:
                ticking.cancel()
            if must_close:
                await connection.close()

    async def _read(self, connection: RelayConnection, relay: RelayAddress) -> None:
        """Apply the relay's messages, each in one turn of the event loop; ignore them once the client has
        changed to another relay."""
        found = False
        while (data := await connection.read()) is not None:
            if not self._is_receiving or connection is not self._connection:
                continue
            message = decode_downstream(data)
            now_us = clock.source.steady_us()
            for instruction in self._follower.receive(message, now_us):
                self._execute(instruction)
            if not found:
                found = True
                self._record_connected(relay, now_us)
            if self._follower.staleness.lease_held(now_us):
                self.caught_up.set()

    def _record_connected(self, relay: RelayAddress, now_us: int) -> None:
        self._selection.record_connected(now_us)
        self._loss_logged = False
        log.info("relay connected", extra=fields(peer=relay.name, address=relay.address))

    def _execute(self, instruction: Instruction) -> None:
        follower = self._follower
        match instruction:
            case ApplyEntries():
                self._receiver.apply_entries(instruction)
                follower.acknowledge_applied(instruction.epoch, instruction.last)
            case RestoreSnapshot(snapshot):
                self._receiver.restore_snapshot(snapshot)
                follower.acknowledge_applied(snapshot.epoch, snapshot.applied)
                log.info(
                    "snapshot restored",
                    extra=fields(
                        epoch=snapshot.epoch.term, applied=snapshot.applied, purges=len(snapshot.purges)
                    ),
                )
            case ApplyConfiguration(configuration):
                self._receiver.apply_configuration(configuration)
            case EndStream(reason, detail):
                raise StreamEndedError(f"{reason.value} {detail}".strip())

    async def _tick(self, connection: RelayConnection) -> None:
        """Send acknowledgements and probes, check for silence, and try relays that rank higher."""
        trial: asyncio.Task[bool] | None = None
        candidate: RelayAddress | None = None
        try:
            while True:
                now_us = clock.source.steady_us()
                if (end := self._follower.check(now_us)) is not None:
                    self._execute(end)
                await self._acknowledge(connection, now_us)
                await self._release_previous()
                if candidate is None and (candidate := self._selection.return_candidate(now_us)) is not None:
                    trial = asyncio.ensure_future(_can_give_lease(candidate))
                elif candidate is not None and trial is not None and trial.done():
                    self._finish_trial(candidate, trial.result(), now_us)
                    candidate = None
                    trial = None
                await asyncio.sleep(TICK_S)
        finally:
            if trial is not None:
                trial.cancel()

    async def _acknowledge(self, connection: RelayConnection, now_us: int) -> None:
        if self._follower.next_progress_us() > now_us:
            return
        report = None if self._make_report is None else self._make_report(now_us)
        progress = self._follower.progress(now_us, report)
        if progress is not None:
            await connection.write(encode_upstream(progress))

    async def _release_previous(self) -> None:
        """After a planned change, release the lease at the previous relay, once a proof of the present stream
        carries the lease."""
        previous = self._previous_connection
        if previous is None or not self._follower.lease_from_stream:
            return
        self._previous_connection = None
        await previous.send_last(encode_upstream(self._follower.release_previous()))

    def _finish_trial(self, candidate: RelayAddress, can_give_lease: bool, now_us: int) -> None:
        """Change to a relay that ranks higher if its trial succeeded."""
        if not can_give_lease:
            self._selection.reject_candidate(now_us)
            return
        self._selection.switch_to(candidate, now_us)
        raise RelayChangedError(f"{candidate.name} ranks higher and is fresh")


def _start_task(work: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
    """Start a task whose exception counts as retrieved, even if another task ends first."""
    task = asyncio.ensure_future(work)
    task.add_done_callback(lambda done: done.cancelled() or done.exception())
    return task


async def _can_give_lease(relay: RelayAddress) -> bool:
    """Whether a relay answers, and is fresh enough that its proofs give at least half a lease."""
    try:
        report = await status.fetch_status(relay.address)
    except RelayUnreachableError:
        return False
    return report.HasField("age_us") and report.age_us < FRESHNESS_LEASE_US // 2
