"""Applying a new document to a running engine with open requests."""

import unittest
from dataclasses import replace
from typing import Any

from magpieshift import Document, parse
from magpieshift.config_transaction import SettingsRejectedError
from magpieshift.engine.class_numbers import initial_class_numbers
from magpieshift.engine.model import AttemptResult, Verdict
from magpieshift.engine.name_numbers import align_numbers
from magpieshift.expected_settings import expected_settings
from magpieshift.policy.events import EndpointListKind, EndpointState
from magpieshift.policy.outcomes import Outcome
from magpieshift.policy.settings import Idempotency
from tests.engine.engine_case import READ_REQUEST, SECOND, WRITE_REQUEST, EngineCase
from tests.recorded.exchange import config

PORTS = {"cache": "127.0.0.1:1", "origin": "127.0.0.1:2", "log": "127.0.0.1:3"}
DOCUMENT = parse(config(PORTS)).document


class ReconfigurationTest(EngineCase):
    """Applies documents to an engine while requests are open."""

    def setUp(self) -> None:
        super().setUp()
        self.document = DOCUMENT
        self.engine.in_force.names = DOCUMENT.names
        numbering = initial_class_numbers(DOCUMENT.names.classes, DOCUMENT.settings.classes)
        self.engine.in_force.numbering = numbering
        self.engine.in_force.class_numbers = dict(numbering.by_name)

    def document_with(self, **changes: Any) -> Document:
        """The current document with these classes (by name) or settings replaced."""
        by_name = changes.pop("classes", None)
        names = self.document.names
        if by_name is not None:
            names = replace(names, classes=tuple(by_name))
            changes["classes"] = tuple(by_name.values())
        return replace(self.document, names=names, settings=replace(self.document.settings, **changes))

    def apply(self, new: Document) -> None:
        new = align_numbers(self.document, new)
        self.engine.prepare(self.document, new)()
        self.document = new
        self.clock.run()
        self.assertEqual(self.engine.running(), expected_settings(new)["engine"])

    def test_open_requests_end_under_the_settings_they_were_admitted_under(self) -> None:
        """The class's new deadline is shorter than the open request's time so far; the request keeps the old
        one."""
        picture, basket = DOCUMENT.settings.classes
        self.submit()
        short = replace(
            picture,
            idempotency=Idempotency.NOT_IDEMPOTENT,
            deadline_us=SECOND,
            latency_objective_us=SECOND // 2,
        )
        self.apply(self.document_with(classes={"picture": short, "basket": basket}))
        self.clock.run(2 * SECOND)
        self.assertEqual(self.answers, [])
        self.finish_attempt(AttemptResult(Outcome.OK, body=b"copy"))
        self.assertEqual([a.verdict for a in self.answers], [Verdict.SERVED])
        self.submit()
        self.clock.run(SECOND)
        self.assertEqual(len(self.answers), 2)

    def test_a_class_is_replaced_while_its_requests_are_open(self) -> None:
        picture, basket = DOCUMENT.settings.classes
        self.submit(WRITE_REQUEST)
        self.apply(
            self.document_with(classes={"picture": picture, "film": replace(picture, priority_weight=9.0)})
        )
        self.assertEqual(self.engine.classes, {"picture": 0, "film": 2})  # number 1 still belongs to "basket"
        self.finish_attempt(AttemptResult(Outcome.OK, body=b"kept"))
        self.submit(replace(READ_REQUEST, class_index=2, class_name="film"))
        self.assertEqual(self.upstream.started[-1][0].request.class_name, "film")
        self.finish_attempt(AttemptResult(Outcome.OK, body=b"film"))
        self.assertEqual([a.body for a in self.answers], [b"kept", b"film"])
        self.clock.run(60 * SECOND)  # the "basket" request has left the table
        self.apply(self.document_with(classes={"picture": picture, "film": picture, "song": picture}))
        self.assertEqual(self.engine.classes["song"], 1)
        self.assertEqual(len(self.engine.policy_calls.policy.service_times_us), 3)

    def test_zones_and_kinds_may_change_their_order(self) -> None:
        """Listed endpoints refer to zones and kinds by number, so the cache must remain in its zone and
        kind."""
        names = replace(self.document.names, zones=("sea", "shop", "hub"), kinds=("source", "box", "upper"))
        reordered = replace(
            self.document,
            names=names,
            settings=replace(
                self.document.settings,
                zone=1,
                zone_hub=(0, 2, 2),
                zone_router_counts=(1, 2, 0),
                zone_link_kb_per_s=(0.0, 90000.0, 0.0),
                parent_kind=2,
                origin_kind=0,
            ),
        )
        self.submit()
        self.apply(reordered)
        self.finish_attempt(AttemptResult(Outcome.MISS))
        sent = self.upstream.started[-1][0]
        self.assertEqual(sent.endpoint.name, "s-cache")
        self.assertEqual(sent.source, self.engine.endpoints.by_number[self.endpoints[1].endpoint.number])
        self.assertEqual(
            {m.name: m.endpoint.zone for m in self.engine.endpoints.by_number.values()},
            {"s-cache": 1, "s-origin": 0},
        )

    def test_a_zone_with_endpoints_cannot_be_removed(self) -> None:
        new = replace(self.document, names=replace(self.document.names, zones=("hub", "mall")))
        with self.assertRaisesRegex(SettingsRejectedError, "zone shop"):
            self.engine.prepare(self.document, new)

    def test_a_drain_between_prepare_and_commit_stays(self) -> None:
        """The kind of parents changes, so the endpoint list is passed to the policy again; the cache that
        began to drain in between must not become usable again."""
        kinds = (*self.document.names.kinds, "other")
        new = replace(self.document_with(parent_kind=3), names=replace(self.document.names, kinds=kinds))
        commit = self.engine.prepare(self.document, new)
        self.submit()
        waiting = self.upstream.started[-1][0]  # waits for its connection; checked again before the write
        self.engine.list_changed(
            EndpointListKind.DELTA, 2, [self.listed_endpoint("s-cache", 0, 1, 1, EndpointState.DRAINING)]
        )
        commit()
        self.clock.run()
        self.assertEqual(waiting.check_blocked(), Outcome.CONNECT_FAILED)
        for _ in range(20):
            self.submit()
        self.assertEqual({sent.endpoint.name for sent, _ in self.upstream.started[1:]}, {"s-origin"})

    def test_a_purge_between_prepare_and_commit_holds(self) -> None:
        """A copy older than the purge must not be served under either document; a newer one may."""
        new = self.document_with(tick_us=3000)
        commit = self.engine.prepare(self.document, new)
        purged_us = self.clock.now
        self.engine.purged(READ_REQUEST.object_key, 0, purged_us)
        commit()
        self.clock.run(SECOND)
        self.submit()
        self.finish_attempt(AttemptResult(Outcome.MISS))
        sent = self.upstream.started[-1][0]
        self.assertGreater(sent.max_age_us, 0)
        self.assertLess(sent.max_age_us, self.clock.now - purged_us)


if __name__ == "__main__":
    unittest.main()
