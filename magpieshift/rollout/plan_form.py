"""Schema of a plan file: its entries with their types, bounds and defaults. The keys of the file are defined
only here."""

from __future__ import annotations

from typing import Annotated, Literal

from pydantic import Field

from magpieshift.control.validation import Form, Seconds

PLAN_HEAD = "rollout"
"""First word of a plan file's S-expression."""
MAX_ROUTERS = 2000
"""Maximum number of routers in a plan: ten times the size of the product's fleet."""
MAX_STAGES = 32
"""Maximum number of stages in a plan: more than an operator would follow."""
PLACEHOLDERS = ("name", "label", "term", "console")
"""Names that a start command may contain in braces."""

Identifier = Annotated[str, Field(pattern=r"^[!-~]{1,64}$")]
Fraction = Annotated[float, Field(gt=0, le=1)]


class BuildForm(Form):
    """One build: its label and the command that starts one of its processes."""

    label: Identifier
    start: Annotated[str, Field(min_length=1, max_length=4096)]


class RouterForm(Form):
    """One router: its two admin addresses and its zone."""

    doors: Annotated[list[str], Field(min_length=2, max_length=2)]
    zone: Identifier = "-"


class StageForm(Form):
    """One stage: how many routers run the new build, in which zone, and the minimum and maximum bake time."""

    share: Fraction | None = None
    routers: Annotated[int, Field(ge=1)] | None = None
    zone: Identifier | None = None
    soak_s: Seconds = 60.0
    most_s: Annotated[float, Field(gt=0, le=86_400)] = 1_800.0


class TolerancesForm(Form):
    """How much worse than the old side the new side may be."""

    served: Annotated[float, Field(gt=0, lt=1)] = 0.01
    processor: Annotated[float, Field(gt=0, le=10)] = 0.15
    memory_mb_per_min: Annotated[float, Field(gt=0, le=1e6)] = 0.5
    wrongly: Annotated[float, Field(gt=0, lt=0.5)] = 0.01


class PlanForm(Form):
    """The entries of a plan file."""

    name: Identifier
    new: BuildForm
    old: BuildForm
    routers: Annotated[dict[Identifier, RouterForm], Field(min_length=2, max_length=MAX_ROUTERS)]
    stages: Annotated[dict[Identifier, StageForm], Field(min_length=1, max_length=MAX_STAGES)]
    worse_by: TolerancesForm = TolerancesForm()
    most_away: Annotated[int, Field(ge=1)] = 1
    step_s: Annotated[float, Field(gt=0, le=3_600)] = 30.0
    on_stop: Literal["back", "hold"] = "back"
