"""The numbers of request classes, as classes come, go and change while requests are open. No I/O.

A class keeps its number as long as it exists. One that goes leaves its number to the requests still open in
it, with the settings they were admitted under; the number is given to a new class only once none is open.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence, Set
from dataclasses import dataclass

from magpieshift.policy.settings import RequestClass


@dataclass(frozen=True)
class ClassNumbers:
    """The numbers under one document."""

    by_name: Mapping[str, int]
    """Numbers of the classes that exist."""
    classes: tuple[RequestClass, ...]
    """Class settings by number, including those of classes that have gone."""
    reset: frozenset[int]
    """Numbers given to another class, whose learned state is to be discarded."""


def initial_class_numbers(names: Sequence[str], classes: Sequence[RequestClass]) -> ClassNumbers:
    """The numbers at the start: the order of the document."""
    return ClassNumbers({name: number for number, name in enumerate(names)}, tuple(classes), frozenset())


def renumber_classes(
    old: ClassNumbers, names: Sequence[str], classes: Sequence[RequestClass], in_use: Set[int]
) -> ClassNumbers:
    """The numbers for a new document; ``in_use`` are those with requests open.

    A number that was assigned under the old document is not given away, in use or not: requests may still
    come under it until the new document is in force.
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
    while by_number and free and free[-1] == len(by_number) - 1:  # unused numbers at the end
        by_number.pop()
        free.pop()
    return ClassNumbers(by_name, tuple(by_number), frozenset(reset))
