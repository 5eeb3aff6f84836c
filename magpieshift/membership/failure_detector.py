"""Who is there: watching, accusing, spreading. A state machine told datagrams and the time; no I/O.

Each member watches the next ``WATCHED`` on a ring, pings each of them every round, tries again by another
member's way, and accuses whom nobody has brought it a beat of for ``SILENT_US``. Accusations spread. A member
is suspected where ``ACCUSERS`` different ones hold, and gone once that has lasted ``SUSPECT_US``; each router
judges by itself, no verdict is passed on. Any later beat, by whatever way it comes, clears all.

Who hears nobody, or has just slept, accuses and judges nobody: it is not the others that are silent.
"""

from __future__ import annotations

import random
from collections.abc import Callable

from magpieshift.membership.admission import Admission
from magpieshift.membership.counters import Counters
from magpieshift.membership.dissemination import Dissemination, Outbox
from magpieshift.membership.member_table import MOST_TEXT, Known, Member, MemberTable, Standing
from magpieshift.membership.messages import Ack, Address, Ask, Body, Claim, Datagram, Note, Ping, Send, Sync
from magpieshift.membership.name_conflict import NameConflict
from magpieshift.membership.own_record import OwnRecord
from magpieshift.membership.pings import PATIENCE_US, OpenPing, OpenPings
from magpieshift.membership.probing import ROUND_TURNS, TURN_US, Probing
from magpieshift.membership.suspicion import SUSPECT_US, WATCHED, SuspicionRules, Tuning
from magpieshift.membership.synchronization import Synchronization
from magpieshift.membership.unknown_peers import MOST_STRANGERS, UnknownPeers

__all__ = ("MOST_STRANGERS", "TURN_US", "FailureDetector", "Tuning")

SILENT_US = 2_400_000
SLEPT_US = 1_000_000  # between two ticks: this process did not run, and cannot know who was silent
# how often they are tried
SEEDS_US = 3_000_000
GONE_US = 1_000_000


def _nobody(claim: Claim, sender: Member, to: Address) -> None:
    """Who takes claims where there are no shares."""


def _deaf(note: Note, sender: Member) -> None:
    """Who takes notes where no other part listens."""


class FailureDetector:
    """One router's part in the membership of a fleet."""

    def __init__(
        self,
        own: Member,
        fleet: str,
        seeds: tuple[Address, ...],
        now_us: int,
        rand: random.Random,
        tuning: Tuning = Tuning(),  # noqa: B008, it is frozen
    ) -> None:
        self.view = MemberTable(own, now_us)
        self.seeds = seeds
        self.tuning = tuning
        self.counters = Counters()
        self.quiet = False  # another process goes on under this name, as it should
        self.expects_rival = False  # a replacement is under way: it is no conflict
        self.other: Callable[[Claim, Member, Address], None] = _nobody
        self.noted: Callable[[Note, Member], None] = _deaf
        self.changes = 0  # of what this router says of itself, for its listeners
        self._now_us = now_us
        self._random = rand
        self._dissemination = Dissemination(self.view)
        self._outbox = Outbox(fleet, self.view, self._dissemination, self.counters)
        self._admission = Admission(fleet, self.view, self.counters)
        self._pings = OpenPings(rand)
        self._watching = Probing(self.view, self._outbox, self._pings, rand, tuning.watched)
        self._judge = SuspicionRules(self.view, self._dissemination, tuning)
        self._synchronization = Synchronization(self.view, self._dissemination, self._outbox, rand)
        self._name_conflict = NameConflict(self.view, self._dissemination)
        self._records = OwnRecord(self.view, self._dissemination, self._judge, self._name_conflict)
        self._strangers = UnknownPeers(self._outbox, self._pings)
        self._turn = 0
        self._last_tick_us = self._woke_us = self._heard_us = now_us
        self._late_us = 0  # how late ticks lately came: that much silence is this router's own
        self._seeds_us = 0
        self._gone_us = 0
        self._accused_us = -SUSPECT_US

    # --- what can be asked

    @property
    def isolated(self) -> bool:
        """Whether it has lately heard nobody at all."""
        return self.view.count > 1 and self._now_us - self._heard_us >= SILENT_US

    @property
    def settled(self) -> bool:
        """Whether it may judge others: it runs, and hears."""
        return not self.isolated and self._now_us - self._woke_us >= SILENT_US

    @property
    def healthy(self) -> int:
        """How many could accuse: those nobody suspects and this router does not accuse, itself included."""
        return self._judge.healthy

    # --- time

    def tick(self, now_us: int) -> list[Send]:
        """To be called every ``TURN_US``; what is to be sent."""
        late = now_us - self._last_tick_us - TURN_US
        self._now_us = now_us
        self._last_tick_us = now_us
        if late >= SLEPT_US:
            self._woke()
        self._late_us = max(late, int(self._late_us * 0.98), 0)
        self._turn += 1
        turn = self._turn % ROUND_TURNS
        if turn == 0:
            self.view.speak()
            self.view.forget(now_us)
            self._clear_old()
        if self.quiet:
            return self.flush()
        self._watching.turn(now_us, turn)
        if turn == 0:
            self._round()
        if self._turn % 2 == 0:
            self._push()
        self._judge_all()
        return self.flush()

    def _woke(self) -> None:
        """It slept: what it missed is no silence of others. Every suspicion begins anew."""
        self.counters.slept += 1
        if not self.tuning.health:
            return
        self._woke_us = self._now_us
        for known in self.view.known.values():
            if known.standing == Standing.SUSPECTED:
                known.since_us = self._now_us
            self.view.withdraw(known.member.name, self.view.own.name)

    def _round(self) -> None:
        """Once a round: someone at random, now and then a seed, and one that is gone."""
        for member in self._watching.some(1):
            self._watching.ping(self._now_us, member)
        if self.seeds and (self.view.count == 1 or self._now_us - self._seeds_us >= SEEDS_US):
            self._seeds_us = self._now_us
            here = {(k.member.host, k.member.port) for k in self.view.known.values() if k.here}
            missing = [seed for seed in self.seeds if seed not in here]
            if missing:
                self._outbox.send(self._random.choice(missing), self._synchronization.question())
        if self.view.others_gone and self._now_us - self._gone_us >= GONE_US:
            self._gone_us = self._now_us
            gone = [k.member for k in self.view.known.values() if k.standing == Standing.GONE]
            if gone:
                self._outbox.send_to(self._random.choice(gone), self._synchronization.question())
        rival = self._name_conflict.next_try()
        if rival is not None:
            self._watching.ping(self._now_us, rival, rival)

    def _clear_old(self) -> None:
        past = self._now_us - PATIENCE_US
        for opened in self._pings.expire(past):
            self._strangers.forget(opened)
        self._admission.clear_old(past)

    # --- judging

    def _judge_all(self) -> None:
        settled = self.settled or not self.tuning.health
        if settled:
            silent_us = SILENT_US + 2 * min(self._late_us, SLEPT_US)
            self._judge.accuse_silent(self._now_us, self._watching.since, self._woke_us, silent_us)
        self._judge.judge(self._now_us, settled)

    # --- spreading

    def _push(self) -> None:
        """News goes to a few at once; who is accused, or hears little, is heard of by more."""
        fresh = 2 if self._dissemination.rumours else 0
        if self._now_us - self._accused_us < SILENT_US:
            fresh = 6
        for member in self._watching.some(fresh):
            self._outbox.send_to(member, None)

    def leave(self, now_us: int) -> list[Send]:
        """It goes on purpose: the others are told at once, a few times over."""
        self._now_us = now_us
        if not self.quiet:
            self.view.speak(left=True)
            told = {
                k.member.name: k.member
                for k, _ in zip(self.view.after(self.view.own.name), range(WATCHED), strict=False)
            }
            for member in (told | {m.name: m for m in self._watching.some(2 * WATCHED)}).values():
                self._outbox.send_to(member, None)
        return self.flush()

    def say(self, **changes: object) -> None:
        """What this router says of itself has changed: its state, its version, its load."""
        own = self.view.own
        told = {name: value for name, value in changes.items() if getattr(own, name) != value}
        if told:
            self.view.speak(**told)
            if set(told) - {"load"}:
                self._dissemination.spread_member(self.view.own)

    def send(self, to: Address, body: Body) -> None:
        """Something of another state machine's, on the next flush."""
        self._outbox.send(to, body)

    def note(self, member: Member, topic: str, data: bytes) -> None:
        """Something of another part's to a member, on the next flush."""
        self._outbox.send_to(member, Note(topic, data))

    def flush(self) -> list[Send]:
        """What has come to be sent meanwhile."""
        return self._outbox.flush()

    # --- what comes in

    def receive(self, now_us: int, source: Address, datagram: Datagram) -> list[Send]:
        """Take in a datagram; what is to be sent."""
        self._now_us = max(self._now_us, now_us)
        if not self._admission.admits(self._now_us, source, datagram):
            return []
        sender = datagram.sender
        member = self._meet(sender, datagram)
        if member:
            self._heard_us = self._now_us
            if self._records.take(self._now_us, datagram):
                self._accused_us = self._now_us
            if datagram.view != self.view.digest:
                self._synchronization.ask(self._now_us, sender)
        self._take_body(datagram, sender, member)
        return self.flush()

    def _meet(self, sender: Member, datagram: Datagram) -> bool:
        """Whether the sender is a member, as far as this router can tell. Who says a new name, a new start or
        a new address has to answer there once: anybody can write any name."""
        if sender.name == self.view.own.name:
            self._name_conflict.heard_of(sender)
            return False
        known = self.view.known.get(sender.name)
        same = (
            known is not None
            and known.member.life == sender.life
            and ((known.member.host, known.member.port) == (sender.host, sender.port))
        )
        if same:
            self._records.learn(self._now_us, sender, "heard")
            return self.view.known[sender.name].here
        if known is not None and sender.life < known.member.life:
            # an earlier start of it: either it is dead, or it has to hear that its name is another's
            self._outbox.send((sender.host, sender.port), None, (known.member,))
            return False
        if self._strangers.answers(datagram.body, sender):
            self._records.learn(self._now_us, sender, "joined")
            return sender.name in self.view.known
        if not sender.left:
            self._strangers.greet(self._now_us, sender)
        return False

    def _take_body(self, datagram: Datagram, sender: Member, member: bool) -> None:
        body = datagram.body
        match body:
            case Ping(number=number):
                self._outbox.send((sender.host, sender.port), Ack(number))
            case Ack(number=number):
                self._answered(number, sender)
            case Ask(number=number, about=about) if member:
                known = self.view.known.get(about)
                if known is not None and known.here:
                    relay = (sender.host, sender.port), number
                    opened = OpenPing(about, self._now_us, relay=relay)
                    self._outbox.send_to(known.member, Ping(self._pings.add(opened)))
            case Sync() if member or not self.view.known.get(sender.name):
                self._synchronization.answer(body, sender)
            case Claim() if member:
                self.other(body, sender, (sender.host, sender.port))
            case Note() if member:
                self.noted(body, sender)

    def _answered(self, number: int, sender: Member) -> None:
        opened = self._pings.get(number)
        if opened is None or opened.answered:
            return
        if opened.rival is not None and sender.life == opened.rival.life:
            self._rival_lives(opened.rival)
        if opened.relay is not None and sender.name == opened.name:
            to, theirs = opened.relay
            known = self.view.known.get(opened.name)
            if known is not None:
                self._outbox.send(to, Ack(theirs, opened.name), (known.member,))
        opened.answered = True

    def _rival_lives(self, rival: Member) -> None:
        if not self._name_conflict.answered(rival):
            return
        if self.expects_rival:
            self.quiet = True  # the successor goes on under the name
            return
        self.counters.conflicts += 1
        own = self.view.own
        self.view.rename(f"{own.name[: MOST_TEXT - 9]}~{own.boot:08x}", self._now_us)
        self.view.learn(rival, self._now_us, "holds the name this router was given")
        self.changes += 1

    def row(self, known: Known) -> dict[str, object]:
        """A member for people: its standing, why, and since when."""
        m = known.member
        return {
            "name": m.name,
            "standing": known.standing.value,
            "address": f"{m.host}:{m.port}",
            "incarnation": m.incarnation,
            "beat": m.beat,
            "zone": m.zone,
            "program": m.program,
            "settings": m.settings,
            "state": m.state,
            "load": m.load,
            "for_s": round((self._now_us - known.since_us) / 1e6, 1),
            "why": known.why,
            "accusers": sorted(known.accusers),
        }
