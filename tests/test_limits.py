"""Checks that the deploy files list the rule modules of the policy, and that these are short and isolated.

Operators read the modules listed as ``policy`` in ``deploy/balancer.toml`` to learn how decisions are made.
So the list must have every module that decides and no other. None of the modules may be long, read a clock,
do I/O, or import the rest of the router.
"""

import ast
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parents[1]
POLICY = ROOT / "magpieshift" / "policy"
MAX_LINES = 250
MODULES_WITHOUT_RULES = {
    "__init__.py",
    "simulator.py",
    "simulator_codec.py",
    "simulator_reply.py",
    "simulator_settings.py",
    "errors.py",
    "settings.py",
    "events.py",
    "actions.py",
    "outcomes.py",
}
"""Modules that define the policy's inputs and outputs, and the simulator adapter: these decide nothing."""
ALLOWED_IMPORTS = {
    "__future__",
    "collections",
    "collections.abc",
    "dataclasses",
    "enum",
    "heapq",
    "math",
    "random",
    "typing",
}
"""Modules of the standard library that read no clock, file or socket."""


def rule_modules() -> list[Path]:
    """The modules of the policy that decide."""
    return sorted(path for path in POLICY.glob("*.py") if path.name not in MODULES_WITHOUT_RULES)


def imported_modules(path: Path) -> set[str]:
    found = set()
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            found |= {alias.name for alias in node.names}
        elif isinstance(node, ast.ImportFrom):
            found.add(str(node.module))
    return found


def test_the_deploy_files_list_all_rule_modules_and_no_other() -> None:
    expected = [str(path.relative_to(ROOT)) for path in rule_modules()]
    for name in ("balancer.toml", "trace.toml"):
        deploy = tomllib.loads((ROOT / "deploy" / name).read_text())
        assert sorted(deploy["policy"]) == expected, name


def test_each_rule_module_is_short() -> None:
    for path in rule_modules():
        lines = path.read_text().splitlines()
        assert len(lines) <= MAX_LINES, f"{path.name}: {len(lines)} lines"
        assert max(len(line) for line in lines) <= 110, path.name


def test_no_rule_module_imports_a_clock_io_or_the_rest_of_the_router() -> None:
    for path in rule_modules():
        for name in imported_modules(path):
            is_policy_module = name == "magpieshift.policy" or name.startswith("magpieshift.policy.")
            assert is_policy_module or name in ALLOWED_IMPORTS, f"{path.name} imports {name}"
            assert "simulator" not in name, f"{path.name} imports {name}"


def test_no_rule_module_calls_a_function_that_does_io_or_runs_code() -> None:
    for path in rule_modules():
        for node in ast.walk(ast.parse(path.read_text())):
            if isinstance(node, ast.Call) and isinstance(node.func, ast.Name):
                assert node.func.id not in ("open", "print", "input", "__import__", "exec", "eval"), path.name
