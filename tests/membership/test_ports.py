"""Allocation of ports for the processes that tests start."""

from __future__ import annotations

import unittest

from magpieshift.lab.fault_injection.ports import FIRST_PORT, LAST_PORT, free_port, free_ports


class FreePortsTest(unittest.TestCase):
    def test_ports_are_unique_and_outside_the_ephemeral_range(self) -> None:
        """Guards against a process whose port is in use when it starts or restarts."""
        found = [*free_ports(20), *(free_port() for _ in range(20))]
        self.assertEqual(len(set(found)), len(found))
        self.assertTrue(all(FIRST_PORT <= port < LAST_PORT for port in found), found)


if __name__ == "__main__":
    unittest.main()
