"""What may stand in a plan file: its entries, their types, bounds and defaults. The file's words stand here
alone."""

from __future__ import annotations

from typing import Annotated, Literal

from pydantic import Field

from magpieshift.control.validation import Form, Seconds

PLAN_HEAD = "rollout"
"""The word with which a plan file begins."""
MAX_ROUTERS = 2000
"""Ten times the product's fleet."""
MAX_STAGES = 32
"""More than anybody watches."""
PLACEHOLDERS = ("name", "label", "term", "console")
"""What a start command may name in braces."""

Word = Annotated[str, Field(pattern=r"^[!-~]{1,64}$")]
Share = Annotated[float, Field(gt=0, le=1)]


class SideForm(Form):
    """One build: its label and the command that starts a process of it."""

    label: Word
    start: Annotated[str, Field(min_length=1, max_length=4096)]


class RouterForm(Form):
    """One router: its two admin addresses and its zone."""

    doors: Annotated[list[str], Field(min_length=2, max_length=2)]
    zone: Word = "-"


class StageForm(Form):
    """One stage: how many routers are new, of which zone, and for how long."""

    share: Share | None = None
    routers: Annotated[int, Field(ge=1)] | None = None
    zone: Word | None = None
    soak_s: Seconds = 60.0
    most_s: Annotated[float, Field(gt=0, le=86_400)] = 1_800.0


class WorseForm(Form):
    """By how much the new side may be worse."""

    served: Annotated[float, Field(gt=0, lt=1)] = 0.01
    processor: Annotated[float, Field(gt=0, le=10)] = 0.15
    memory_mb_per_min: Annotated[float, Field(gt=0, le=1e6)] = 0.5
    wrongly: Annotated[float, Field(gt=0, lt=0.5)] = 0.01


class PlanForm(Form):
    """A whole plan file."""

    name: Word
    new: SideForm
    old: SideForm
    routers: Annotated[dict[Word, RouterForm], Field(min_length=2, max_length=MAX_ROUTERS)]
    stages: Annotated[dict[Word, StageForm], Field(min_length=1, max_length=MAX_STAGES)]
    worse_by: WorseForm = WorseForm()
    most_away: Annotated[int, Field(ge=1)] = 1
    step_s: Annotated[float, Field(gt=0, le=3_600)] = 30.0
    on_stop: Literal["back", "hold"] = "back"
