"""Overload gossip between the routers of a simulated fleet, with delayed and lost digests."""

from __future__ import annotations

import random
from functools import partial

from magpieshift.lab.simulated.fleet import Fleet
from magpieshift.lab.simulated.fleet_state import SECOND_US, SimulatedRouter
from magpieshift.overload.codec import decode, encode
from magpieshift.overload.digest import Digest, FailureReport
from magpieshift.overload.gossip import GOSSIP_INTERVAL_US, Gossip
from magpieshift.overload.probe_election import EndpointHealth

FAILURE_DETECTION_US = 2_400_000  # time until the other routers treat a killed router as absent


class SimulatedGossip:
    """The gossip of all routers of a fleet. ``loss`` is the fraction of digests that are lost. The first
    ``false_reporters`` routers report that every endpoint fails, and that their own pressure is 0."""

    def __init__(self, fleet: Fleet, loss: float = 0.0, false_reporters: int = 0) -> None:
        self._fleet = fleet
        self.loss = loss
        self._rand = random.Random(f"talk {fleet.size.seed}")
        # by id of the engine, so that a restarted router starts with a new instance
        self._instances: dict[int, tuple[SimulatedRouter, Gossip]] = {}
        self._false_reporters = set(sorted(fleet.routers)[:false_reporters])
        self._dead_since_us: dict[str, int] = {}
        self.datagrams_sent = 0
        self.bytes_sent = 0
        fleet.time.after(0, self._update_instances)

    def _update_instances(self) -> None:
        """Start gossip for each new router process, and record when routers were killed."""
        fleet = self._fleet
        for name, router in fleet.routers.items():
            if id(router.engine) not in self._instances:
                gossip = Gossip(name, random.Random(self._rand.getrandbits(64)), fleet.time.now_us)
                self._instances[id(router.engine)] = (router, gossip)
                router.clock.after(
                    self._rand.randrange(GOSSIP_INTERVAL_US), partial(self._run_round, router, gossip)
                )
            if router.clock.is_killed:
                self._dead_since_us.setdefault(name, fleet.time.now_us)
            else:
                self._dead_since_us.pop(name, None)
        fleet.time.after(100_000, self._update_instances)

    def _assumed_alive(self) -> list[str]:
        now_us = self._fleet.time.now_us
        return sorted(
            name
            for name in self._fleet.routers
            if now_us - self._dead_since_us.get(name, now_us) < FAILURE_DETECTION_US
        )

    def _run_round(self, router: SimulatedRouter, gossip: Gossip) -> None:
        now_us = self._fleet.time.now_us
        health = {
            member.name: EndpointHealth(
                member.endpoint.number,
                (member.endpoint.kind, member.endpoint.zone),
                is_failing,
                failure_age_us,
                success_age_us,
            )
            for member, is_failing, failure_age_us, success_age_us in router.engine.endpoint_health()
        }
        alive = self._assumed_alive()
        instructions = gossip.tick(now_us, health, alive)
        router.engine.apply_overrides(instructions.overrides)
        sends = instructions.sends
        if router.name in self._false_reporters:
            reports = tuple(
                FailureReport(endpoint_name, router.name, True, 0)
                for endpoint_name in self._fleet.upstreams.by_name
            )
            sends = [
                (name, Digest(reports, 0.0, 1e6)) for name in self._rand.sample(alive, min(8, len(alive)))
            ]
        for name, digest in sends:
            data = encode(digest)
            self.datagrams_sent += 1
            self.bytes_sent += len(data)
            if self._rand.random() >= self.loss:
                delay_us = self._rand.randrange(300, 3_000)
                self._fleet.time.after(delay_us, partial(self._arrive, name, router.name, data))
        router.clock.after(GOSSIP_INTERVAL_US, partial(self._run_round, router, gossip))

    def _arrive(self, name: str, sender: str, data: bytes) -> None:
        router = self._fleet.routers[name]
        clock = router.clock
        now_us = self._fleet.time.now_us
        if clock.is_killed or now_us < clock.paused_until_us or id(router.engine) not in self._instances:
            return
        self._instances[id(router.engine)][1].receive(now_us, sender, decode(data), is_neighbour=False)

    def sent_per_router_s(self) -> tuple[float, float]:
        """Mean datagrams and bytes per second sent by one router, over the whole run."""
        router_seconds = (
            len(self._fleet.routers) * (self._fleet.time.now_us - self._fleet.time.start_us) / SECOND_US
        )
        return self.datagrams_sent / router_seconds, self.bytes_sent / router_seconds
