"""The network of a run, in a separate process: forwards the streams between routers and control, with faults
injected by path."""

from __future__ import annotations

from magpieshift.lab.fault_injection.link_faults import LinkFault, Network
from magpieshift.lab.scale import process_loop
from magpieshift.lab.scale.messages import Done, HealFault, InjectFault, Message, Ready, StartNetwork
from magpieshift.lab.scale.streams import StreamForwarder

CONTROL = "control"  # the end opposite the routers on every path
SEPARATOR = "/"


def port_name(path: str, target: str) -> str:
    """The name of the port on which routers on a path connect to a target."""
    return f"{path}{SEPARATOR}{target}"


def inject(links: Network, fault: InjectFault) -> None:
    """Inject a fault into the paths that it names, in its direction."""
    for path in fault.paths:
        delay_ms = fault.delay_ms.get(path, 0.0)
        ends = {"to-routers": (CONTROL, path), "from-routers": (path, CONTROL)}
        chosen = ends.values() if fault.direction == "both" else [ends[fault.direction]]
        for source, target in chosen:
            links.add_fault(
                fault.why,
                source,
                target,
                LinkFault(cut=fault.cut, kb_per_s=fault.kb_per_s, delay_ms=delay_ms),
            )


async def run() -> None:
    """Run the process: stream forwarders with injected faults."""
    links = Network()
    forwarders = list[StreamForwarder]()

    async def handle(message: Message) -> Message | None:
        match message:
            case StartNetwork(targets=targets, paths=paths):
                ports = {}
                for path in paths:
                    for name, port in targets.items():
                        forwarders.append(StreamForwarder(links, path, CONTROL, port))
                        ports[port_name(path, name)] = await forwarders[-1].start()
                return Ready(ports=ports)
            case InjectFault():
                inject(links, message)
                return Done()
            case HealFault(why=why):
                links.remove_fault(why)
                return Done()
            case other:
                raise RuntimeError(f"a network process cannot handle a message of kind {other.kind!r}")

    await process_loop.serve(handle)
    for forwarder in forwarders:
        forwarder.close()
