"""Capture: the cost of recording one second of decisions, by the number of requests in that second."""

from __future__ import annotations

import tempfile
from pathlib import Path

from magpieshift.capture.recorder import Recorder
from magpieshift.capture.segments import FORMAT
from magpieshift.capture.wire import capture_pb2 as wire
from magpieshift.lab.capacity import fleet
from magpieshift.lab.capacity.processor import count_processor_time
from magpieshift.lab.capacity.role import Budget, Resource, Sample
from magpieshift.lab.experiments.decisions import PolicyRun
from magpieshift.policy.actions import SendCacheRequest, SendPlainRequest
from magpieshift.policy.events import Event

HALF_CORE_MS = 500.0  # processor time a second of half a core
MAX_RECORDING_FRACTION = 0.05  # recording may add this fraction of the processor time that requests may take
CAPTURE_DURATION_S = 3600.0  # recorded time that a capture has to hold
MAX_CAPTURE_BYTES = 512e6  # largest size of such a capture on disk


class RecordedRun(PolicyRun):
    """A run whose decisions pass through a recorder, if there is one."""

    def __init__(self, caches: int, seed: int, recorder: Recorder | None) -> None:
        self._recorder = recorder
        super().__init__(caches, seed)

    def _handle(self, event: Event) -> None:
        if self._recorder is None:
            super()._handle(event)
            return
        for action in self._recorder.handle(self.router, self.now, (event,)):
            if isinstance(action, SendPlainRequest | SendCacheRequest):
                self._open_attempts.append(action)


class Capture:
    """The same requests with and without recording. The processor time includes the capture's writer
    thread."""

    name = "capture"
    quantity = "requests a second"
    target = float(round(fleet.REQUESTS_PER_ROUTER_S))
    sizes = (75.0, 151.0, 302.0, 604.0, 1208.0)
    quick_sizes = (75.0, 151.0, 302.0, 604.0)
    repeats = 2
    simulated = False
    resources = (
        Resource(
            "processor",
            "ms a second",
            Budget(
                MAX_RECORDING_FRACTION * HALF_CORE_MS, "a twentieth of the half core that requests may take"
            ),
        ),
        Resource(
            "bytes",
            "bytes a second",
            Budget(MAX_CAPTURE_BYTES / CAPTURE_DURATION_S, "an hour in the 512 MB that a capture may take"),
        ),
    )

    def measure(self, size: float, seed: int, duration_s: float) -> Sample:
        """Run the same requests with and without a recorder; the difference is the cost of recording."""
        requests = int(size)
        plain_s = self._processor_s(requests, seed, None)
        with tempfile.TemporaryDirectory(prefix="magpieshift-lab-") as folder:
            recorder = Recorder(folder, wire.Header(format=FORMAT, program="lab", router="lab"))
            recorder.start()
            recorded_s = self._processor_s(requests, seed, recorder)
            if recorder.dropped:
                raise RuntimeError(f"the capture dropped {recorder.dropped} batches")
            written = sum(path.stat().st_size for path in Path(folder).iterdir())
        return Sample(size, {"processor": max(0.0, 1e3 * (recorded_s - plain_s)), "bytes": float(written)})

    @staticmethod
    def _processor_s(requests: int, seed: int, recorder: Recorder | None) -> float:
        run = RecordedRun(fleet.CACHES_PER_ZONE, seed, recorder)
        with count_processor_time() as spent:
            for _ in range(requests):
                run.request()
            if recorder is not None:
                recorder.stop()
        return spent.seconds
