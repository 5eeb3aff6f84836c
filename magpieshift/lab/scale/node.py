"""A source or relay of the fan-out tier of a run, in a separate process: the real node, connected to the
ports in its start message."""

from __future__ import annotations

import asyncio

from magpieshift.lab.scale import process_loop
from magpieshift.lab.scale.messages import Message, Ready, StartRelay, StartSource
from magpieshift.relay.node import RelayNode, RelayOptions, SourceNode, SourceOptions
from magpieshift.relay.selection import RelayAddress

LOOPBACK = "127.0.0.1"


def _build_node(message: Message) -> SourceNode | RelayNode:
    match message:
        case StartSource(log_port=log_port, versions=versions, port=port):
            return SourceNode(SourceOptions((LOOPBACK, log_port), f"{LOOPBACK}:{port}", versions))
        case StartRelay(name=name, region=region, source_port=source_port, port=port):
            source = RelayAddress("source", region, f"{LOOPBACK}:{source_port}")
            return RelayNode(RelayOptions((source,), f"{LOOPBACK}:{port}", name, region))
        case other:
            raise RuntimeError(f"a node cannot handle a message of kind {other.kind!r}")


async def run() -> None:
    """Run the process: a source or relay, until the end of standard input."""
    running: list[tuple[SourceNode | RelayNode, asyncio.Task[None]]] = []

    async def handle(message: Message) -> Message | None:
        node = _build_node(message)
        ready = asyncio.Event()
        task = asyncio.ensure_future(node.run(lambda port: ready.set()))
        task.add_done_callback(lambda _: ready.set())
        running.append((node, task))
        await ready.wait()
        if task.done():
            raise RuntimeError("the node stopped before it was ready")
        return Ready(ports={"node": node.service.port})

    await process_loop.serve(handle)
    for node, task in running:
        node.stop()
        await asyncio.wait([task])
