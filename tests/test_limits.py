"""The module is printed: its length and width are part of its contract."""

from pathlib import Path

MODULE = Path(__file__).parent.parent / "molecleat" / "control.py"


def test_module_fits_the_printed_page() -> None:
    lines = MODULE.read_text().splitlines()
    assert sum(1 for line in lines if line.strip()) <= 400
    assert max(len(line) for line in lines) <= 110


def test_first_lines_name_the_interface() -> None:
    assert "molecleat/interface.py" in "".join(MODULE.read_text().splitlines()[:3])


def test_the_module_with_its_records_stays_within_what_operators_run() -> None:
    parts = (MODULE, MODULE.with_name("records.py"))
    assert sum(1 for part in parts for line in part.read_text().splitlines() if line.strip()) <= 490
