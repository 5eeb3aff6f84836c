"""The items that the event loop queues for the writer's thread, and their conversion to records."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from typing import Any

from magpieshift.capture import codec, state
from magpieshift.capture.wire import capture_pb2 as wire
from magpieshift.policy.health_override import Eject, HealthOverride

NumberedName = tuple[int, str]
"""The policy's number of a request or an endpoint, and its id in the log."""


@dataclass(slots=True)
class Batch:
    """One call of the policy: its events, and the resulting actions or error."""

    now_us: int
    events: Sequence[Any]
    actions: Sequence[Any]
    error: str
    """Name of the error that the policy raised after these actions, or ""."""
    names: list[NumberedName]
    """The ids of requests and endpoints that appear for the first time."""


@dataclass(slots=True)
class Keyframe:
    """The policy's whole state, from which a replay can begin."""

    state: state.Snapshot
    endpoints: list[NumberedName]


@dataclass(slots=True)
class Reconfiguration:
    """New settings, put in force between two batches."""

    settings: state.Snapshot
    reset_classes: list[int]
    """Numbers of the classes whose statistics are reset."""
    config_version: int


@dataclass(slots=True)
class Gap:
    """A gap in the capture: batches that were dropped, and why."""

    batches: int
    from_us: int
    to_us: int
    reason: str


@dataclass(slots=True)
class Overrides:
    """Health overrides, applied between two batches."""

    now_us: int
    overrides: Sequence[HealthOverride]


Item = Batch | Keyframe | Reconfiguration | Overrides | Gap


def to_record(item: Item) -> wire.Record:
    """Convert an item to the record that is written."""
    match item:
        case Batch():
            return wire.Record(batch=_batch(item))
        case Keyframe():
            keyframe = wire.Keyframe(state=state.encode(item.state), stores=_names(item.endpoints))
            return wire.Record(keyframe=keyframe)
        case Reconfiguration():
            settings = state.encode(item.settings)
            return wire.Record(
                retune=wire.Retune(
                    settings=settings, fresh=item.reset_classes, config_version=item.config_version
                )
            )
        case Overrides():
            health_overrides = [_override(override) for override in item.overrides]
            return wire.Record(heed=wire.Heed(now_us=item.now_us, acts=health_overrides))
        case Gap():
            return wire.Record(
                gap=wire.Gap(batches=item.batches, from_us=item.from_us, to_us=item.to_us, reason=item.reason)
            )


def _batch(item: Batch) -> wire.Batch:
    return wire.Batch(
        now_us=item.now_us,
        events=[codec.write_event(event) for event in item.events if codec.is_recorded(event)],
        actions=[codec.write_action(action) for action in item.actions if codec.is_recorded(action)],
        raised=item.error,
        names=_names(item.names),
    )


def _override(override: HealthOverride) -> wire.Act:
    if isinstance(override, Eject):
        return wire.Act(store=override.endpoint, leave=True, us=override.duration_us)
    return wire.Act(store=override.endpoint, us=override.delay_us, pause_us=override.min_pause_us)


def _names(names: Iterable[NumberedName]) -> list[wire.Name]:
    return [wire.Name(id=number, ident=name) for number, name in names]
