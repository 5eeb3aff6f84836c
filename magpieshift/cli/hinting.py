"""What all groups of sub-commands share."""

from __future__ import annotations

import difflib

import click

JSON = click.option("--json", "as_json", is_flag=True, help="For machines.")


class Hinting(click.Group):
    """A group that hints at the word that was meant."""

    def resolve_command(
        self, ctx: click.Context, args: list[str]
    ) -> tuple[str | None, click.Command | None, list[str]]:
        word = args[0] if args else ""
        if word and not word.startswith("-") and self.get_command(ctx, word) is None:
            close = difflib.get_close_matches(word, self.list_commands(ctx), 1)
            hint = f"did you mean {close[0]!r}?" if close else f"one of: {', '.join(self.list_commands(ctx))}"
            raise click.UsageError(f"no such command {word!r}; {hint}", ctx)
        return super().resolve_command(ctx, args)
