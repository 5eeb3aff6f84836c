"""The lock file by which two processes of one router detect each other."""

import os
import subprocess
import sys
import tempfile
import unittest
from typing import Any

from magpieshift.process_lock import ProcessLock
from tests.recorded.exchange import ROOT


class ProcessLockTest(unittest.TestCase):
    def test_a_lock_ends_with_its_process_and_a_stale_file_does_not_count(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            with open(os.path.join(folder, "magpieshift-h-1.lock"), "w") as stale_file:
                stale_file.write("not ours " * 100)
            own_lock = ProcessLock(("h", 1), folder)
            self.assertFalse(own_lock.other_is_alive or own_lock.other_is_serving)
            code = (
                "import sys; from magpieshift.process_lock import ProcessLock;"
                "c = ProcessLock(('h', 1), sys.argv[1]);"
                "print(c.other_is_alive, c.other_is_serving, flush=True); sys.stdin.readline();"
                "c.set_serving(True); print(flush=True); sys.stdin.readline();"
                "c.set_serving(False); print(flush=True); sys.stdin.readline()"
            )
            own_lock.set_serving(True)
            pipes: dict[str, Any] = {"stdin": subprocess.PIPE, "stdout": subprocess.PIPE, "text": True}
            with subprocess.Popen([sys.executable, "-c", code, folder], cwd=ROOT, **pipes) as other:
                assert other.stdout is not None and other.stdin is not None
                self.assertEqual(other.stdout.readline(), "True True\n")
                self.assertEqual((own_lock.other_is_alive, own_lock.other_is_serving), (True, False))
                for serves in (True, False):  # a draining process is alive but does not serve
                    other.stdin.write("\n")
                    other.stdin.flush()
                    other.stdout.readline()
                    self.assertEqual((own_lock.other_is_alive, own_lock.other_is_serving), (True, serves))
                other.kill()
                other.wait()
            self.assertFalse(own_lock.other_is_alive or own_lock.other_is_serving)
            own_lock.close()

    def test_a_folder_that_cannot_be_written_is_logged_and_stops_nothing(self) -> None:
        with self.assertLogs("magpieshift.process_lock", "WARNING"):
            lock = ProcessLock(("h", 1), "/nowhere/at/all")
        lock.set_serving(True)
        self.assertFalse(lock.other_is_alive)


if __name__ == "__main__":
    unittest.main()
