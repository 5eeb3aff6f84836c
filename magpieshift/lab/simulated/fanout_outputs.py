"""The outputs of simulated processes of the fan-out tier, which the simulation carries out."""

from __future__ import annotations

from dataclasses import dataclass

from magpieshift.relay.instructions import ApplyEntries, RestoreSnapshot
from magpieshift.relay.messages import DownstreamMessage, Epoch, Join, UpstreamMessage

Message = DownstreamMessage | UpstreamMessage


@dataclass(frozen=True, slots=True)
class OpenStream:
    """Open a stream to a relay or source."""

    stream_id: int  # chosen by the process that opens it
    server: str  # name of the relay or source
    join: Join  # the first message on the stream


@dataclass(frozen=True, slots=True)
class SendMessage:
    """Write a message to a stream."""

    stream_id: int
    message: Message


@dataclass(frozen=True, slots=True)
class CloseStream:
    """Close this process's end of a stream."""

    stream_id: int


@dataclass(frozen=True, slots=True)
class EffectApplied:
    """Reports that entries or a snapshot were applied, so that the simulation can check it."""

    effect: ApplyEntries | RestoreSnapshot


@dataclass(frozen=True, slots=True)
class SourceSuperseded:
    """Stop this source, because another one has a newer epoch."""

    newer_epoch: Epoch


Output = OpenStream | SendMessage | CloseStream | EffectApplied | SourceSuperseded
