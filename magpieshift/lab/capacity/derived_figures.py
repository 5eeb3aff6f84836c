"""Figures derived from the fleet's size and the measured slopes: data path capacity, the number of relays
needed, and the cost of failures."""

from __future__ import annotations

import math
from dataclasses import dataclass

from magpieshift.discovery.client import MAX_BACKOFF_S, SILENCE_TIMEOUT_S
from magpieshift.lab.capacity import fleet
from magpieshift.lab.capacity.measure import Row
from magpieshift.lab.capacity.results import Result
from magpieshift.lab.capacity.tables import INCONCLUSIVE, Results, format_exponent, format_number, table
from magpieshift.relay.limits import FRESHNESS_LEASE_US, MAX_SNAPSHOTS_PER_S, RELAY_SILENCE_TIMEOUT_US

MAX_RESPONSE_BYTES = 240_000  # the largest object part that caches send, and the largest size measured
HOUR_S = 3_600
ROUTERS_PER_SITE = fleet.ROUTERS / fleet.SITES
UNMEASURED = "unmeasured"


def find_row(result: Result, role: str, resource: str) -> Row | None:
    """The row of a role and resource in a result; None if there is none."""
    return next((row for row in result.rows if (row.role, row.resource) == (role, resource)), None)


def data_path(results: Results) -> str:
    """The mean load of one router at the peak, and the part of it that one process can handle."""
    lines = [
        f"- {fleet.REQUESTS_PER_S:,} requests a second over {fleet.ROUTERS:,} routers are"
        f" {fleet.REQUESTS_PER_ROUTER_S:.0f} a second at the mean router.",
        f"- {fleet.BITS_PER_S / 1e12:g} Tbit/s over {fleet.ROUTERS:,} routers are"
        f" {fleet.BYTES_PER_ROUTER_S / 1e6:.0f} MB a second at the mean router:"
        f" {fleet.BYTES_PER_REQUEST / 1e3:.0f} KB a request, so a request stands for"
        f" {fleet.BYTES_PER_REQUEST / MAX_RESPONSE_BYTES:.1f} answers of the largest size,"
        f" {MAX_RESPONSE_BYTES:,} bytes, and the router sees"
        f" {fleet.BYTES_PER_ROUTER_S / MAX_RESPONSE_BYTES:,.0f} such answers a second.",
    ]
    lines += [line for name, result in results.items() if (line := _process_capacity(name, result))]
    return "\n".join(lines)


def _process_capacity(name: str, result: Result) -> str:
    """The load that one process can handle according to one result; empty if the result has no such
    measurement."""
    requests = find_row(result, "router: requests", "processor")
    answers = find_row(result, "router: bytes of an answer", "processor")
    if requests is None or answers is None or not requests.at_target or answers.slope is None:
        return ""
    request_us = 1e4 * requests.at_target / requests.target
    byte_us = answers.slope if answers.exponent == 1 else None
    if byte_us is None:
        return f"- {name}: the cost of a byte did not come out linear, so nothing is said of bytes."
    answer_us = request_us + byte_us * MAX_RESPONSE_BYTES
    uncertainty = "; the spread is nearly as large" if format_exponent(answers) == INCONCLUSIVE else ""
    cores = fleet.BYTES_PER_ROUTER_S / MAX_RESPONSE_BYTES * answer_us / 1e6
    return (
        f"- {name}: {fleet.REQUESTS_PER_ROUTER_S:.0f} small requests a second take"
        f" {format_number(requests.at_target)}% of a core ({requests.how}), {request_us:.0f} us each; a byte"
        f" adds {1e3 * byte_us:.3g} ns (fitted, to {format_number(answers.measured_to)} bytes{uncertainty})."
        f" An answer of the largest size then takes {answer_us:.0f} us (fitted), so one Python process, which"
        f" has one core, carries at most {MAX_RESPONSE_BYTES / answer_us:.0f} MB a second: {100 / cores:.0f}%"
        " of the mean router's bytes. It carries the mean rate of small requests; it does not carry the mean"
        f" rate of bytes, for which {cores:.1f} cores would be needed, nor what sites busier than the mean"
        " ask for."
    )


def control_machines(results: Results) -> str:
    """The number of relays that serve all routers within the processor budget of a relay, and the load of
    each relay if two of them fail."""
    relay = _newest_row(results, "fan-out: relay", "processor")
    if relay is None or relay.budget is None or relay.slope is None or relay.intercept is None:
        return f"Relays needed: {UNMEASURED}."
    if relay.exponent != 1:
        return "The cost of a follower did not come out linear, so nothing is said of the relays needed."
    routers_within_budget = (relay.budget - relay.intercept) / relay.slope
    relays_needed = math.ceil(fleet.ROUTERS / routers_within_budget)
    remaining_relays = fleet.CONTROL_MACHINES - 2
    routers_per_relay = fleet.ROUTERS / remaining_relays
    percent = relay.intercept + relay.slope * routers_per_relay
    return (
        f"A relay has {routers_within_budget:.0f} routers within {relay.budget:g}% of a core (fitted), so"
        f" {relays_needed} relays carry {fleet.ROUTERS:,}, and {relays_needed + 2} with any two gone,"
        " if routers are spread over all that"
        f" are left. With {fleet.CONTROL_MACHINES} relays and two gone that is {routers_per_relay:.0f}"
        f" routers each and {percent:.0f}% of a core (fitted)."
    )


@dataclass(frozen=True, slots=True)
class Failure:
    """A failure, the number of machines it affects, its cost, what is guaranteed until recovery, and the
    basis of the cost: measured, fitted or assumed."""

    what: str
    size: str
    cost: str
    guarantee: str
    basis: str


def failures(results: Results) -> str:
    """The table of the cost of failures, from the newest results that have the rows needed."""
    rows = [
        (each.what, each.size, each.cost, each.guarantee, each.basis)
        for each in (*_router_failures(results), *_control_failures(results), *_fan_out_failures(results))
    ]
    return table(("what fails", "size", "cost", "promised meanwhile", "basis"), rows)


def _router_failures(results: Results) -> list[Failure]:
    requests = _newest_row(results, "router: requests", "processor")
    site = ROUTERS_PER_SITE
    zone = fleet.ROUTERS_PER_ZONE
    return [
        Failure(
            "a router's machine (7 a day)",
            "1 router",
            _added_load(requests, 1),
            "clients' next request goes to another router; what it had in hand is lost with it",
            "fitted",
        ),
        Failure(
            "a rack or a switch (weekly)",
            f"a site's {site:.0f} routers",
            _added_load(requests, site),
            "the same, where the site's clients reach another site",
            "fitted; that a rack or switch is a whole site is assumed",
        ),
        Failure(
            "a zone (a few times a year)",
            f"{zone} routers, {fleet.CACHES_PER_ZONE} caches",
            _added_load(requests, zone),
            "the others go on; the zone's objects are filled anew from parents",
            "fitted; the fills are unmeasured",
        ),
    ]


def _control_failures(results: Results) -> list[Failure]:
    purges = _newest_row(results, "router: purges", "processor")
    sent = _newest_row(results, "router: purges", "bytes")
    return [
        Failure(
            "a region cut off for an hour, on the direct change log",
            f"{fleet.ROUTERS // fleet.REGIONS} routers",
            _catch_up(fleet.PURGES_PER_S * HOUR_S, purges, sent),
            "its routers serve on; they don't know what was purged, and don't bound the age of copies",
            "a purge told by itself is measured; in a crowd it costs less, by how much is unmeasured",
        ),
        Failure(
            "the change log's machine",
            f"{fleet.ROUTERS:,} watches",
            f"purges wait; all watches come back within {MAX_BACKOFF_S:g} s of its return",
            f"after {SILENCE_TIMEOUT_S:g} s of silence each router asks again; "
            "copies are not bounded meanwhile",
            "assumed, from the constants in discovery/client",
        ),
        Failure(
            "a control service's machine",
            f"{fleet.ROUTERS_PER_MACHINE} followers",
            "no new versions there",
            "routers run on what they keep on disk",
            "assumed: no run of this size; tests/control has one router",
        ),
    ]


def _fan_out_failures(results: Results) -> list[Failure]:
    """Failures with routers behind the fan-out tier; empty if the tier was not measured."""
    relay = _newest_row(results, "fan-out: relay", "processor")
    snapshot = _newest_row(results, "fan-out: snapshot", "bytes")
    read = _newest_row(results, "fan-out: snapshot", "read")
    if relay is None or snapshot is None or read is None:
        return []
    lease_s = FRESHNESS_LEASE_US / 1e6
    silence_s = RELAY_SILENCE_TIMEOUT_US / 1e6
    region = fleet.ROUTERS // fleet.REGIONS
    others = fleet.CONTROL_MACHINES - 2
    bounded = f"without a lease of {lease_s:g} s a router takes only copies younger than that"
    return [
        Failure(
            "one relay of a region",
            f"{region // 2} routers",
            f"after {silence_s:g} s of silence they go to the other: {_percent(relay.at_target)} for"
            f" {region} routers",
            f"each has {lease_s - silence_s:g} s of its lease left to find it; {bounded}",
            f"{relay.how}; the time is by the constants, run in tests/relay",
        ),
        Failure(
            "both relays of a region",
            f"{region} routers",
            f"they go to the {others} others, {region / others:.0f} more each, or all {region} to one at"
            f" worst: {_percent(_sum(relay.at_target, relay.at_half))}",
            bounded,
            f"{relay.how}; that all go to one is the worst case and assumed",
        ),
        Failure(
            "a region cut off for an hour, behind relays",
            f"{region} routers",
            f"a snapshot each: {_kilobytes(snapshot.at_target)} and {_ms(read.at_target)} of processor"
            " a router,"
            f" at most {MAX_SNAPSHOTS_PER_S} a second from a relay",
            bounded,
            f"{snapshot.how}; the time to return is unmeasured here (`lab scale`)",
        ),
    ]


def _percent(value: float | None) -> str:
    return f"{value:.3g}% of a core" if value is not None else UNMEASURED


def _kilobytes(value: float | None) -> str:
    return f"{value / 1e3:.0f} KB" if value is not None else f"bytes {UNMEASURED}"


def _ms(value: float | None) -> str:
    return f"{value:.0f} ms" if value is not None else UNMEASURED


def _sum(one: float | None, other: float | None) -> float | None:
    return one + other if one is not None and other is not None else None


def _newest_row(results: Results, role: str, resource: str) -> Row | None:
    found = None
    for result in results.values():
        found = find_row(result, role, resource) or found
    return found


def _added_load(requests: Row | None, lost: float) -> str:
    """The added load of each remaining router, if all of them share the lost routers' requests evenly."""
    remaining = fleet.ROUTERS - lost
    rate = fleet.REQUESTS_PER_S / remaining
    text = f"{100 * lost / remaining:.2g}% more at each other router: {rate:.0f} requests a second"
    if requests is None or requests.slope is None or requests.exponent is None:
        return f"{text}; processor {UNMEASURED}"
    added = requests.slope * (rate**requests.exponent - fleet.REQUESTS_PER_ROUTER_S**requests.exponent)
    return f"{text}, {added:.2g} points of a core"


def _catch_up(backlog: int, purges: Row | None, sent: Row | None) -> str:
    """The cost for one router to receive the purges it missed, at the cost of purges sent one by one."""
    text = f"{backlog:,} purges each to take in"
    if purges is None or sent is None or purges.at_target is None or sent.at_target is None:
        return f"{text}; {UNMEASURED}"
    processor_s = backlog * purges.at_target / 100 / purges.target
    megabytes = sent.at_target * HOUR_S / 1e6
    return f"{text}: {megabytes:.0f} MB and at most {processor_s:.0f} s of a core a router"
