"""The capture extension: records all that goes into and comes out of a router's policy."""

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

MIN_KEY_BYTES = 16  # shorter keys can be searched
MAX_KEY_BYTES = hashlib.blake2b.MAX_KEY_SIZE
OBJECT_NUMBER_BYTES = 8


class CaptureRecording(BaseExtension):
    """Owner of the recorder."""

    name = "capture"

    def __init__(
        self, router: EdgeRouter, folder: str, limits: Limits | None = None, hashed: bool = False
    ) -> None:
        """``hashed``: object numbers are hashes under a key."""
        self.recorder = attach(router, folder, limits, hashed)

    def start(self) -> None:
        """Begin to record."""
        self.recorder.start()

    async def stop(self) -> None:
        """Write what is pending and close the files."""
        self.recorder.stop()


def attach(router: EdgeRouter, folder: str, limits: Limits | None = None, hashed: bool = False) -> Recorder:
    """A recorder of this router's policy; the caller starts and stops it."""
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
    """A function from an object's id to its number, so that a capture does not show the objects requested.

    Placement goes by these numbers: all routers of a network need the same key, or an object has another
    place at each. Raises ``ConfigError`` where the file holds no key.
    """
    try:
        key = Path(key_file).read_bytes().strip()
    except OSError as err:
        raise ConfigError(f"{key_file} cannot be read: {err.strerror or err}") from err
    if not MIN_KEY_BYTES <= len(key) <= MAX_KEY_BYTES:
        raise ConfigError(f"{key_file}: found {len(key)} bytes, expected a key of {MIN_KEY_BYTES} to 64")

    def object_number(hexadecimal: str) -> int:
        text = hexadecimal.lower().encode()
        digest = hashlib.blake2b(text, digest_size=OBJECT_NUMBER_BYTES, key=key).digest()
        return int.from_bytes(digest, "big") or 1 << 64  # so that no object has the number 0

    return object_number
