"""How far behind is whom: the report of a source or relay, and how it is asked for."""

from __future__ import annotations

from dataclasses import asdict
from typing import Any

import grpc
import grpc.aio
from google.protobuf.message import DecodeError

from magpieshift.control.client import OPTIONS, connect
from magpieshift.control.wire import control_pb2 as wire
from magpieshift.relay.fanout import Fanout
from magpieshift.relay.log import SequencedLog
from magpieshift.relay.service import Counters
from magpieshift.relay.snapshot import State

METHOD = "/magpieshift.control.v1.Control/Status"
ANSWER_S = 2.0


class Unreachable(Exception):
    """No report can be had, and why."""


def report(
    name: str,
    region: str,
    upstream: str,
    log: SequencedLog,
    state: State,
    fanout: Fanout,
    counters: Counters,
    age_us: int | None,
    now_us: int,
) -> wire.StatusReport:
    """What a source or relay tells of itself and of its followers."""
    below = fanout.report(now_us)
    version = state.configuration
    return wire.StatusReport(
        name=name,
        region=region,
        upstream=upstream,
        epoch=wire.Epoch(term=log.epoch.term, instance=log.epoch.instance),
        head=log.head,
        done=fanout.done(now_us),
        age_us=age_us,
        version=version.number if version is not None else 0,
        digest=version.digest if version is not None else "",
        followers=[
            wire.FollowerStatus(
                name=each.name,
                boot=each.boot,
                connected=each.connected,
                counts=each.counts,
                applied=each.applied,
                behind=each.behind,
                heard_us=each.heard_us,
                configuration=each.configuration,
                refused=each.refused,
                refusal=each.refusal,
                disbelieved=each.disbelieved,
            )
            for each in fanout.status(now_us)
        ],
        behind=below.behind,
        behind_count=below.behind_count,
        followers_count=below.followers,
        counters=asdict(counters),
    )


async def ask(address: str) -> wire.StatusReport:
    """The report of the source or relay at ``host:port``; ``Unreachable`` where there is none."""
    try:
        async with grpc.aio.insecure_channel(address, options=OPTIONS) as channel:
            await connect(channel)
            data: bytes = await channel.unary_unary(METHOD)(b"", timeout=ANSWER_S)
            return wire.StatusReport.FromString(data)
    except grpc.aio.AioRpcError as err:
        raise Unreachable(f"{err.code().name}: {err.details() or ''}") from None
    except (ConnectionError, TimeoutError) as err:
        raise Unreachable(str(err) or "no connection in time") from None
    except DecodeError as err:
        raise Unreachable(f"no report: {err}") from None


def as_data(report: wire.StatusReport) -> dict[str, Any]:
    """A report for machines: names as in the messages, times in microseconds."""
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
