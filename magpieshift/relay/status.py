"""Builds and fetches the status report of a source or relay for operators."""

from __future__ import annotations

from typing import Any

import grpc
import grpc.aio
from google.protobuf.message import DecodeError

from magpieshift.control.grpc_channel import CHANNEL_OPTIONS, connect, failure_text
from magpieshift.control.wire import control_pb2 as wire
from magpieshift.relay.errors import RelayUnreachableError
from magpieshift.relay.fanout import Fanout
from magpieshift.relay.log import SequencedLog
from magpieshift.relay.log_state import LogState
from magpieshift.relay.report import FollowerStatus
from magpieshift.relay.service_counters import ServiceCounters

STATUS_METHOD = "/magpieshift.control.v1.Control/Status"
"""gRPC method that operators' commands call for a status report."""
STATUS_TIMEOUT_S = 2.0
"""Time-out for a status report. A relay answers at once, a busy one within about a second."""


def make_status_report(
    name: str,
    region: str,
    upstream: str,
    log: SequencedLog,
    state: LogState,
    fanout: Fanout,
    counters: ServiceCounters,
    age_us: int | None,
    now_us: int,
) -> wire.StatusReport:
    """Build the report of a source or relay on itself and its followers; ``age_us`` is the age of its
    knowledge. The wire field names of reports are used only in this module."""
    below = fanout.report(now_us)
    version = state.configuration
    return wire.StatusReport(
        name=name,
        region=region,
        upstream=upstream,
        epoch=wire.Epoch(term=log.epoch.term, instance=log.epoch.instance),
        head=log.head,
        done=fanout.watermark(now_us),
        age_us=age_us,
        version=version.number if version is not None else 0,
        digest=version.digest if version is not None else "",
        followers=[_follower_row(each) for each in fanout.status(now_us)],
        behind=below.lagging_names,
        behind_count=below.lagging_count,
        followers_count=below.follower_count,
        counters=counters.as_data(),
    )


def _follower_row(status: FollowerStatus) -> wire.FollowerStatus:
    return wire.FollowerStatus(
        name=status.name,
        boot=status.boot,
        connected=status.connected,
        counts=status.may_hold_lease,
        applied=status.applied,
        behind=status.lag_entries,
        heard_us=status.silent_us,
        configuration=status.configuration_digest,
        refused=status.rejected_version,
        refusal=status.rejection_reason,
        disbelieved=status.invalid_acknowledgements,
    )


async def fetch_status(address: str) -> wire.StatusReport:
    """Fetch the report of the source or relay at ``host:port``; ``RelayUnreachableError`` if that fails."""
    try:
        async with grpc.aio.insecure_channel(address, options=CHANNEL_OPTIONS) as channel:
            await connect(channel)
            data: bytes = await channel.unary_unary(STATUS_METHOD)(b"", timeout=STATUS_TIMEOUT_S)
            return wire.StatusReport.FromString(data)
    except (grpc.aio.AioRpcError, ConnectionError, TimeoutError) as err:
        raise RelayUnreachableError(failure_text(err)) from None
    except DecodeError as err:
        raise RelayUnreachableError(f"the status report cannot be decoded: {err}") from None


def status_as_data(report: wire.StatusReport) -> dict[str, Any]:
    """Convert a report to JSON data: names as in the wire messages, times in microseconds."""
    names = ("name", "region", "upstream", "head", "done", "version", "digest", "behind_count")
    data: dict[str, Any] = {name: getattr(report, name) for name in names}
    data["epoch"] = {"term": report.epoch.term, "instance": report.epoch.instance}
    data["age_us"] = report.age_us if report.HasField("age_us") else None
    data["behind"] = list(report.behind)
    data["followers_count"] = report.followers_count
    data["counters"] = dict(sorted(report.counters.items()))
    data["followers"] = [
        {field.name: getattr(each, field.name) for field in each.DESCRIPTOR.fields}
        for each in report.followers
    ]
    return data
