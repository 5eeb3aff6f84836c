"""The effective settings when two processes share one router's budgets."""

import unittest
from dataclasses import replace

from magpieshift import parse
from magpieshift.policy.events import EndpointListKind
from magpieshift.policy.slow_start import permitted_rate
from tests.engine.engine_case import SECOND, EngineCase
from tests.recorded.exchange import config
from tests.test_config import PORTS


class SiblingProcesses(EngineCase):
    def test_two_processes_have_the_budgets_of_one_router(self) -> None:
        """Guards against a warming endpoint that gets twice this router's share of its slow-start rate."""
        document = parse(config(PORTS)).document
        self.engine.prepare(document, document)()
        router, shown = self.engine.policy_calls.policy, self.engine.running()
        warming = replace(self.endpoints[0].endpoint, started_us=self.clock.now - SECOND)
        self.engine.list_changed(EndpointListKind.DELTA, 2, [replace(self.endpoints[0], endpoint=warming)])
        self.clock.run()
        (cache,) = router.caches.values()
        alone = permitted_rate(router, cache)
        self.engine.set_sibling_processes(1)
        self.assertLess(2 * permitted_rate(router, cache), 1.001 * alone)
        self.assertEqual((router.settings.router_count, router.settings.zone_router_counts), (4, (0, 4)))
        self.assertEqual(self.engine.running(), shown)  # the document in force has not changed
        self.engine.prepare(document, document)()
        self.assertEqual(router.settings.router_count, 4)  # a reload keeps the sibling count
        self.engine.set_sibling_processes(0)
        self.assertEqual((router.settings.router_count, permitted_rate(router, cache)), (2, alone))


if __name__ == "__main__":
    unittest.main()
