"""The platform's configuration: what is read, and what is rejected."""

import unittest
from typing import Any

from magpieshift import ConfigError, parse
from tests.real.exchange import config

PORTS = {"cache": "127.0.0.1:1", "origin": "127.0.0.1:2", "log": "127.0.0.1:3"}


class Configuration(unittest.TestCase):
    def test_it_is_read(self) -> None:
        read = parse(config(PORTS), listen="127.0.0.1:80", name="n9")
        document = read.document
        self.assertEqual((document.name, document.listen, read.seed), ("n9", ("127.0.0.1", 80), 0xA7))
        self.assertEqual(document.settings.zone_link_kb_per_s, (0.0, 90000.0))
        self.assertEqual(document.names.report, ("load_share", "concurrent", "x1"))

    def test_a_bad_value_is_named_in_one_line(self) -> None:
        bad: list[tuple[str, Any]] = [
            ("changelog", "nowhere"),
            ("seed", "xyz"),
            ("limits", {"memory_mb": 1, "sockets": 3}),
            ("settings", {}),
            ("known", 7),
            ("listen", "here:70000"),
        ]
        for key, value in bad:
            with self.subTest(key), self.assertRaisesRegex(ConfigError, key) as caught:
                parse(config(PORTS) | {key: value})
            self.assertNotIn("\n", str(caught.exception))


if __name__ == "__main__":
    unittest.main()
