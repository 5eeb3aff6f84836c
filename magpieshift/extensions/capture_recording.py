"""The capture extension: records all events passed to a router's policy and all actions it returns."""

from __future__ import annotations

import hashlib
from collections.abc import Callable
from importlib.metadata import version
from pathlib import Path

from magpieshift.app import EdgeRouter
from magpieshift.capture.policy import own_policy
from magpieshift.capture.recorder import Recorder
from magpieshift.capture.segments import FORMAT
from magpieshift.capture.wire import capture_pb2 as wire
from magpieshift.capture.writer import Limits
from magpieshift.config import ConfigError
from magpieshift.extensions.extension import BaseExtension

MIN_KEY_BYTES = 16  # a shorter key can be found by brute force
MAX_KEY_BYTES = hashlib.blake2b.MAX_KEY_SIZE
OBJECT_NUMBER_BYTES = 8


class CaptureRecording(BaseExtension):
    """Owns the recorder: starts it with the router and stops it with the router."""

    name = "capture"

    def __init__(
        self, router: EdgeRouter, folder: str, limits: Limits | None = None, hashed: bool = False
    ) -> None:
        """``hashed``: whether object numbers are keyed hashes, which the capture's header states."""
        self.recorder = attach_recorder(router, folder, limits, hashed)

    def start(self) -> None:
        """Start recording."""
        self.recorder.start()

    async def stop(self) -> None:
        """Write the queued records and close the files."""
        self.recorder.stop()


def attach_recorder(
    router: EdgeRouter, folder: str, limits: Limits | None = None, hashed: bool = False
) -> Recorder:
    """Create a recorder and attach it to this router's policy; the caller starts and stops it."""
    header = wire.Header(
        format=FORMAT,
        program=version("magpieshift"),
        policy_digest=own_policy().digest,
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
    """Return a keyed hash that maps an object's id to its number, so that captures do not reveal object ids.

    Placement depends on these numbers: all routers of a network need the same key, or each of them places an
    object elsewhere. Raises ``ConfigError`` if the file cannot be read or does not hold a key of valid
    length.
    """
    try:
        key = Path(key_file).read_bytes().strip()
    except OSError as err:
        raise ConfigError(f"key file {key_file} cannot be read: {err.strerror or err}") from err
    if not MIN_KEY_BYTES <= len(key) <= MAX_KEY_BYTES:
        raise ConfigError(f"key file {key_file}: found {len(key)} bytes, expected {MIN_KEY_BYTES} to 64")

    def object_number(hexadecimal: str) -> int:
        text = hexadecimal.lower().encode()
        digest = hashlib.blake2b(text, digest_size=OBJECT_NUMBER_BYTES, key=key).digest()
        return int.from_bytes(digest, "big") or 1 << 64  # 0 means that a request has no object

    return object_number
