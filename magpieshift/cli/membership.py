"""Commands that show one router's view of the other routers: membership and overload gossip."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Sequence
from typing import Any

import click

from magpieshift.admin.client import send_admin_command
from magpieshift.cli import output
from magpieshift.cli.groups import JSON_OPTION
from magpieshift.cli.parameters import Address
from magpieshift.config import ConfigError, parse_address

MEMBER_COLUMNS = (
    "name",
    "standing",
    "for_s",
    "address",
    "zone",
    "state",
    "program",
    "settings",
    "load",
    "why",
)
"""Columns of the members table; ``--json`` prints more."""
TALK_KEYS = ("failing", "left", "over", "share", "why", "pressure", "rate")
"""Keys that an answer to the admin command TALK must have."""
MEMBERS_KEYS = (
    "members",
    "history",
    "isolated",
    "own",
    "view",
    "digest",
    "here",
    "share",
    "zone_share",
)
"""Keys that an answer to the admin command MEMBERS must have."""
ANSWER_TIMEOUT_S = 3.0
"""Timeout for an answer of a router's admin server; a busy router answers late."""
MAX_SHOWN_CHARACTERS = 120
"""Length to which an answer is cut in an error message."""

CONSOLE_OPTION = click.option(
    "--console",
    envvar="EDGE_CONSOLE",
    required=True,
    type=Address(),
    help="host:port of a router's admin server.",
)


def _query(console: str, command: str, keys: Sequence[str], hint: str) -> dict[str, Any]:
    """Send an admin command and return the decoded JSON answer. ``ConfigError`` if the server rejects the
    command (``hint`` then says what to check), does not answer, or answers without these keys."""
    server = parse_address(console, "console")
    answer = asyncio.run(send_admin_command(server, command, ANSWER_TIMEOUT_S))
    if answer.refused:
        raise ConfigError(f"{console}: {answer.text[:MAX_SHOWN_CHARACTERS]}: {hint}")
    if not answer.succeeded:
        raise ConfigError(f"{console}: no answer: {answer.text}")
    try:
        data = json.loads(answer.text)
    except (ValueError, RecursionError):
        data = None
    if not isinstance(data, dict) or not data.keys() >= set(keys):
        shown = answer.text[:MAX_SHOWN_CHARACTERS]
        raise ConfigError(f"{console}: found {shown!r}, expected JSON with {', '.join(keys)}")
    return data


@click.command(epilog="\b\nExample:\n  magpieshift talk --console 127.0.0.1:6566")
@CONSOLE_OPTION
@JSON_OPTION
def talk(console: str, as_json: bool) -> None:
    """Show which endpoints routers report as failing, as one router sees it, and whether it offloads
    requests."""
    answer = _query(
        console, "TALK", TALK_KEYS, "check that the router's settings contain (members (digests yes) ...)"
    )
    if as_json:
        output.print_json(answer)
        return
    rows = [
        {"store": endpoint, "said by": ", ".join(reporters), "left to others": endpoint in answer["left"]}
        for endpoint, reporters in answer["failing"].items()
    ]
    output.print_rows(rows, as_json=False)
    offloading = f"offloads {answer['share']:.0%} ({answer['why']})" if answer["over"] else "offloads nothing"
    click.echo(f"pressure {answer['pressure']:.2f}, {answer['rate']:.0f} requests a second, {offloading}")


@click.command(epilog="\b\nExample:\n  magpieshift members --console 127.0.0.1:6566")
@CONSOLE_OPTION
@click.option(
    "--history", is_flag=True, help="Show the last changes of the router's view instead of its members."
)
@JSON_OPTION
def members(console: str, history: bool, as_json: bool) -> None:
    """Show the members as one router sees them, and why it suspects any of them."""
    answer = _query(
        console, "MEMBERS", MEMBERS_KEYS, "check that the router's settings contain (members ...)"
    )
    if as_json:
        output.print_json(answer)
        return
    rows = answer["history"]
    if not history:
        rows = [{name: row[name] for name in MEMBER_COLUMNS} for row in answer["members"]]
    output.print_rows(rows, as_json=False)
    isolated = ", isolated: receives no datagrams from other members" if answer["isolated"] else ""
    click.echo(
        f"{answer['own']}: view {answer['view']} {answer['digest']}, "
        f"{answer['here']} members present{isolated}; "
        f"share {answer['share']:.4f} of all, {answer['zone_share']:.4f} of its zone"
    )
