"""Contact with routers absent from the view: seeds at the start, and dead members after a partition."""

from __future__ import annotations

import random

from magpieshift.membership.dissemination import Outbox
from magpieshift.membership.member import MemberState
from magpieshift.membership.member_table import MemberTable
from magpieshift.membership.messages import Address
from magpieshift.membership.synchronization import Synchronization

# Between two contacts of an absent seed while other members are present; a lone router retries every round.
SEED_RETRY_INTERVAL_US = 3_000_000
# Between two contacts of a dead member, by which two halves of a fleet rejoin after a partition.
DEAD_PROBE_INTERVAL_US = 1_000_000


class Reconnection:
    """Sends synchronization requests to absent seeds and dead members."""

    def __init__(
        self,
        view: MemberTable,
        outbox: Outbox,
        synchronization: Synchronization,
        seeds: tuple[Address, ...],
        rand: random.Random,
    ) -> None:
        self._view = view
        self._outbox = outbox
        self._synchronization = synchronization
        self._seeds = seeds
        self._random = rand
        self._last_seed_us = 0  # when an absent seed was last looked for
        self._last_dead_us = 0  # when a dead member was last looked for

    def contact_absent_seed(self, now_us: int) -> None:
        """Contact one absent seed, if the retry interval has passed or this router is alone."""
        is_alone = self._view.present_count == 1
        if not self._seeds or not (is_alone or now_us - self._last_seed_us >= SEED_RETRY_INTERVAL_US):
            return
        self._last_seed_us = now_us
        present = {
            (known.member.host, known.member.port)
            for known in self._view.members.values()
            if known.is_present
        }
        absent = [seed for seed in self._seeds if seed not in present]
        if absent:
            self._outbox.send(self._random.choice(absent), self._synchronization.request())

    def contact_dead_member(self, now_us: int) -> None:
        """Contact one dead member, if the interval has passed: it may run and a partition may have healed."""
        if not self._view.has_absent_members or now_us - self._last_dead_us < DEAD_PROBE_INTERVAL_US:
            return
        self._last_dead_us = now_us
        dead = [known.member for known in self._view.members.values() if known.state == MemberState.DEAD]
        if dead:
            self._outbox.send_to(self._random.choice(dead), self._synchronization.request())
