"""Numbers of request classes, as documents add, remove and change classes while requests are open. No I/O.

A class keeps its number as long as it exists. A removed class's number and settings remain valid for its open
requests; the number is assigned to a new class only when none of them is left.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence, Set
from dataclasses import dataclass

from magpieshift.policy.settings import RequestClass


@dataclass(frozen=True)
class ClassNumbers:
    """The numbers of the classes under one document."""

    by_name: Mapping[str, int]
    """Numbers of the document's classes."""
    classes: tuple[RequestClass, ...]
    """Class settings by number, including those of removed classes."""
    reset: frozenset[int]
    """Numbers newly assigned, for which the policy must discard learned state."""


def initial_class_numbers(names: Sequence[str], classes: Sequence[RequestClass]) -> ClassNumbers:
    """Number the classes in document order, at the start."""
    return ClassNumbers({name: number for number, name in enumerate(names)}, tuple(classes), frozenset())


def renumber_classes(
    old: ClassNumbers, names: Sequence[str], classes: Sequence[RequestClass], in_use: Set[int]
) -> ClassNumbers:
    """Number the classes of a new document; ``in_use`` holds the numbers that requests in the table have.

    A number assigned under the old document is not reassigned by this call, even if not in use: requests may
    still arrive under it until the new document is in force.
    """
    assigned = set(old.by_name.values())
    free = [number for number in range(len(old.classes)) if number not in assigned and number not in in_use]
    by_number = list(old.classes)
    by_name: dict[str, int] = {}
    reset: set[int] = set()
    for name, request_class in dict(zip(names, classes, strict=True)).items():
        number = old.by_name.get(name)
        if number is None:
            number = free.pop(0) if free else len(by_number)
            reset.add(number)
            by_number[number : number + 1] = [request_class]
        by_number[number] = request_class
        by_name[name] = number
    while by_number and free and free[-1] == len(by_number) - 1:  # drop unused numbers at the end
        by_number.pop()
        free.pop()
    return ClassNumbers(by_name, tuple(by_number), frozenset(reset))
