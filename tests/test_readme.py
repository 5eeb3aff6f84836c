"""Runs the README's Python example unchanged and checks its output."""

import re
import subprocess
import sys
from pathlib import Path


def test_the_example_prints_what_the_page_says() -> None:
    page = (Path(__file__).parent.parent / "README.md").read_text()
    (code,) = re.findall(r"```python\n(.*?)```", page, re.S)
    done = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True)
    assert done.stdout == "True True\n"
