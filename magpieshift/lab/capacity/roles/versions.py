"""Router, control: the cost of putting a version in force on a router, by the number of caches in its
list."""

from __future__ import annotations

import asyncio
import os
import tempfile
from pathlib import Path

from magpieshift.control import sexp
from magpieshift.control.document_changes import document_digest
from magpieshift.control.version_content import FullContent
from magpieshift.control.version_records import OfferOutcome, VersionOffer
from magpieshift.extensions.runner import Installation, Options
from magpieshift.lab.capacity import fleet
from magpieshift.lab.capacity.documents import settings, with_change
from magpieshift.lab.capacity.processor import count_processor_time
from magpieshift.lab.capacity.role import Budget, Resource, Sample
from magpieshift.lab.emulators.loopback_installation import LoopbackInstallation

MEASURED_VERSIONS = 15  # versions in one measurement
BUDGET_MS = 10 * fleet.CONTROL_CPU_PERCENT / 2 / fleet.VERSIONS_PER_S
BUDGET = Budget(
    BUDGET_MS, f"half of {fleet.CONTROL_CPU_PERCENT}% of a core at {fleet.VERSIONS_PER_S:.2f} a second"
)


class ZonedInstallation(LoopbackInstallation):
    """A loopback installation whose settings have as many zones as the target fleet."""

    def settings(self) -> dict[str, object]:
        """Settings with ``fleet.ZONES`` zones and the ports of this installation."""
        return settings(fleet.ZONES, f"127.0.0.1:{self.change_log.port}", f"127.0.0.1:{self.router_port}")


class RouterVersions:
    """Versions sent as full documents, each with one changed setting. The router parses, checks, stores and
    commits each of them."""

    name = "router: versions"
    quantity = "caches listed"
    target = float(fleet.CACHES)
    sizes = (10.0, 125.0, 250.0, 500.0, 1000.0, 2000.0)
    quick_sizes = (10.0, 125.0, 250.0, 500.0)
    repeats = 2
    simulated = False
    resources = (Resource("processor", "ms a version", BUDGET),)

    def measure(self, size: float, seed: int, duration_s: float) -> Sample:
        """Put versions in force on a router with ``size`` caches in its list."""
        return asyncio.run(self._measure(int(size)))

    async def _measure(self, caches: int) -> Sample:
        emulated = ZonedInstallation()
        await emulated.start(caches)
        with tempfile.TemporaryDirectory(prefix="magpieshift-lab-") as folder:
            start = emulated.write_settings(Path(folder))
            installation = Installation(Options(str(start), os.path.join(folder, "state")))
            installation.router.start()
            installation.manager.start()
            try:
                async with asyncio.timeout(30):
                    while installation.router.engine.endpoint_count < caches + 1:
                        await asyncio.sleep(0.01)
                spent_s = await self._apply_versions(installation, emulated.settings())
            finally:
                await installation.manager.stop()
                installation.router.close()
                emulated.stop()
        return Sample(caches, {"processor": 1e3 * spent_s / MEASURED_VERSIONS})

    @staticmethod
    async def _apply_versions(installation: Installation, data: dict[str, object]) -> float:
        """Offer the versions one after another; returns the processor seconds of all of them."""
        done: asyncio.Queue[OfferOutcome] = asyncio.Queue()
        installation.manager.listeners.append(lambda answer, apply_us, pause_us: done.put_nowait(answer))
        offers = []
        for number in range(1, MEASURED_VERSIONS + 1):
            document = with_change(data, number)
            offers.append(
                VersionOffer(
                    number,
                    document_digest(document),
                    "lab",
                    payload=FullContent(sexp.format_document(document)),
                )
            )
        with count_processor_time() as spent:
            for offer in offers:
                installation.manager.offer(offer)
                answer = await done.get()
                if not answer.accepted:
                    raise RuntimeError(f"version {offer.number} was rejected: {answer.detail}")
        return spent.seconds
