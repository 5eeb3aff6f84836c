"""The control service of a run, in a separate process: the real control service, driven by messages."""

from __future__ import annotations

import time

from magpieshift.control.publisher import PublishedVersion
from magpieshift.control.service import ControlService
from magpieshift.lab.scale import process_loop
from magpieshift.lab.scale.messages import (
    Count,
    FollowerCountRequest,
    Message,
    Publish,
    PublishedAt,
    Ready,
    StartControl,
)


async def run() -> None:
    """Run the process: a control service that publishes the versions it receives from the coordinator."""
    service = ControlService()

    async def handle(message: Message) -> Message | None:
        match message:
            case StartControl(port=port):
                await service.start(f"127.0.0.1:{port}")
                return Ready(ports={"control": service.port})
            case Publish(number=number, text=text):
                at_s = time.monotonic()
                service.publish(PublishedVersion.parse(number, text))
                return PublishedAt(at_s=at_s)
            case FollowerCountRequest():
                return Count(count=sum(bool(stream.subscriber.router) for stream in service.streams))
            case other:
                raise RuntimeError(f"the control service cannot handle a message of kind {other.kind!r}")

    await process_loop.serve(handle)
    if service.port:
        await service.stop()
