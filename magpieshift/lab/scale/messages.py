"""The messages between the coordinator of a run and its processes: one JSON object per line."""

from __future__ import annotations

from typing import Annotated, Literal

from pydantic import BaseModel, Field, TypeAdapter

MAX_LINE_BYTES = 256 << 20  # about ten times the size of a report on one hour of purges


class StartLog(BaseModel):
    """To a change log: listen, with ``caches`` caches in the endpoint list."""

    kind: Literal["start-log"] = "start-log"
    caches: int


class StartControl(BaseModel):
    """To a control service: listen; port 0 picks a free one."""

    kind: Literal["start-control"] = "start-control"
    port: int = 0


class StartSource(BaseModel):
    """To the source at the root of the fan-out tier: listen on ``port``, follow the change log at
    ``log_port``, and publish the version files in the folder ``versions``."""

    kind: Literal["start-source"] = "start-source"
    log_port: int
    versions: str
    port: int = 0


class StartRelay(BaseModel):
    """To a relay: follow the source at ``source_port``, and serve routers at ``port``."""

    kind: Literal["start-relay"] = "start-relay"
    name: str
    region: str
    source_port: int
    port: int


class StartNetwork(BaseModel):
    """To a network process: open one listening port for each pair of path and target, and forward its streams
    to the target's port on loopback."""

    kind: Literal["start-network"] = "start-network"
    targets: dict[str, int]
    paths: list[str]


class StartWorker(BaseModel):
    """To a worker: prepare to start hollow routers. ``drop_every`` injects a fault for tests: each router
    drops every ``drop_every``-th purge; 0 drops none."""

    kind: Literal["start-worker"] = "start-worker"
    caches: int
    settings: str
    drop_every: int = 0


class Ready(BaseModel):
    """The reply to a start message: the ports that the process listens on, by name."""

    kind: Literal["ready"] = "ready"
    ports: dict[str, int] = {}


class AcceptPurges(BaseModel):
    """To the change log: accept ``count`` purges, with creation times spread evenly over the last
    ``made_over_s`` seconds."""

    kind: Literal["tell-purges"] = "tell-purges"
    count: int
    made_over_s: float = 0.0


class ChangeEndpointList(BaseModel):
    """To the change log: move the cache at index ``place`` of the list to its next phase (draining, deleted,
    or serving again)."""

    kind: Literal["tell-list-change"] = "tell-list-change"
    place: int


class PauseChangeLog(BaseModel):
    """To the change log: reset all connections, and close the port for ``seconds``. Events are still
    accepted meanwhile."""

    kind: Literal["go-away"] = "go-away"
    seconds: float


class HeadRequest(BaseModel):
    """To the change log: request the newest sequence number and the endpoint list."""

    kind: Literal["ask-head"] = "ask-head"


class Head(BaseModel):
    """The sequence number of the last event, the number of purges accepted so far, and the complete endpoint
    list as the JSON of a watch event."""

    kind: Literal["head"] = "head"
    sequence: int
    purges: int
    list_event: str


class LogReportRequest(BaseModel):
    """To the change log: request the acceptance times of purges and the number of bytes written."""

    kind: Literal["ask-log"] = "ask-log"


class LogReport(BaseModel):
    """The acceptance time of each purge, the bytes written to all watches since the start, the number of open
    watches, and the most bytes written to any one of them."""

    kind: Literal["log-report"] = "log-report"
    accepted: list[float]
    bytes_written: int
    watches: int
    most_bytes_a_watch: int


class Publish(BaseModel):
    """To the control service: publish a version, given by number and text."""

    kind: Literal["publish"] = "publish"
    number: int
    text: str


class PublishedAt(BaseModel):
    """The time at which the control service accepted a version, on the monotonic clock."""

    kind: Literal["published-at"] = "published-at"
    at_s: float


class FollowerCountRequest(BaseModel):
    """To the control service: request the number of connected routers that have sent their name."""

    kind: Literal["ask-followers"] = "ask-followers"


class Count(BaseModel):
    """The reply to a request for a number of routers."""

    kind: Literal["count"] = "count"
    count: int


class RelayTarget(BaseModel):
    """A relay, with the port on which one router connects to it."""

    name: str
    region: str
    port: int


class RouterAddresses(BaseModel):
    """A hollow router: its name, its network path, and the ports that it connects to. Where ``relays`` are
    given, it uses them in place of the change log and the control service."""

    name: str
    path: str
    log_port: int
    control_port: int = 0
    region: str = ""
    relays: list[RelayTarget] = []


class StartRouters(BaseModel):
    """To a worker: start these routers, with the state of the change log in ``head`` and all versions up to
    ``version`` taken as received."""

    kind: Literal["start-routers"] = "start-routers"
    places: list[RouterAddresses]
    head: Head
    version: int


class CrashRouters(BaseModel):
    """To a worker: crash these routers, closing all their connections."""

    kind: Literal["crash-routers"] = "crash-routers"
    names: list[str]


class Done(BaseModel):
    """The reply to a message that was carried out and returns no data."""

    kind: Literal["done"] = "done"


class PurgesAcceptedBy(BaseModel):
    """To a worker: the first ``purges`` purges, which are all accepted so far, were made no later than
    ``at_s`` on the monotonic clock."""

    kind: Literal["made-by"] = "made-by"
    purges: int
    at_s: float


class LaggingCountRequest(BaseModel):
    """To a worker: request the number of live routers that lack any of the first ``purges`` purges, or that
    have a lower version in force."""

    kind: Literal["ask-behind"] = "ask-behind"
    purges: int
    version: int
    names: list[str] = []  # count only these routers; empty: all


class WorkerReportRequest(BaseModel):
    """To a worker: request a report of what its routers have applied of the first ``purges`` purges."""

    kind: Literal["ask-worker"] = "ask-worker"
    purges: int


class WorkerReport(BaseModel):
    """What the routers of one worker have applied. Times are on the monotonic clock."""

    kind: Literal["worker-report"] = "worker-report"
    live: int
    purges: list[float]  # by purge index: when the last router applied it; 0 where none has
    versions: dict[str, dict[int, float]]  # by network path and number: when it last came into force
    missing: list[int]  # indices of purges that some live router should have applied and has not
    lost: dict[str, int]  # by router: how many purges it should have applied and has not
    out_of_order: int
    late: list[tuple[int, float, float]]  # purges applied without a lease: index, time, lapse of the lease
    forgotten: int  # purges never received that had expired when a later one arrived, summed over routers
    version_behind: dict[str, int]  # by router: the version in force


class InjectFault(BaseModel):
    """To a network process: inject a fault into all streams of some paths, in one direction or both. While
    ``cut`` is in force, bytes are held back and not lost, as TCP retransmits after a partition."""

    kind: Literal["put-fault"] = "put-fault"
    why: str
    paths: list[str]
    direction: Literal["both", "to-routers", "from-routers"] = "both"
    cut: bool = False
    kb_per_s: float = 0.0
    delay_ms: dict[str, float] = {}  # by path


class HealFault(BaseModel):
    """To a network process: remove the fault with this name."""

    kind: Literal["heal-fault"] = "heal-fault"
    why: str


class Failed(BaseModel):
    """The reply to a message that could not be carried out."""

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
_MESSAGE_ADAPTER: TypeAdapter[Message] = TypeAdapter(Annotated[Message, Field(discriminator="kind")])


def encode(message: Message) -> bytes:
    """A message as one line."""
    return message.model_dump_json().encode() + b"\n"


def decode(line: bytes) -> Message:
    """Parse the message on a line; ``ValueError`` where it is invalid."""
    return _MESSAGE_ADAPTER.validate_json(line)
