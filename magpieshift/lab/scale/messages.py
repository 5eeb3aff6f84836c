"""The messages between the coordinator of a run and its processes: one JSON object a line."""

from __future__ import annotations

from typing import Annotated, Literal

from pydantic import BaseModel, Field, TypeAdapter

MAX_LINE_BYTES = 256 << 20  # bytes; a report on an hour of purges takes a tenth


class StartLog(BaseModel):
    """To a change log: listen, with so many caches listed."""

    kind: Literal["start-log"] = "start-log"
    caches: int


class StartControl(BaseModel):
    """To a control service: listen; port 0 picks a free one."""

    kind: Literal["start-control"] = "start-control"
    port: int = 0


class StartSource(BaseModel):
    """To a source of the fan-out tier: follow the change log at this port and the folder of versions."""

    kind: Literal["start-source"] = "start-source"
    log_port: int
    versions: str
    port: int = 0


class StartRelay(BaseModel):
    """To a relay: follow the source that is reached at this port, and serve routers at another."""

    kind: Literal["start-relay"] = "start-relay"
    name: str
    region: str
    source_port: int
    port: int


class StartNetwork(BaseModel):
    """To a network: carry streams to these ports of loopback, each path by a port of its own for each."""

    kind: Literal["start-network"] = "start-network"
    targets: dict[str, int]
    paths: list[str]


class StartWorker(BaseModel):
    """To a worker: be ready for hollow routers. ``drop_every`` plants a fault for tests: each router skips
    every ``drop_every``-th purge; 0 for none."""

    kind: Literal["start-worker"] = "start-worker"
    caches: int
    settings: str
    drop_every: int = 0


class Ready(BaseModel):
    """The answer to a start: where the process listens, by name."""

    kind: Literal["ready"] = "ready"
    ports: dict[str, int] = {}


class AcceptPurges(BaseModel):
    """To the change log: accept so many purges; the first was made ``made_over_s`` ago, the last now."""

    kind: Literal["tell-purges"] = "tell-purges"
    count: int
    made_over_s: float = 0.0


class ChangeEndpointList(BaseModel):
    """To the change log: a cache, by its place in the list, drains, goes or serves again."""

    kind: Literal["tell-list-change"] = "tell-list-change"
    place: int


class PauseChangeLog(BaseModel):
    """To the change log: reset all connections and close the port for so long; go on accepting events."""

    kind: Literal["go-away"] = "go-away"
    seconds: float


class HeadRequest(BaseModel):
    """To the change log: which is the newest event?"""

    kind: Literal["ask-head"] = "ask-head"


class Head(BaseModel):
    """The number of the last event, of purges so far, and the list as an event's JSON."""

    kind: Literal["head"] = "head"
    sequence: int
    purges: int
    list_event: str


class LogReportRequest(BaseModel):
    """To the change log: which purges were accepted, and how many bytes were written?"""

    kind: Literal["ask-log"] = "ask-log"


class LogReport(BaseModel):
    """When each purge was accepted, bytes written on all watches since the start, and watches now."""

    kind: Literal["log-report"] = "log-report"
    accepted: list[float]
    bytes_written: int
    watches: int
    most_bytes_a_watch: int


class Publish(BaseModel):
    """To the control service: a version's number and text."""

    kind: Literal["publish"] = "publish"
    number: int
    text: str


class PublishedAt(BaseModel):
    """When a version was taken in."""

    kind: Literal["published-at"] = "published-at"
    at_s: float


class FollowerCountRequest(BaseModel):
    """To the control service: how many routers have introduced themselves and are connected?"""

    kind: Literal["ask-followers"] = "ask-followers"


class Count(BaseModel):
    """A number of something that was asked for."""

    kind: Literal["count"] = "count"
    count: int


class RelayPlace(BaseModel):
    """A relay as one router reaches it."""

    name: str
    region: str
    port: int


class Place(BaseModel):
    """A hollow router: its name, its network path, and the ports it is to use; relays, where some are given,
    in place of change log and control service."""

    name: str
    path: str
    log_port: int
    control_port: int = 0
    region: str = ""
    relays: list[RelayPlace] = []


class StartRouters(BaseModel):
    """To a worker: start these, knowing what the change log and the control service have sent so far."""

    kind: Literal["start-routers"] = "start-routers"
    places: list[Place]
    head: Head
    version: int


class CrashRouters(BaseModel):
    """To a worker: end these, with all their connections."""

    kind: Literal["crash-routers"] = "crash-routers"
    names: list[str]


class Done(BaseModel):
    """An order was carried out."""

    kind: Literal["done"] = "done"


class PurgesAcceptedBy(BaseModel):
    """To a worker: so many purges, all that there are, were made by this time of the monotonic clock."""

    kind: Literal["made-by"] = "made-by"
    purges: int
    at_s: float


class LaggingCountRequest(BaseModel):
    """To a worker: how many live routers lack any of so many purges, or this version?"""

    kind: Literal["ask-behind"] = "ask-behind"
    purges: int
    version: int
    names: list[str] = []  # only of these, where some are named


class WorkerReportRequest(BaseModel):
    """To a worker: what have your routers applied, of so many purges?"""

    kind: Literal["ask-worker"] = "ask-worker"
    purges: int


class WorkerReport(BaseModel):
    """What the routers of one process applied."""

    kind: Literal["worker-report"] = "worker-report"
    live: int
    purges: list[float]  # when the last of them had applied each; 0 where none had
    versions: dict[str, dict[int, float]]
    missing: list[int]  # purges that some live router owes and has not applied
    lost: dict[str, int]  # how many of them, by router
    out_of_order: int
    late: list[tuple[int, float, float]]  # purges applied without a lease: index, when, since when without
    forgotten: int  # purges that were too old to matter when a router had the next ones
    version_behind: dict[str, int]  # by router: the version in force


class InjectFault(BaseModel):
    """To a network: put a fault on all streams of some paths, in one direction or both. ``cut`` holds bytes
    back, as a system that sends them again would."""

    kind: Literal["put-fault"] = "put-fault"
    why: str
    paths: list[str]
    direction: Literal["both", "to-routers", "from-routers"] = "both"
    cut: bool = False
    kb_per_s: float = 0.0
    delay_ms: dict[str, float] = {}  # by path


class HealFault(BaseModel):
    """To a network: take a fault away again."""

    kind: Literal["heal-fault"] = "heal-fault"
    why: str


class Failed(BaseModel):
    """The process cannot carry out an order."""

    kind: Literal["failed"] = "failed"
    reason: str


Message = (
    StartLog
    | StartControl
    | StartSource
    | StartRelay
    | StartNetwork
    | StartWorker
    | Ready
    | AcceptPurges
    | ChangeEndpointList
    | PauseChangeLog
    | HeadRequest
    | Head
    | LogReportRequest
    | LogReport
    | Publish
    | PublishedAt
    | FollowerCountRequest
    | Count
    | StartRouters
    | CrashRouters
    | Done
    | LaggingCountRequest
    | WorkerReportRequest
    | WorkerReport
    | InjectFault
    | HealFault
    | PurgesAcceptedBy
    | Failed
)
_ANY: TypeAdapter[Message] = TypeAdapter(Annotated[Message, Field(discriminator="kind")])


def encode(message: Message) -> bytes:
    """A message as one line."""
    return message.model_dump_json().encode() + b"\n"


def decode(line: bytes) -> Message:
    """The message of a line; ``ValueError`` where it is none."""
    return _ANY.validate_json(line)
