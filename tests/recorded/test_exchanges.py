"""Plays every recording in ``exchanges`` against the program as a process."""

import subprocess
import sys
import unittest
from typing import Any

from tests.recorded.exchange import HERE, ROOT, Program, initial_settings


class Exchanges(unittest.TestCase):
    def test_recordings(self) -> None:
        names = sorted(path.stem for path in (HERE / "exchanges").glob("*.txt"))
        self.assertTrue(names)
        for name in names:
            text = (HERE / "exchanges" / f"{name}.txt").read_text()
            start: dict[str, Any] = {
                "has_admin": "\ndoor" in text,
                "long_timeouts": not name.startswith("silent_"),
            }
            with self.subTest(name), Program(**start, changes=initial_settings(text)) as program:
                program.play(name)

    def test_input_may_be_split_at_any_byte(self) -> None:
        for name in ("hit", "write_goes_to_the_origin"):
            with self.subTest(name), Program(chunk_size=1) as program:
                program.play(name)

    def test_a_process_that_cannot_start_beside_another_leaves_it_as_it_was(self) -> None:
        with Program(has_admin=True) as program:
            env = program.env() | {"EDGE_CONSOLE": f"127.0.0.1:{program.admin_port}"}
            result = subprocess.run(
                [sys.executable, "-m", "magpieshift"], capture_output=True, text=True, env=env, cwd=ROOT
            )
            self.assertEqual(result.returncode, 1)
            self.assertIn(f"magpieshift: cannot listen on 127.0.0.1:{program.admin_port}: ", result.stderr)
            program.play("hit")

    def test_a_bad_frame_logs_no_traceback(self) -> None:
        with Program() as program:
            program.play("bad_frame")
            self.assertNotIn("Traceback", program.log_text())

    def test_a_bad_configuration_is_one_plain_line(self) -> None:
        result = subprocess.run([sys.executable, "-m", "magpieshift"], capture_output=True, text=True, env={})
        self.assertEqual((result.returncode, result.stderr), (2, "magpieshift: EDGE_CONFIG is not set\n"))


if __name__ == "__main__":
    unittest.main()
