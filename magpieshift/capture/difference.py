"""Compares recorded and replayed actions, for each request."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from magpieshift.capture.codec import RecordedAction

ATTEMPT_ACTIONS = ("Send", "Get")
"""Recorded names of the actions that start an attempt."""
ACTIONS_WITHOUT_REQUEST = ("SetTimer", "Log", "Subscribe", "FetchList")
"""Recorded names of the actions that do not belong to a single request."""
NO_ACTION = RecordedAction("nothing")
VERBS = {
    "Send": "sent",
    "Get": "sent",
    "Refuse": "refused",
    "Fail": "failed",
    "nothing": "kept waiting",
    "Cancel": "cancelled",
    "SetTimer": "timer",
}
"""By recorded name of an action: the verb that stands for it in ``Difference.kind``."""


@dataclass(frozen=True)
class Difference:
    """One decision of the replayed policy that differs from the recorded one."""

    batch: int
    """Number of the batch in the capture, from 0."""
    now_us: int
    request_id: int
    """Number of the request; 0 if the difference belongs to no request."""
    kind: str
    """The kind of difference, see ``kind_of``; reports count differences by kind."""
    recorded: tuple[RecordedAction, ...]
    replayed: tuple[RecordedAction, ...]


def kind_of(recorded: Sequence[RecordedAction], replayed: Sequence[RecordedAction]) -> str:
    """Return the kind of a difference as text; reports and their JSON use these texts as keys."""
    if sorted(recorded, key=repr) == sorted(replayed, key=repr):
        return "other order"
    old = recorded[-1] if recorded else NO_ACTION
    new = replayed[-1] if replayed else NO_ACTION
    if old.name in ATTEMPT_ACTIONS and new.name in ATTEMPT_ACTIONS:
        return _kind_of_attempt(old, new)
    old_verb = VERBS.get(old.name, old.name.lower())
    new_verb = VERBS.get(new.name, new.name.lower())
    return f"other {old_verb}" if old_verb == new_verb else f"{new_verb} instead of {old_verb}"


def _kind_of_attempt(old: RecordedAction, new: RecordedAction) -> str:
    if old.fields["store"] != new.fields["store"]:
        return "other store"
    if old.name != new.name or old.fields.get("source") != new.fields.get("source"):
        return "other source"
    if old.fields["timeout_us"] != new.fields["timeout_us"]:
        return "other time-out"
    return "other age, rank or mode"


def compare(
    batch: int, now_us: int, recorded: Sequence[RecordedAction], replayed: Sequence[RecordedAction]
) -> list[Difference]:
    """The differences of one batch, at most one for each request."""
    if recorded == replayed:
        return []
    found = []
    for request_id in dict.fromkeys(_request_of(action) for action in [*recorded, *replayed]):
        old = tuple(action for action in recorded if _request_of(action) == request_id)
        new = tuple(action for action in replayed if _request_of(action) == request_id)
        if old != new:
            found.append(Difference(batch, now_us, request_id, kind_of(old, new), old, new))
    if not found:
        found.append(Difference(batch, now_us, 0, "other order", tuple(recorded), tuple(replayed)))
    return found


def compare_errors(batch: int, now_us: int, recorded: str, replayed: str) -> list[Difference]:
    """The difference between the recorded and replayed error of the policy, if any; "" means no error."""
    if recorded == replayed:
        return []
    old = (RecordedAction(recorded),)
    new = (RecordedAction(replayed),)
    return [Difference(batch, now_us, 0, "raised otherwise", old, new)]


def _request_of(action: RecordedAction) -> int:
    return 0 if action.name in ACTIONS_WITHOUT_REQUEST else action.request_id
