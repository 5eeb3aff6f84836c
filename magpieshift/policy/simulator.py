"""The adapter: plays the module on the simulator's wire, over standard input and output.

It decides nothing: frames in, one ``RouterPolicy`` an instance, frames out.
"""

from __future__ import annotations

import gc
import sys
import traceback
from typing import BinaryIO

from magpieshift.policy import simulator_codec as wire
from magpieshift.policy.events import Event
from magpieshift.policy.router_policy import RouterPolicy


class Host:
    """The instances of this process; they share nothing but the pipe."""

    def __init__(self) -> None:
        self.routers: dict[int, RouterPolicy] = {}

    def answer(self, frame: wire.Frame) -> bytes:
        """One reply for one batch; each instance's events stay in order."""
        reply = wire.Reply(frame.number)
        pending: dict[int, list[Event]] = {}
        for who, event in frame.events():
            if isinstance(event, wire.Boot):
                pending[who] = []
                self._boot(reply, who, event)
            elif isinstance(event, wire.Stop):
                pending.pop(who, None)
                self.routers.pop(who, None)
            else:
                pending.setdefault(who, []).append(event)
        for who, events in pending.items():
            self._handle(reply, who, frame.now_us, events)
        return reply.frame()

    def _boot(self, reply: wire.Reply, who: int, boot: wire.Boot) -> None:
        try:
            self.routers[who] = RouterPolicy(wire.parse_settings(boot.text), boot.seed)
        except wire.SettingsError as err:
            self.routers.pop(who, None)
            reply.fault(who, str(err))

    def _handle(self, reply: wire.Reply, who: int, now_us: int, events: list[Event]) -> None:
        router = self.routers.get(who)
        if router is None:
            return
        try:
            actions = router.handle(now_us, events)
        except Exception as err:
            traceback.print_exc(file=sys.stderr)
            reply.fault(who, f"{type(err).__name__}: {err}")
            return
        for action in actions:
            reply.add(who, action)


def read_frame(stream: BinaryIO) -> wire.Frame | None:
    """The next batch, or None at a clean end of input."""
    head = stream.read(wire.HEADER.size)
    if not head:
        return None
    if len(head) < wire.HEADER.size:
        raise wire.WireError(f"offset {len(head)}: input ends inside a batch header")
    number, length = wire.HEADER.unpack(head)
    body = stream.read(length)
    if len(body) < length:
        at = wire.HEADER.size + len(body)
        raise wire.WireError(f"batch {number}: offset {at}: input ends inside the frame")
    return wire.Frame(number, body)


def main() -> int:
    """Answer batches until the input ends."""
    gc.freeze()
    host = Host()
    try:
        while (frame := read_frame(sys.stdin.buffer)) is not None:
            sys.stdout.buffer.write(host.answer(frame))
            sys.stdout.buffer.flush()
    except wire.WireError as err:
        print(f"magpieshift.policy: {err}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
