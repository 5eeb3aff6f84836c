"""Shared by all hand-written files: pydantic forms whose validation reports all errors at once."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Annotated, Any, TypeVar

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from magpieshift.control import sexp
from magpieshift.control.errors import Problem, UnusableDocumentError

Seconds = Annotated[float, Field(ge=0, le=86_400, allow_inf_nan=False)]
Lines = Mapping[sexp.EntryPath, int]
"""The line number of each entry in its file."""


def nearest_line(path: sexp.EntryPath, lines: Lines) -> int:
    """The line number of an entry, or of its innermost enclosing entry that has one; 0 if none has."""
    return next((lines[path[:end]] for end in range(len(path), 0, -1) if path[:end] in lines), 0)


class Form(BaseModel):
    """A form whose entry names are the field names with hyphens; unknown entries are errors."""

    model_config = ConfigDict(
        extra="forbid", alias_generator=lambda name: name.replace("_", "-"), populate_by_name=True
    )


AnyForm = TypeVar("AnyForm", bound=Form)


def validate_form(form: type[AnyForm], data: Mapping[str, Any], lines: Lines) -> AnyForm:
    """Validate data as a form; ``UnusableDocumentError`` lists every error with its path and line, and what
    was found and expected."""
    try:
        return form.model_validate(data)
    except ValidationError as err:
        raise UnusableDocumentError(
            [
                Problem(
                    " ".join(map(str, error["loc"])),
                    lines.get(tuple(map(str, error["loc"])), 0),
                    sexp.shorten(error["input"]),
                    str(error["msg"]).removeprefix("Input should be "),
                )
                for error in err.errors(include_url=False)
            ]
        ) from None
