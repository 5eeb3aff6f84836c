"""The overload extension: gossips failing endpoints and load, in the datagrams of membership."""

from __future__ import annotations

import json
import logging
import random
from collections.abc import Callable, Collection, Mapping

from magpieshift import clock
from magpieshift.app import EdgeRouter
from magpieshift.engine.model import ClientRequest
from magpieshift.extensions.extension import BaseExtension
from magpieshift.extensions.membership import Membership
from magpieshift.log import fields
from magpieshift.membership.driver import steady_us
from magpieshift.membership.member import Member
from magpieshift.membership.probing import TICK_INTERVAL_US
from magpieshift.overload.codec import MalformedDigestError, decode, encode
from magpieshift.overload.gossip import GOSSIP_INTERVAL_US, Gossip, GossipActions
from magpieshift.overload.offloading import LOAD_LIFETIME_US
from magpieshift.overload.probe_election import EndpointHealth
from magpieshift.policy.health_override import Eject, HealthOverride, Readmit

log = logging.getLogger(__name__)

TOPIC = "overload"  # topic of this extension's messages in membership's datagrams
# Mean lateness of ticks that counts as a pressure of 1: the processor is at its capacity. A smaller value
# starts offloading at shorter queues in the event loop.
FULL_LATENESS_US = 100_000
# Weight of the latest tick in the moving average of the lateness. A larger one reacts faster, but oscillates
# more.
LATENESS_WEIGHT = 0.2
# Weight of the latest gossip interval in the moving average of the request rate.
RATE_WEIGHT = 0.2
SEED_SALT = 1  # gives gossip other random numbers than membership, which uses the same seed


class OverloadGossip(BaseExtension):
    """Runs the gossip on the ticks of membership, and carries out its actions."""

    name = "talk"

    def __init__(self, router: EdgeRouter, membership: Membership, seed: int, may_offload: bool) -> None:
        """``may_offload``: whether requests may be offloaded to neighbours."""
        self._router = router
        self._membership = membership
        rand = random.Random(seed ^ clock.source.unix_us() ^ SEED_SALT)
        self._gossip = Gossip(router.document.name, rand, steady_us())
        self._may_offload = may_offload
        self._last_membership_tick_us = self._last_gossip_tick_us = steady_us()
        self._lateness_us = 0.0  # moving average over membership's ticks
        self._request_rate = 0.0  # moving average, in requests per second
        self._requests_counted = 0  # the engine's count of requests at the last gossip tick
        self._ejected: set[int] = set()  # numbers of endpoints ejected by gossip
        self._malformed_digests = 0
        membership.after_tick.append(self._after_membership_tick)
        membership.message_receivers[TOPIC] = self._receive

    # --- Extension

    def start(self) -> None:
        """Enable offloading if the settings allow it."""
        if self._may_offload:
            self._router.offload_by(self._should_offload)

    def commands(self) -> Mapping[str, Callable[[], str]]:
        """TALK returns the reports received and the state of offloading."""
        return {"TALK": self._status}

    async def stop(self) -> None:
        """Disable offloading. The gossip itself ends with the ticks of membership."""
        self._router.offload_by(None)

    # --- events

    def _receive(self, data: bytes, sender: Member) -> None:
        try:
            digest = decode(data)
        except MalformedDigestError as err:
            self._malformed_digests += 1
            log.debug("malformed digest dropped", extra=fields(source=sender.name, reason=err))
            return
        is_neighbour = sender.zone == self._membership.zone
        self._gossip.receive(steady_us(), sender.name, digest, is_neighbour)

    def _after_membership_tick(self) -> None:
        now_us = steady_us()
        lateness_us = max(0, now_us - self._last_membership_tick_us - TICK_INTERVAL_US)
        self._last_membership_tick_us = now_us
        self._lateness_us += LATENESS_WEIGHT * (lateness_us - self._lateness_us)
        elapsed_us = now_us - self._last_gossip_tick_us
        if elapsed_us >= GOSSIP_INTERVAL_US:
            self._last_gossip_tick_us = now_us
            self._gossip_tick(now_us, elapsed_us)

    def _gossip_tick(self, now_us: int, elapsed_us: int) -> None:
        self._update_request_rate(elapsed_us)
        health = self._endpoint_health()
        alive = self._membership.alive_members()
        present = sorted(member.name for member in alive)
        neighbours = [member.name for member in alive if member.zone == self._membership.zone]
        actions = self._gossip.tick(now_us, health, present, neighbours, self._pressure(), self._request_rate)
        self._router.engine.apply_overrides(actions.overrides)
        self._log_overrides(actions.overrides, health)
        self._log_offloading(actions)
        members_by_name = {member.name: member for member in alive}
        for receiver, digest in actions.sends:
            self._membership.send_message(members_by_name[receiver], TOPIC, encode(digest))

    def _update_request_rate(self, elapsed_us: int) -> None:
        requests = self._router.engine.requests_submitted
        rate = 1e6 * (requests - self._requests_counted) / elapsed_us
        self._request_rate += RATE_WEIGHT * (rate - self._request_rate)
        self._requests_counted = requests

    def _endpoint_health(self) -> dict[str, EndpointHealth]:
        return {
            listed.name: EndpointHealth(
                listed.endpoint.number,
                (listed.endpoint.kind, listed.endpoint.zone),
                is_failing,
                failure_age_us,
                success_age_us,
            )
            for listed, is_failing, failure_age_us, success_age_us in self._router.engine.endpoint_health()
        }

    def _pressure(self) -> float:
        """This router's load by its capacity: the higher of those of its limits and of its processor."""
        return max(self._router.pressure, self._lateness_us / FULL_LATENESS_US)

    def _should_offload(self, request: ClientRequest) -> bool:
        engine = self._router.engine
        object_number = engine.object_number(request.object_key)
        is_write = engine.is_write_class(request.class_index)
        return self._gossip.offloading.should_offload(object_number, request.is_repeat, is_write)

    # --- log lines and the admin command

    def _log_overrides(
        self, overrides: Collection[HealthOverride], health: Mapping[str, EndpointHealth]
    ) -> None:
        """Log each endpoint that is newly ejected by gossip, and each that no longer is."""
        names = {own_view.number: endpoint for endpoint, own_view in health.items()}
        ejected = [override.endpoint for override in overrides if isinstance(override, Eject)]
        readmitted = {override.endpoint for override in overrides if isinstance(override, Readmit)}
        for number in ejected:
            if number not in self._ejected:
                endpoint = names[number]
                witnesses = sorted(self._gossip.reports.failing_witnesses(endpoint, steady_us()))
                log.warning(
                    "endpoint ejected by gossip",
                    extra=fields(endpoint=endpoint, witnesses=",".join(witnesses)),
                )
        for number in self._ejected - set(ejected):
            reason = "probed by this router" if number in readmitted else "recovered, or reports expired"
            log.info(
                "endpoint readmitted by gossip", extra=fields(endpoint=names.get(number, "-"), reason=reason)
            )
        self._ejected = set(ejected)

    def _log_offloading(self, actions: GossipActions) -> None:
        if actions.offloading_changed:
            offloading = self._gossip.offloading
            log.warning(
                "offloading started" if offloading.is_active else "offloading stopped",
                extra=fields(reason=offloading.reason, offloaded=offloading.offloaded_requests),
            )

    def _status(self) -> str:
        """The load, the reports received and the state of offloading, as one line of JSON."""
        now_us = steady_us()
        gossip = self._gossip
        offloading = gossip.offloading
        return json.dumps(
            {
                "pressure": round(self._pressure(), 3),
                "rate": round(self._request_rate, 1),
                "over": offloading.is_active,
                "share": round(offloading.fraction, 3),
                "handed": offloading.offloaded_requests,
                "why": offloading.reason,
                "changes": offloading.changes,
                "failing": {
                    endpoint: sorted(witnesses)
                    for endpoint in sorted(gossip.reports.endpoints())
                    if (witnesses := gossip.reports.failing_witnesses(endpoint, now_us))
                },
                "left": sorted(
                    listed.name
                    for listed, *_ in self._router.engine.endpoint_health()
                    if listed.endpoint.number in self._ejected
                ),
                "neighbours_fresh_s": LOAD_LIFETIME_US / 1e6,
                "sent": gossip.sent_digests,
                "taken": gossip.received_digests,
                "dropped": {
                    "malformed": self._malformed_digests,
                    "flooded": gossip.dropped_digests,
                    "no_room": gossip.reports.rejected,
                },
            },
            separators=(",", ":"),
        )
