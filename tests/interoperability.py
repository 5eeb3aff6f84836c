"""Interoperability tests of this version with another one, run by hand with that version's interpreter.

usage: python -m tests.interoperability OTHER_PYTHON [fleet|versions|relays ...]

``OTHER_PYTHON`` is the interpreter of a virtual environment where the other version is installed with the
lab's requirements. The tests are: a fleet with routers of both versions, which must agree on the membership,
gossip and replace each other under load (``fleet``); the control stream with either version as the service
(``versions``); a relay tier and a router of different versions (``relays``). The exit code is 0 only if all
tests passed.
"""

from __future__ import annotations

import asyncio
import json
import os
import subprocess
import sys
import tempfile
import unittest
from collections.abc import Sequence
from pathlib import Path
from typing import Any

from magpieshift.lab.experiments import versions
from magpieshift.lab.fault_injection.cluster import Cluster
from magpieshift.lab.fault_injection.ports import free_ports
from tests.relay import test_processes as relay_processes

OWN = (sys.executable, "-P", "-m", "magpieshift")
READY_TIMEOUT_S = 20.0
ADMIN_COMMANDS = ("MEMBERS", "TALK", "FIGURES", "TERM")
OTHER_SERVICE = """
import asyncio, sys
from magpieshift.lab.experiments.versions import Plan, play
report = asyncio.run(play(Plan(count=40, kills=1, breaks=1, seed=8, program=tuple(sys.argv[1:]))))
print(report.findings)
sys.exit(0 if report.good else 1)
"""


def other_program(interpreter: str) -> tuple[str, ...]:
    """The command that runs the other version, independent of the working directory (``-P``)."""
    return (interpreter, "-P", "-m", "magpieshift")


async def replace_process(cluster: Cluster, name: str, program: Sequence[str]) -> None:
    """Replace a router's process by one of another program: start the successor, wait until it is ready, and
    stop the old process with SIGTERM."""
    router = cluster.routers[name]
    old = router.process
    assert old is not None
    await cluster.start_successor(name, free_ports(1)[0], (), program)
    log = cluster.folder / f"{name}.{router.starts}.log"

    async def ready() -> bool:
        return "event=ready " in log.read_text(errors="replace")

    await cluster.wait_until(ready, f"the new {name} is ready", READY_TIMEOUT_S)
    old.terminate()
    assert await asyncio.wait_for(old.wait(), READY_TIMEOUT_S) == 0, (
        f"the replaced process of {name} did not exit with code 0"
    )


async def answer_keys(cluster: Cluster, name: str) -> dict[str, list[str]]:
    """The keys of a router's answers to admin commands, or the answer's status if it is not a JSON object."""
    found: dict[str, list[str]] = {}
    for word in ADMIN_COMMANDS:
        answer = await cluster.call(name, word)
        is_object = answer.succeeded and answer.text.startswith("{")
        value: Any = json.loads(answer.text) if is_object else answer.status.value
        found[word] = sorted(value) if isinstance(value, dict) else [value]
    return found


async def fleet(other: Sequence[str]) -> None:
    """Run two routers of each version: their membership views must agree, and a router of each version is
    replaced by one of the other under load without lost or doubled requests."""
    with tempfile.TemporaryDirectory() as folder:
        async with Cluster(Path(folder), 4, seed=3, digests=True, slack_s=1.0) as cluster:
            await cluster.start("r0", "r1", program=other)
            await cluster.start("r2", "r3", program=OWN)
            await cluster.wait_until_serving("r0", "r1", "r2", "r3")
            await cluster.wait_until(cluster.views_agree, "all membership views agree", READY_TIMEOUT_S)
            assert await answer_keys(cluster, "r0") == await answer_keys(cluster, "r2"), (
                "the keys of admin answers differ between the versions"
            )
            cluster.start_load()
            await asyncio.sleep(2.0)
            await replace_process(cluster, "r0", OWN)
            await replace_process(cluster, "r2", other)
            await asyncio.sleep(2.0)
            await cluster.wait_until(cluster.views_agree, "all membership views agree again", READY_TIMEOUT_S)
            counted = await cluster.finish()
            print(
                "fleet:",
                counted,
                "broken:",
                cluster.violations,
                "unexpected exits:",
                cluster.unexpected_exits,
            )
            assert counted["sent"] > 100 and counted["lost"] == counted["doubles"] == 0, (
                cluster.lost_examples()
            )
            assert not cluster.violations and not cluster.unexpected_exits


async def control_stream(other: Sequence[str]) -> None:
    """Run the control stream with this version's service and the other's router, and the reverse."""
    report = await versions.play(versions.Plan(count=40, kills=1, breaks=1, seed=8, program=tuple(other)))
    print("versions, own service:", report.findings)
    assert report.good
    command = [other[0], "-P", "-c", OTHER_SERVICE, *OWN]
    done = subprocess.run(command, capture_output=True, text=True)
    print("versions, other service:", done.stdout.strip(), done.stderr[-2000:] if done.returncode else "")
    assert done.returncode == 0


def relay_tier(other: Sequence[str], other_processes: frozenset[str]) -> None:
    """Run the relay tests with the processes named in ``other_processes`` started from the other version."""

    class MixedVersions(relay_processes.Processes):
        async def start(self, name: str, *words: str) -> None:
            program = other if name in other_processes else OWN
            with (self.folder / f"{name}.log").open("ab") as log:
                self.processes[name] = await asyncio.create_subprocess_exec(
                    *program, *words, stderr=log, env=os.environ
                )

    MixedVersions.__name__ = f"MixedVersions, {', '.join(sorted(other_processes))} of the other version"
    suite = unittest.defaultTestLoader.loadTestsFromTestCase(MixedVersions)
    result = unittest.TextTestRunner().run(suite)
    print("relays:", sorted(other_processes), result)
    assert result.wasSuccessful()


def main(arguments: list[str]) -> int:
    """Run the named tests, or all of them."""
    other = other_program(arguments[0])
    wanted = arguments[1:] or ["fleet", "versions", "relays"]
    if "fleet" in wanted:
        asyncio.run(fleet(other))
    if "versions" in wanted:
        asyncio.run(control_stream(other))
    if "relays" in wanted:
        relay_tier(other, frozenset({"source", "a", "b"}))
        relay_tier(other, frozenset({"router"}))
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
