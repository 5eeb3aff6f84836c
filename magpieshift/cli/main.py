"""The sub-commands; ``magpieshift.cli.errors`` has their exit codes."""

from __future__ import annotations

import signal
from collections.abc import Sequence

import click

from magpieshift.cli import capacity as capacity_command
from magpieshift.cli import captures, configuration, laboratory, relays, rollouts, router, service
from magpieshift.cli import fleet as fleet_commands
from magpieshift.cli.errors import PROGRAM, guarded
from magpieshift.cli.hinting import Hinting

EXAMPLES = """\b
Examples:
  magpieshift config check deploy/magpieshift.sexp
  magpieshift control serve versions/ --listen 127.0.0.1:7080
  magpieshift run --config deploy/magpieshift.sexp --state state/ --control 127.0.0.1:7080
"""


@click.group(cls=Hinting, epilog=EXAMPLES, context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(package_name="magpieshift")
def cli() -> None:
    """An edge router for the caches of a small content network. Without a word, one is run as EDGE_CONFIG,
    EDGE_LISTEN and EDGE_NAME say."""


@cli.group(cls=Hinting)
def lab() -> None:
    """The laboratory: failures on purpose, on loopback, and what they show."""
    # ended from outside, it still ends the routers that it has started
    signal.signal(signal.SIGTERM, signal.default_int_handler)


cli.add_command(router.run_)
cli.add_command(configuration.config)
cli.add_command(service.control)
cli.add_command(fleet_commands.members)
cli.add_command(fleet_commands.talk)
cli.add_command(rollouts.rollout)
cli.add_command(relays.relay)
cli.add_command(captures.capture)
cli.add_command(captures.replay)

lab.add_command(capacity_command.capacity)
lab.add_command(laboratory.versions)
lab.add_command(laboratory.apply_)
lab.add_command(laboratory.cost)
lab.add_command(laboratory.decisions)
lab.add_command(laboratory.door)
lab.add_command(laboratory.handover)
lab.add_command(laboratory.fleet)
lab.add_command(fleet_commands.lab_members)
lab.add_command(fleet_commands.lab_overload)
lab.add_command(fleet_commands.fleet_run)
lab.add_command(fleet_commands.trials)
lab.add_command(rollouts.lab_rollout)
lab.add_command(captures.episode)
lab.add_command(captures.report_)
lab.add_command(captures.demo)


def run(args: Sequence[str]) -> int:
    """Run the command line; its exit code."""
    return guarded(lambda: cli.main(args=list(args), prog_name=PROGRAM, standalone_mode=False))
