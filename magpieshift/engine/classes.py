"""Which number each class of requests has, as classes come, go and change while requests are open. No I/O.

A class keeps its number as long as it exists. One that goes leaves its number to the requests still open in
it, with the figures they were taken under; the number is given to a new class only once none is open any
more.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence, Set
from dataclasses import dataclass

from magpieshift.policy.settings import RequestClass


@dataclass(frozen=True)
class ClassPlan:
    """The numbers after a change."""

    numbers: Mapping[str, int]  # of the classes that exist
    figures: tuple[RequestClass, ...]  # by number, those of classes that have gone included
    fresh: frozenset[int]  # numbers of which nothing that was learned holds any more


def first(names: Sequence[str], figures: Sequence[RequestClass]) -> ClassPlan:
    """The numbers at the start: the order of the document."""
    return ClassPlan({name: i for i, name in enumerate(names)}, tuple(figures), frozenset())


def plan(old: ClassPlan, names: Sequence[str], figures: Sequence[RequestClass], busy: Set[int]) -> ClassPlan:
    """The numbers for new classes; ``busy`` are those with requests open.

    A number that was in use under the old plan is not given away, busy or not: requests may still come under
    it until the change is made."""
    wanted = dict(zip(names, figures, strict=True))
    taken = set(old.numbers.values())
    free = [number for number in range(len(old.figures)) if number not in taken and number not in busy]
    after = list(old.figures)
    numbers: dict[str, int] = {}
    fresh: set[int] = set()
    for name, cls in wanted.items():
        number = old.numbers.get(name)
        if number is None:
            number = free.pop(0) if free else len(after)
            fresh.add(number)
            after[number : number + 1] = [cls]
        after[number] = cls
        numbers[name] = number
    while after and free and free[-1] == len(after) - 1:  # numbers at the end that nobody uses
        after.pop()
        free.pop()
    return ClassPlan(numbers, tuple(after), frozenset(fresh))
