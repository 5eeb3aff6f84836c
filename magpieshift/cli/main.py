"""The tree of all commands, and the function that runs a command line; ``magpieshift.cli.errors`` defines the
exit codes."""

from __future__ import annotations

import signal
from collections.abc import Sequence

import click

from magpieshift.cli import (
    captures,
    configuration,
    control,
    lab_capacity,
    lab_episode,
    lab_fleet,
    lab_floods,
    lab_rollout,
    lab_router,
    lab_scale,
    lab_soak,
    membership,
    relays,
    rollouts,
    router,
)
from magpieshift.cli.errors import PROGRAM, exit_code_of
from magpieshift.cli.groups import SuggestingGroup

EXAMPLES = """\b
Examples:
  magpieshift config check deploy/magpieshift.sexp
  magpieshift control serve versions/ --listen 127.0.0.1:7080
  magpieshift run --config deploy/magpieshift.sexp --state state/ --control 127.0.0.1:7080
"""


@click.group(cls=SuggestingGroup, epilog=EXAMPLES, context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(package_name="magpieshift")
def cli() -> None:
    """An edge router for the caches of a small content network. Without a sub-command, a router is run with
    the settings named by EDGE_CONFIG, EDGE_LISTEN and EDGE_NAME."""


@cli.group(cls=SuggestingGroup)
def lab() -> None:
    """The laboratory: experiments with injected faults and measurements, on loopback or simulated."""
    # SIGTERM raises KeyboardInterrupt, so that a terminated experiment still stops the routers it has started
    signal.signal(signal.SIGTERM, signal.default_int_handler)


for _command in (
    router.run_,
    configuration.config,
    control.control,
    membership.members,
    membership.talk,
    rollouts.rollout,
    relays.relay,
    captures.capture,
    captures.replay,
):
    cli.add_command(_command)

for _command in (
    lab_capacity.capacity,
    lab_router.versions,
    lab_router.apply_,
    lab_router.cost,
    lab_router.decisions,
    lab_router.door,
    lab_router.handover,
    lab_router.fleet,
    lab_fleet.lab_members,
    lab_fleet.lab_overload,
    lab_fleet.fleet_run,
    lab_fleet.trials,
    lab_rollout.lab_rollout,
    lab_episode.episode,
    lab_episode.report_,
    lab_episode.demo,
    lab_scale.lab_scale,
    lab_scale.scale_process,
    lab_floods.floods,
    lab_soak.soak,
):
    lab.add_command(_command)


def run(args: Sequence[str]) -> int:
    """Run the command line and return its exit code."""
    return exit_code_of(lambda: cli.main(args=list(args), prog_name=PROGRAM, standalone_mode=False))
