"""The pieces load and the configuration's errors are plain lines."""

import unittest

from magpieshift import ConfigError, load


class Smoke(unittest.TestCase):
    def test_a_missing_file_is_one_plain_line(self) -> None:
        with self.assertRaisesRegex(ConfigError, "EDGE_CONFIG is not set"):
            load({})


if __name__ == "__main__":
    unittest.main()
