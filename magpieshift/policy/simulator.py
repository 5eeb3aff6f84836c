"""The simulator's adapter: plays the policy on its wire, over standard input and output.

It decides nothing: frames in, one ``RouterPolicy`` an instance, frames out.
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
    """The instances of this process, by number; they share nothing but the pipe."""

    def __init__(self) -> None:
        self.routers: dict[int, RouterPolicy] = {}

    def answer(self, frame: EventFrame) -> bytes:
        """One reply for one batch; each instance's events stay in order."""
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
        except Exception as err:  # a fault of the policy: it is reported, and the other instances go on
            traceback.print_exc(file=sys.stderr)
            reply.add_error(instance, f"{type(err).__name__}: {err}")
            return
        for action in actions:
            reply.add(instance, action)


def read_frame(stream: BinaryIO) -> EventFrame | None:
    """The next batch, or None at a clean end of input; ``WireError`` at any other."""
    header = stream.read(FRAME_HEADER.size)
    if not header:
        return None
    if len(header) < FRAME_HEADER.size:
        raise WireError(f"offset {len(header)}: input ends inside a batch header")
    number, length = FRAME_HEADER.unpack(header)
    body = stream.read(length)
    if len(body) < length:
        offset = FRAME_HEADER.size + len(body)
        raise WireError(f"batch {number}: offset {offset}: input ends inside the frame")
    return EventFrame(number, body)


def main() -> int:
    """Answer batches until the input ends; returns the exit code."""
    gc.freeze()  # what was imported lives as long as the process: not to be searched again and again
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
