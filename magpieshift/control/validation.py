"""What files for people have in common: forms that tell all that is wrong with them at once."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Annotated, Any, TypeVar

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from magpieshift.control import sexp
from magpieshift.control.sexp import Problem, Unusable

Seconds = Annotated[float, Field(ge=0, le=86_400, allow_inf_nan=False)]
Lines = Mapping[sexp.Path, int]  # where in its file each entry stands


class Form(BaseModel):
    """Entries in words with hyphens; what is not known is a mistake."""

    model_config = ConfigDict(
        extra="forbid", alias_generator=lambda n: n.replace("_", "-"), populate_by_name=True
    )


F = TypeVar("F", bound=Form)


def checked(form: type[F], data: Mapping[str, Any], lines: Lines) -> F:
    """The data as a form; ``Unusable`` with every mistake, its place, what was found and what expected."""
    try:
        return form.model_validate(data)
    except ValidationError as err:
        raise Unusable(
            [
                Problem(
                    " ".join(map(str, e["loc"])),
                    lines.get(tuple(map(str, e["loc"])), 0),
                    sexp.shown(e["input"]),
                    str(e["msg"]).removeprefix("Input should be "),
                )
                for e in err.errors(include_url=False)
            ]
        ) from None
