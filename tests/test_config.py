"""The platform's configuration: valid files are read, invalid values rejected."""

import json
import unittest
from typing import Any

from magpieshift import ConfigError, parse
from tests.recorded.exchange import changed, config

PORTS = {"cache": "127.0.0.1:1", "origin": "127.0.0.1:2", "log": "127.0.0.1:3"}


class Configuration(unittest.TestCase):
    def test_a_valid_file_is_read(self) -> None:
        configuration = parse(config(PORTS), listen="127.0.0.1:80", name="n9")
        document = configuration.document
        self.assertEqual(
            (document.name, document.listen, configuration.seed), ("n9", ("127.0.0.1", 80), 0xA7)
        )
        self.assertEqual(document.settings.zone_link_kb_per_s, (0.0, 90000.0))
        self.assertEqual(document.names.report, ("load_share", "concurrent", "x1"))

    def test_an_invalid_value_is_named_in_a_one_line_error(self) -> None:
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


class NewSettings(unittest.TestCase):
    def test_a_file_with_an_invalid_value_is_rejected(self) -> None:
        """A negative deadline used to be accepted with the rest of the file, and every request failed."""
        figures: tuple[Any, ...] = (0, -5, "500", True, float("nan"), float("inf"), None, [])
        for path in ("Classes.0.GiveUpUs", "Classes.1.AimUs", "Caps.MaxAttempts", "Caps.ConnectTimeoutUs"):
            for value in figures:
                with self.subTest(path, value=value), self.assertRaisesRegex(ConfigError, path) as caught:
                    parse(changed(config(PORTS), {path: json.dumps(value)}))
                self.assertNotIn("\n", str(caught.exception))
        for path, value in (
            ("Classes.1.Name", "picture"),
            ("Classes.1.Name", "a,b"),
            ("Classes", []),
            ("Caps.MaxAttempts", 1.5),
            ("Contract.FallMultiple", float("nan")),
            ("Contract.ColdUs", float("inf")),
        ):
            with self.subTest(path, value=value), self.assertRaises(ConfigError):
                parse(changed(config(PORTS), {path: json.dumps(value)}))

    def test_the_admin_address_is_read_from_the_file_and_the_variable_takes_precedence(self) -> None:
        self.assertIsNone(parse(config(PORTS)).document.admin_address)
        data = config(PORTS) | {"console": "127.0.0.1:7"}
        self.assertEqual(parse(data).document.admin_address, ("127.0.0.1", 7))
        self.assertEqual(parse(data, console="127.0.0.1:8").document.admin_address, ("127.0.0.1", 8))
        with self.assertRaisesRegex(ConfigError, "console is not host:port: 'here'"):
            parse(data, console="here")


if __name__ == "__main__":
    unittest.main()
