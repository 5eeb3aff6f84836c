"""The command group class and the option that commands share."""

from __future__ import annotations

import difflib

import click

JSON_OPTION = click.option("--json", "as_json", is_flag=True, help="For machines.")


class SuggestingGroup(click.Group):
    """A command group that suggests the closest name for an unknown sub-command."""

    def resolve_command(
        self, ctx: click.Context, args: list[str]
    ) -> tuple[str | None, click.Command | None, list[str]]:
        """The sub-command that the arguments name; ``UsageError`` with a suggestion if it does not exist."""
        name = args[0] if args else ""
        if name and not name.startswith("-") and self.get_command(ctx, name) is None:
            known = self.list_commands(ctx)
            close = difflib.get_close_matches(name, known, 1)
            hint = f"did you mean {close[0]!r}?" if close else f"one of: {', '.join(known)}"
            raise click.UsageError(f"no such command {name!r}; {hint}", ctx)
        return super().resolve_command(ctx, args)
