"""Topology files: parsing, error messages, and generated fleets."""

from __future__ import annotations

import unittest
from collections import Counter

from magpieshift.config import ConfigError
from magpieshift.control.errors import UnusableDocumentError
from magpieshift.lab.scale.topology import (
    RETRANSMIT_MS,
    Topology,
    format_topology,
    generate,
    parse_topology,
    read_file,
)

SMALL = """
(topology
  (region-km (west 0 0) (east 3000 4000))
  (zones (west-a west) (east-a east))
  (sites (w1 west-a 20) (e1 east-a 3))
  (control west)
  (ms-per-1000km 6) (loss-per-1000km 0.001)
  (cuts (night (region east) (from-s 5) (to-s 15) (direction to-routers))
        (rack (rack w1-1) (to-s 2))))
"""


class Files(unittest.TestCase):
    def test_places_delays_and_cuts_are_read(self) -> None:
        topology = parse_topology(SMALL)
        self.assertEqual(topology.zone_sizes(), {"west-a": 20, "east-a": 3})
        self.assertEqual(topology.km("east-a"), 5000)
        self.assertAlmostEqual(topology.delay_ms("east-a"), 30 + 0.005 * RETRANSMIT_MS)
        self.assertEqual(topology.delay_ms("west-a"), 0)
        night, rack = topology.cuts["night"], topology.cuts["rack"]
        self.assertEqual({place.site for place in topology.within(night)}, {"e1"})
        self.assertEqual(night.direction, "to-routers")
        self.assertEqual([place.name for place in topology.within(rack)], ["r16", "r17", "r18", "r19"])

    def test_every_error_states_its_location_what_was_found_and_what_was_expected(self) -> None:
        cases = {
            "(control west)": ("(control moon)", "line 6: control: found moon, expected a region"),
            "(west-a west)": ("(west-a moon)", "zones west-a: found moon, expected a region"),
            "(e1 east-a 3)": ("(e1 east-b 3)", "sites e1: found east-b, expected a zone"),
            "(w1 west-a 20)": ("(w1 west-a many)", "sites w1 1: found 'many', expected"),
            "(ms-per-1000km 6)": ("(ms-per-1000km -6)", "line 7: ms-per-1000km: found -6, expected"),
            "(to-s 2)": ("(to-s 0)", "cuts rack: found to-s 0.0, expected a time after"),
            "(rack w1-1)": (
                "(rack w1-9)",
                "cuts rack: found w1-9, expected a region, zone or rack that has routers",
            ),
            "(region east)": (
                "(region east) (zone east-a)",
                "cuts night: found 2 fields, expected exactly one of",
            ),
        }
        for right, (wrong, expected_text) in cases.items():
            with self.subTest(wrong):
                self.assertIn(right, SMALL)
                with self.assertRaises(UnusableDocumentError) as caught:
                    parse_topology(SMALL.replace(right, wrong))
                self.assertIn(expected_text, str(caught.exception))

    def test_a_missing_file_is_reported_in_one_line(self) -> None:
        with self.assertRaisesRegex(ConfigError, "^/nowhere.sexp cannot be read: .*$"):
            read_file("/nowhere.sexp")


class Generated(unittest.TestCase):
    def test_the_target_has_its_regions_zones_sites_and_routers(self) -> None:
        topology = Topology(generate(4_800, seed=1))
        sizes = [routers for _, routers in topology.form.sites.values()]
        self.assertEqual((len(sizes), sum(sizes), len(topology.places)), (370, 4_800, 4_800))
        self.assertEqual((len(topology.form.zones), len(topology.form.region_km)), (24, 10))
        self.assertGreater(max(sizes), 5 * sorted(sizes)[len(sizes) // 2])  # sizes are unequal
        self.assertLess(max(Counter(place.rack for place in topology.places).values()), 17)
        self.assertGreater(min(topology.zone_sizes().values()), 0)

    def test_any_size_has_all_its_routers_and_one_seed_gives_one_fleet(self) -> None:
        for routers in (1, 2, 9, 50, 333):
            with self.subTest(routers):
                form = generate(routers, seed=5)
                self.assertEqual(len(Topology(form).places), routers)
                self.assertEqual(form, generate(routers, seed=5))
        self.assertNotEqual(generate(50, seed=5), generate(50, seed=6))

    def test_a_written_topology_reads_as_equal(self) -> None:
        form = generate(50, seed=2)
        self.assertEqual(parse_topology(format_topology(form)).form, form)


if __name__ == "__main__":
    unittest.main()
