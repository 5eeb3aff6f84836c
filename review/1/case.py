"""A broken configuration and then a good one: do the good one's rules bind for what may run once only?"""

from __future__ import annotations

import asyncio
import copy
import os
import signal
import time
from pathlib import Path

import standin
from standin import FAILED, LATE_BY_S, REFUSED, SERVED, Ask, Site

AFTER_START_S = 1.5  # no SIGHUP within the first second
BETWEEN_S = 2.0
BINDS_AFTER_S = 1.5  # from 1.2 s after SIGHUP the new rules bind
WRITES = 10
WRITE_EVERY_S = 0.3
WAIT_MS = 3000
BODY_BYTES = 4000


class Origin:
    """Runs what has come whole to it; the connection of a request that has begun is reset, once for each."""

    def __init__(self, site: Site) -> None:
        self._site = site
        self.runs: dict[str, int] = {}

    async def answer(self, ask: Ask) -> None:
        """Run a request."""
        self.runs[ask.ident] = self.runs.get(ask.ident, 0) + 1
        self._site.record.write("origin ran", ask.ident, "time", self.runs[ask.ident], ask.fields)
        if self.runs[ask.ident] == 1:
            self._site.record.write("origin resets the connection under", ask.ident)
            ask.link.writer.transport.abort()
            return
        ask.answer("data", f"tag=t1,minted={int(time.time() * 1000)},how=warm", b"saved")


async def case(site: Site, has_trouble: bool) -> list[str]:
    """A class that may be repeated becomes one that may not; in between comes a file that lacks a zone."""
    origin_runs = Origin(site)

    async def lacks_all(ask: Ask) -> None:
        ask.answer("absent")

    cache = await site.endpoint("s-cache", lacks_all)
    origin = await site.endpoint("s-origin", origin_runs.answer)
    members = [
        standin.member("s-cache", cache.port, "small-box"),
        standin.member("s-origin", origin.port, "origin", "norte"),
    ]
    config = standin.configuration(site.log.port, members)
    router = await site.start_router(config)
    await asyncio.sleep(AFTER_START_S)
    if has_trouble:
        broken_config = copy.deepcopy(config)
        del broken_config["settings"]["Zones"][
            -1
        ]  # the file is incomplete: the router's own zone is left out
        router.config = broken_config
        router.write_config()
        site.record.write("configuration: Zones is", broken_config["settings"]["Zones"])
        router.signal(signal.SIGHUP)
        await asyncio.sleep(BETWEEN_S)
    good = copy.deepcopy(config)
    write_class = good["settings"]["Classes"][1]
    write_class["Effect"] = "single_shot"
    router.config = good
    router.write_config()
    site.record.write("configuration: complete,", write_class["Name"], "is", write_class["Effect"])
    router.signal(signal.SIGHUP)
    await asyncio.sleep(BINDS_AFTER_S)
    link = await site.client()
    idents = {}
    for stream in range(1, WRITES + 1):
        idents[stream] = standin.request_id()
        fields = standin.write(idents[stream], f"{stream:016x}", WAIT_MS)
        site.record.write("client sent write", stream, idents[stream])
        link.send(standin.request_frame(stream, fields, os.urandom(BODY_BYTES)))
        await asyncio.sleep(WRITE_EVERY_S)
    await link.wait_for(lambda: len(link.answers) == WRITES or link.is_over, WAIT_MS / 1000 + LATE_BY_S)
    broken = []
    for stream, ident in idents.items():
        answers = link.answers.get(stream, [])
        runs = origin_runs.runs.get(ident, 0)
        site.record.write("write", stream, ident, "ran", runs, "times, got", *(answers or ["no answer"]))
        if runs > 1:
            broken.append(f"write {stream} ({ident}) ran {runs} times, and may run once only")
        if len(answers) != 1 or answers[0].code not in (SERVED, REFUSED, FAILED):
            broken.append(f"write {stream} ({ident}) got {len(answers)} answers")
        elif answers[0].code == REFUSED and runs:
            broken.append(f"write {stream} ({ident}) ran and was refused, which says that it may be repeated")
    if router.has_ended:
        broken.append("the router has ended")
    return broken


if __name__ == "__main__":
    standin.main(case, Path(__file__).parent)
