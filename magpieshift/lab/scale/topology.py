"""The location of routers: regions, zones, sites of unequal size and their racks, with delay and loss by
distance, and network partitions (cuts). A topology is read from a file, or generated from a seed.

    (topology
      (region-km (west 0 0) (east 4000 500))
      (zones (west-a west) (east-a east))
      (sites (w1 west-a 12) (e1 east-a 4))
      (control west)
      (ms-per-1000km 5) (loss-per-1000km 0.001)
      (cuts (night (region east) (from-s 5) (to-s 15) (direction both))))

Each site's routers are in racks of ``rack-size``; the last rack may be smaller. Times are seconds since the
start of the load, distances kilometres, delays milliseconds one way.
"""

from __future__ import annotations

import math
import random
from collections.abc import Container, Iterator, Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated, Literal

from pydantic import Field

from magpieshift.config import ConfigError
from magpieshift.control import sexp
from magpieshift.control.errors import Problem, UnusableDocumentError
from magpieshift.control.validation import Form, Seconds, validate_form

HEAD = "topology"
# the fleet size that the product must support, as stated by its operators
TARGET_SITES = 370
TARGET_ZONES = 24
TARGET_REGIONS = 10
TARGET_ROUTERS = 4_800
WORLD_SIDE_KM = 12_000.0  # side of the square in which generated regions are placed
RETRANSMIT_MS = 200.0  # extra delay of a lost TCP segment: the minimum retransmission timeout of Linux

Km = Annotated[float, Field(ge=-50_000, le=50_000, allow_inf_nan=False)]
Count = Annotated[int, Field(ge=1, le=100_000)]
LossFraction = Annotated[float, Field(ge=0, le=0.5, allow_inf_nan=False)]


class Cut(Form):
    """A network partition between control and a part of the fleet: exactly one of region, zone and rack."""

    region: str | None = None
    zone: str | None = None
    rack: str | None = None
    from_s: Seconds = 0.0
    to_s: Seconds
    direction: Literal["both", "to-routers", "from-routers"] = "both"


class TopologyForm(Form):
    """The fields of a topology file."""

    region_km: dict[str, tuple[Km, Km]]
    zones: dict[str, str]
    sites: dict[str, tuple[str, Count]]
    control: str
    ms_per_1000km: Annotated[float, Field(ge=0, le=100)] = 5.0
    loss_per_1000km: LossFraction = 0.0
    rack_size: Count = 16
    cuts: dict[str, Cut] = {}


@dataclass(frozen=True)
class Place:
    """A router's name, and its location."""

    name: str
    region: str
    zone: str
    site: str
    rack: str


class Topology:
    """The locations of all routers."""

    def __init__(self, form: TopologyForm) -> None:
        self.form = form
        self.places: Sequence[Place] = tuple(_places(form))

    @property
    def cuts(self) -> dict[str, Cut]:
        """The network partitions of the file, by name."""
        return self.form.cuts

    def zone_sizes(self) -> dict[str, int]:
        """The number of routers in each zone."""
        sizes = dict.fromkeys(self.form.zones, 0)
        for place in self.places:
            sizes[place.zone] += 1
        return sizes

    def km(self, zone: str) -> float:
        """The distance between a zone and control."""
        return math.dist(self.form.region_km[self.form.zones[zone]], self.form.region_km[self.form.control])

    def delay_ms(self, zone: str) -> float:
        """The mean one-way delay of a chunk of a stream from control to a zone. Packet loss counts as delay:
        a lost segment arrives by retransmission, ``RETRANSMIT_MS`` later."""
        thousands = self.km(zone) / 1000
        lost = min(1.0, self.form.loss_per_1000km * thousands)
        return thousands * self.form.ms_per_1000km + lost * RETRANSMIT_MS

    def within(self, cut: Cut) -> list[Place]:
        """The routers that a cut partitions from control."""
        return [
            place
            for place in self.places
            if cut.region in (None, place.region)
            and cut.zone in (None, place.zone)
            and cut.rack in (None, place.rack)
        ]


def _places(form: TopologyForm) -> Iterator[Place]:
    number = 0
    for site, (zone, routers) in form.sites.items():
        for index in range(routers):
            rack = f"{site}-{index // form.rack_size}"
            yield Place(f"r{number}", form.zones[zone], zone, site, rack)
            number += 1


def parse_topology(text: str, source: str = "topology") -> Topology:
    """Parse a topology; ``UnusableDocumentError`` with all problems found."""
    tree = sexp.parse(text, source, HEAD)
    form = validate_form(TopologyForm, tree.data, tree.lines)
    problems = []

    def check_known(where: tuple[str, ...], name: str, names: Container[str], what: str) -> None:
        if name not in names:
            problems.append(Problem(" ".join(where), tree.lines.get(where, 0), name, what))

    check_known(("control",), form.control, form.region_km, "a region of region-km")
    for zone, region in form.zones.items():
        check_known(("zones", zone), region, form.region_km, "a region of region-km")
    for site, (zone, _) in form.sites.items():
        check_known(("sites", site), zone, form.zones, "a zone of zones")
    if problems:
        raise UnusableDocumentError(problems)
    topology = Topology(form)
    for name, cut in form.cuts.items():
        chosen = [each for each in (cut.region, cut.zone, cut.rack) if each is not None]
        if len(chosen) != 1:
            problems.append(
                _cut_problem(tree, name, f"{len(chosen)} fields", "exactly one of region, zone and rack")
            )
        elif not topology.within(cut):
            problems.append(_cut_problem(tree, name, chosen[0], "a region, zone or rack that has routers"))
        elif cut.to_s <= cut.from_s:
            problems.append(_cut_problem(tree, name, f"to-s {cut.to_s}", f"a time after from-s {cut.from_s}"))
    if problems:
        raise UnusableDocumentError(problems)
    return topology


def _cut_problem(tree: sexp.ParsedDocument, name: str, found: str, expected: str) -> Problem:
    return Problem(f"cuts {name}", tree.lines.get(("cuts", name), 0), found, expected)


def read_file(path: str) -> Topology:
    """Read a topology file; ``ConfigError`` where it cannot be read or is invalid."""
    try:
        text = Path(path).read_text(encoding="utf-8")
    except (OSError, ValueError) as err:
        raise ConfigError(f"{path} cannot be read: {err}") from err
    try:
        return parse_topology(text, path)
    except UnusableDocumentError as err:
        raise ConfigError(f"{path}: {err}") from err


def generate(
    routers: int, seed: int, zones: int = TARGET_ZONES, regions: int = TARGET_REGIONS, sites: int = 0
) -> TopologyForm:
    """A fleet of ``routers`` routers. By default it has the regions and zones of the target, and sites in
    proportion. Site sizes are unequal (a few large sites hold half of all routers); sites are assigned so
    that the zones have nearly the same number of routers."""
    rand = random.Random(f"topology/{seed}")
    zones = min(zones, routers)
    regions = min(regions, zones)
    sites = sites or max(zones, round(TARGET_SITES * routers / TARGET_ROUTERS))
    sites = min(sites, routers)
    weights = [rand.paretovariate(1.2) for _ in range(sites)]
    sizes = _proportional_sizes(weights, routers)
    zone_routers = dict.fromkeys((f"z{i}" for i in range(zones)), 0)
    placed: dict[str, tuple[str, int]] = {}
    for number, size in enumerate(sorted(sizes, reverse=True)):
        zone = min(zone_routers, key=lambda name: (zone_routers[name], name))
        zone_routers[zone] += size
        placed[f"s{number}"] = zone, size
    return TopologyForm(
        region_km={
            f"g{i}": (rand.uniform(0, WORLD_SIDE_KM), rand.uniform(0, WORLD_SIDE_KM)) for i in range(regions)
        },
        zones={f"z{i}": f"g{i % regions}" for i in range(zones)},
        sites=placed,
        control="g0",
        loss_per_1000km=0.0005,
    )


def _proportional_sizes(weights: Sequence[float], total: int) -> list[int]:
    """Split ``total`` into integers of at least 1, in proportion to ``weights``."""
    remaining = total - len(weights)
    weight_sum = sum(weights)
    edges = [0]
    running = 0.0
    for weight in weights:
        running += weight
        edges.append(round(remaining * running / weight_sum))
    return [1 + after - before for before, after in zip(edges, edges[1:], strict=False)]


def format_topology(form: TopologyForm) -> str:
    """Format a topology as text; ``parse_topology`` of it returns an equal topology."""
    data = form.model_dump(mode="json", by_alias=True, exclude_none=True, exclude_defaults=True)
    for name in ("region-km", "sites"):
        data[name] = {key: list(value) for key, value in data[name].items()}
    return sexp.format_document(data, HEAD)
