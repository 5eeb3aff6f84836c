"""A drain on command while clients still read their answers: do they get all that was owed before it?"""

from __future__ import annotations

import asyncio
import os
import time
from dataclasses import dataclass, field
from pathlib import Path

import standin
from standin import HOST, Ask, ClientLink, Site

OBJECT_BYTES = 240_000  # the largest object
READ_BYTES_PER_S = 1e6  # what slow clients read at most
RECEIVE_BUFFER = 65_536
FIRST_REQUESTS = 10  # of the 32 that may be open on a connection
CALL_AFTER_S = 0.2
FURTHER_EVERY_S = 0.6
FURTHER_FOR_S = 1.9  # the front and its clients have 4 s
READ_WITHIN_S = 30.0


@dataclass
class Client:
    """A client that reads slowly, and uses its connection until it has read that it must not."""

    name: str
    link: ClientLink
    sent_s: dict[int, float] = field(default_factory=dict)
    """When each request was sent, by stream."""

    def send(self, site: Site) -> None:
        """Send the next request."""
        stream = len(self.sent_s) + 1
        fields = standin.media(standin.request_id(), "7f3a9c21e0b4d655", part=stream)
        self.sent_s[stream] = time.time()
        self.link.send(standin.request_frame(stream, fields))
        site.record.write(self.name, "sent request", stream, fields["i"])

    @property
    def may_send(self) -> bool:
        """Whether its connection is open, as far as it has read."""
        return not (self.link.is_over or self.link.told_to_go)

    def is_whole(self, stream: int) -> bool:
        """Whether it has read a whole answer to a request."""
        return stream in self.link.answers


async def _call(address: str, word: str) -> str:
    """Call the operators' door."""
    host, port = address.split(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(word.encode() + b"\n")
    answer = (await reader.readline()).decode().strip()
    writer.close()
    return answer


async def _use_on(site: Site, client: Client, until_s: float) -> None:
    """Go on asking, a request now and then."""
    while time.monotonic() < until_s:
        await asyncio.sleep(FURTHER_EVERY_S)
        if not client.may_send:
            return
        client.send(site)


async def case(site: Site, has_trouble: bool) -> list[str]:
    """Three slow clients, each with ten answers to read, and LAMEDUCK meanwhile."""
    body = os.urandom(OBJECT_BYTES)

    async def answer(ask: Ask) -> None:
        site.record.write("cache got", ask.ident, ask.fields)
        ask.answer("data", f"tag=t1,minted={int(time.time() * 1000)},how=warm", body)

    cache = await site.endpoint("s-cache", answer)
    origin = await site.endpoint("s-origin", answer)
    members = [
        standin.member("s-cache", cache.port, "small-box"),
        standin.member("s-origin", origin.port, "origin", "norte"),
    ]
    config = standin.configuration(site.log.port, members)
    config["console"] = f"{HOST}:{standin.free_port()}"
    await site.start_router(config)
    clients = [
        Client(f"client-{number}", await site.client(READ_BYTES_PER_S, RECEIVE_BUFFER))
        for number in (1, 2, 3)
    ]
    for client in clients:
        for _ in range(FIRST_REQUESTS):
            client.send(site)
    await asyncio.sleep(CALL_AFTER_S)
    if has_trouble:
        site.record.write("LAMEDUCK:", await _call(config["console"], "LAMEDUCK"))
    until_s = time.monotonic() + FURTHER_FOR_S
    await asyncio.gather(*[_use_on(site, client, until_s) for client in clients])
    broken = []
    for client in clients:
        link = client.link
        await link.wait_for(
            lambda link=link, client=client: link.is_over or len(link.answers) == len(client.sent_s),  # type: ignore[misc]
            READ_WITHIN_S,
        )
        for stream in client.sent_s:
            answers = link.answers.get(stream, [])
            site.record.write(client.name, "request", stream, "got", *(answers or ["no whole answer"]))
            if len(answers) > 1:
                broken.append(f"{client.name}: request {stream} got {len(answers)} answers")
        # Judged are only the requests from before the call: none of them crossed a close.
        lost = [stream for stream in range(1, FIRST_REQUESTS + 1) if not client.is_whole(stream)]
        if lost:
            how = "its connection ended" if link.is_over else "its connection is open"
            broken.append(f"{client.name}: requests {lost} were taken and got no whole answer, {how}")
    return broken


if __name__ == "__main__":
    standin.main(case, Path(__file__).parent)
