"""Routers of a simulated fleet that may talk: their digests on the fake clock, delayed and lost."""

from __future__ import annotations

import random
from functools import partial

from magpieshift.lab.simulated.fleet import Fleet
from magpieshift.lab.simulated.fleet_state import SECOND_US, SimulatedRouter
from magpieshift.overload.codec import decode, encode
from magpieshift.overload.digest import Digest, FailureReport
from magpieshift.overload.gossip import GOSSIP_INTERVAL_US, Gossip
from magpieshift.overload.probe_election import EndpointHealth

NOTICED_US = 2_400_000  # by the others, that a router does not answer


class Talk:
    """The talk of all routers of a fleet. ``loss`` is the share of digests that never arrive; ``liars`` say
    of themselves that they have all the room there is, and of each store that it fails."""

    def __init__(self, fleet: Fleet, loss: float = 0.0, liars: int = 0) -> None:
        self._fleet = fleet
        self.loss = loss
        self._rand = random.Random(f"talk {fleet.size.seed}")
        self._talkers: dict[int, tuple[SimulatedRouter, Gossip]] = {}  # by engine: a later start begins anew
        self._liars = set(sorted(fleet.routers)[:liars])
        self._died: dict[str, int] = {}
        self.sent = 0
        self.bytes = 0
        fleet.time.after(0, self._look)

    def _look(self) -> None:
        """Begin with each router that is new, and note who has died."""
        fleet = self._fleet
        for name, router in fleet.routers.items():
            if id(router.engine) not in self._talkers:
                talker = Gossip(name, random.Random(self._rand.getrandbits(64)), fleet.time.now_us)
                self._talkers[id(router.engine)] = (router, talker)
                router.clock.after(
                    self._rand.randrange(GOSSIP_INTERVAL_US), partial(self._turn, router, talker)
                )
            if router.clock.dead:
                self._died.setdefault(name, fleet.time.now_us)
            else:
                self._died.pop(name, None)
        fleet.time.after(100_000, self._look)

    def _here(self) -> list[str]:
        now = self._fleet.time.now_us
        return sorted(name for name in self._fleet.routers if now - self._died.get(name, now) < NOTICED_US)

    def _turn(self, router: SimulatedRouter, talker: Gossip) -> None:
        now = self._fleet.time.now_us
        seen = {
            m.name: EndpointHealth(
                m.endpoint.number, (m.endpoint.kind, m.endpoint.zone), shunned, failed, good
            )
            for m, shunned, failed, good in router.engine.endpoint_health()
        }
        here = self._here()
        turn = talker.tick(now, seen, here)
        router.engine.apply_overrides(turn.overrides)
        sends = turn.sends
        if router.name in self._liars:
            reports = tuple(
                FailureReport(store, router.name, True, 0) for store in self._fleet.upstreams.by_name
            )
            sends = [(name, Digest(reports, 0.0, 1e6)) for name in self._rand.sample(here, min(8, len(here)))]
        for name, digest in sends:
            data = encode(digest)
            self.sent += 1
            self.bytes += len(data)
            if self._rand.random() >= self.loss:
                delay = self._rand.randrange(300, 3_000)
                self._fleet.time.after(delay, partial(self._arrive, name, router.name, data))
        router.clock.after(GOSSIP_INTERVAL_US, partial(self._turn, router, talker))

    def _arrive(self, name: str, sender: str, data: bytes) -> None:
        router = self._fleet.routers[name]
        clock = router.clock
        now = self._fleet.time.now_us
        if clock.dead or now < clock.asleep_until_us or id(router.engine) not in self._talkers:
            return
        self._talkers[id(router.engine)][1].receive(now, sender, decode(data), is_neighbour=False)

    def cost(self) -> tuple[float, float]:
        """Datagrams and bytes that a router sent a second, over the whole run."""
        over = len(self._fleet.routers) * (self._fleet.time.now_us - self._fleet.time.start_us) / SECOND_US
        return self.sent / over, self.bytes / over
