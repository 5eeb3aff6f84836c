"""The simulator adapter: runs the policy behind the simulator's protocol, over standard input and output.

It decodes frames of events, passes them to the ``RouterPolicy`` of each instance, and encodes the actions as
a reply frame. It makes no decisions.
"""

from __future__ import annotations

import gc
import sys
import traceback
from typing import BinaryIO

from magpieshift.policy.errors import SettingsError, WireError
from magpieshift.policy.events import Event
from magpieshift.policy.router_policy import RouterPolicy
from magpieshift.policy.simulator_codec import FRAME_HEADER, Boot, EventFrame, Stop
from magpieshift.policy.simulator_reply import ReplyFrame
from magpieshift.policy.simulator_settings import parse_settings


class Simulator:
    """The router instances of this process, by number; they share only the connection to the simulator."""

    def __init__(self) -> None:
        self.routers: dict[int, RouterPolicy] = {}

    def answer(self, frame: EventFrame) -> bytes:
        """Process a batch and return its reply frame; the order of each instance's events is kept."""
        reply = ReplyFrame(frame.number)
        pending: dict[int, list[Event]] = {}
        for instance, event in frame.events():
            if isinstance(event, Boot):
                pending[instance] = []
                self._boot(reply, instance, event)
            elif isinstance(event, Stop):
                pending.pop(instance, None)
                self.routers.pop(instance, None)
            else:
                pending.setdefault(instance, []).append(event)
        for instance, events in pending.items():
            self._handle(reply, instance, frame.now_us, events)
        return reply.encode()

    def _boot(self, reply: ReplyFrame, instance: int, boot: Boot) -> None:
        try:
            self.routers[instance] = RouterPolicy(parse_settings(boot.text), boot.seed)
        except SettingsError as err:
            self.routers.pop(instance, None)
            reply.add_error(instance, str(err))

    def _handle(self, reply: ReplyFrame, instance: int, now_us: int, events: list[Event]) -> None:
        router = self.routers.get(instance)
        if router is None:
            return
        try:
            actions = router.handle(now_us, events)
        except Exception as err:  # a fault in the policy: report it and go on with the other instances
            traceback.print_exc(file=sys.stderr)
            reply.add_error(instance, f"{type(err).__name__}: {err}")
            return
        for action in actions:
            reply.add(instance, action)


def read_frame(stream: BinaryIO) -> EventFrame | None:
    """The next batch, or None if the input ends between frames; raises ``WireError`` if it ends inside
    one."""
    header = stream.read(FRAME_HEADER.size)
    if not header:
        return None
    if len(header) < FRAME_HEADER.size:
        raise WireError(
            f"offset {len(header)}: input ends inside the frame header of {FRAME_HEADER.size} bytes"
        )
    number, length = FRAME_HEADER.unpack(header)
    body = stream.read(length)
    if len(body) < length:
        offset = FRAME_HEADER.size + len(body)
        raise WireError(f"batch {number}: offset {offset}: input ends inside a frame body of {length} bytes")
    return EventFrame(number, body)


def main() -> int:
    """Process batches until the input ends; returns the exit code."""
    gc.freeze()  # imported objects live as long as the process: exclude them from garbage collection
    simulator = Simulator()
    try:
        while (frame := read_frame(sys.stdin.buffer)) is not None:
            sys.stdout.buffer.write(simulator.answer(frame))
            sys.stdout.buffer.flush()
    except WireError as err:
        print(f"magpieshift.policy: {err}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
