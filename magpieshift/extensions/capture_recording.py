"""Recording, as a fitting of a router."""

from __future__ import annotations

import hashlib
from collections.abc import Callable
from importlib.metadata import version
from pathlib import Path

from magpieshift.app import EdgeRouter
from magpieshift.capture.policy import own
from magpieshift.capture.recorder import Recorder
from magpieshift.capture.segments import FORMAT
from magpieshift.capture.wire import capture_pb2 as wire
from magpieshift.capture.writer import Limits
from magpieshift.config import ConfigError
from magpieshift.extensions.extension import BaseExtension

LEAST_KEY = 16


class CaptureRecording(BaseExtension):
    """Records all that a router's module is told and says; owner of the recorder."""

    name = "capture"

    def __init__(self, router: EdgeRouter, folder: str, limits: Limits | None = None, hashed: bool = False):
        self.recorder = attach(router, folder, limits, hashed)

    def start(self) -> None:
        self.recorder.start()

    async def stop(self) -> None:
        self.recorder.stop()


def attach(router: EdgeRouter, folder: str, limits: Limits | None = None, hashed: bool = False) -> Recorder:
    """A recorder of all that this router's module is told and says; ``start`` and ``stop`` are the
    caller's."""
    header = wire.Header(
        format=FORMAT,
        program=version("magpieshift"),
        policy_digest=own().digest,
        router=router.document.name,
        config_version=router.version,
        hashed=hashed,
    )
    recorder = Recorder(folder, header, limits)
    recorder.config_version = lambda: router.version
    recorder.listed_endpoints = router.engine.endpoint_names
    router.engine.policy_observer = recorder
    return recorder


def keyed_hash(key_file: str) -> Callable[[str], int]:
    """A router's number for an object as a keyed hash of its id, so that a capture does not tell which
    objects were wanted. Placement goes by these numbers: all routers of a network need the same key, or the
    same object has a home of its own at each. ``ConfigError`` where the file holds no key."""
    try:
        key = Path(key_file).read_bytes().strip()
    except OSError as err:
        raise ConfigError(f"{key_file} cannot be read: {err.strerror or err}") from err
    if not LEAST_KEY <= len(key) <= hashlib.blake2b.MAX_KEY_SIZE:
        raise ConfigError(f"{key_file}: found {len(key)} bytes, expected a key of {LEAST_KEY} to 64")

    def number(hexadecimal: str) -> int:
        text = hexadecimal.lower().encode()
        return int.from_bytes(hashlib.blake2b(text, digest_size=8, key=key).digest(), "big") or 1 << 64

    return number
