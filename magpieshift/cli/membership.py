"""Commands on what one router sees of the others: membership and overload gossip."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Sequence
from typing import Any

import click

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
"""What is printed of each member; ``--json`` has more."""
TALK_KEYS = ("failing", "left", "over", "share", "why", "pressure", "rate")
"""What an answer to the admin command TALK must have."""
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
"""What an answer to the admin command MEMBERS must have."""
ANSWER_TIMEOUT_S = 3.0
"""For a router's admin server to answer. Chosen by trial: shorter fails while a router is busy."""
MAX_ANSWER_BYTES = 1 << 21
"""Largest answer that is read. Chosen by trial: smaller cuts off the view of a large fleet."""

CONSOLE_OPTION = click.option(
    "--console",
    envvar="EDGE_CONSOLE",
    required=True,
    type=Address(),
    help="host:port of a router's admin server.",
)


async def _send_command(host: str, port: int, command: str) -> str:
    """The line that an admin server answers."""
    async with asyncio.timeout(ANSWER_TIMEOUT_S):
        reader, writer = await asyncio.open_connection(host, port, limit=MAX_ANSWER_BYTES)
        writer.write(f"{command}\n".encode())
        line = await reader.readline()
        writer.close()
        return line.decode().strip()


def _query(console: str, command: str, keys: Sequence[str], hint: str) -> dict[str, Any]:
    """What a router's admin server answers to a command, from JSON, with these keys; ``ConfigError`` where it
    does not."""
    host, port = parse_address(console, "console")
    try:
        line = asyncio.run(_send_command(host, port, command))
    except (OSError, ValueError) as err:  # a line without an end, or no text, is a ValueError
        raise ConfigError(f"{console}: no answer: {err or 'not within 3 s'}") from err
    if not line.startswith("OK "):
        raise ConfigError(f"{console}: found {line[:120]!r}, expected OK: {hint}")
    try:
        answer = json.loads(line.removeprefix("OK "))
    except (ValueError, RecursionError):
        answer = None
    if not isinstance(answer, dict) or not answer.keys() >= set(keys):
        raise ConfigError(f"{console}: found {line[:120]!r}, expected JSON with {', '.join(keys)}")
    return answer


@click.command(epilog="\b\nExample:\n  magpieshift talk --console 127.0.0.1:6566")
@CONSOLE_OPTION
@JSON_OPTION
def talk(console: str, as_json: bool) -> None:
    """What one router reports and hears of failing endpoints, and whether it hands clients over."""
    answer = _query(console, "TALK", TALK_KEYS, "is (members (digests yes) ...) set?")
    if as_json:
        output.print_json(answer)
        return
    rows = [
        {"store": endpoint, "said by": ", ".join(reporters), "left to others": endpoint in answer["left"]}
        for endpoint, reporters in answer["failing"].items()
    ]
    output.print_rows(rows, as_json=False)
    offload = (
        f"hands over {answer['share']:.0%} ({answer['why']})" if answer["over"] else "hands nothing over"
    )
    click.echo(f"pressure {answer['pressure']:.2f}, {answer['rate']:.0f} requests a second, {offload}")


@click.command(epilog="\b\nExample:\n  magpieshift members --console 127.0.0.1:6566")
@CONSOLE_OPTION
@click.option("--history", is_flag=True, help="The last changes of its view.")
@JSON_OPTION
def members(console: str, history: bool, as_json: bool) -> None:
    """The members as one router sees them, and why it suspects any."""
    answer = _query(console, "MEMBERS", MEMBERS_KEYS, "is (members ...) set?")
    if as_json:
        output.print_json(answer)
        return
    rows = answer["history"]
    if not history:
        rows = [{name: row[name] for name in MEMBER_COLUMNS} for row in answer["members"]]
    output.print_rows(rows, as_json=False)
    isolated = ", hears nobody" if answer["isolated"] else ""
    click.echo(
        f"{answer['own']}: view {answer['view']} {answer['digest']}, {answer['here']} here{isolated}; "
        f"share {answer['share']:.4f} of all, {answer['zone_share']:.4f} of its zone"
    )
