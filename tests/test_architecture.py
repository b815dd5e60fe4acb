"""Tests of the architecture's rules on imports, and of the shared verdict type."""

import ast
import pathlib
import unittest

from cassiaford.verdict import Verdict, combine

SOURCE = pathlib.Path(__file__).resolve().parent.parent / "src" / "cassiaford"
FORBIDDEN_IN_POLICY = {
    "absl",
    "asyncio",
    "cheroot",
    "datetime",
    "logging",
    "os",
    "socket",
    "threading",
    "time",
    "urllib3",
}
FORBIDDEN_ANYWHERE = {"multiprocessing", "subprocess"}


def imported_modules(path):
    """Return the top-level names that a module imports."""
    tree = ast.parse(path.read_text("utf-8"))
    names = set()
    for node in ast.walk(tree):
        if isinstance(node, ast.Import):
            names.update(alias.name.split(".")[0] for alias in node.names)
        elif isinstance(node, ast.ImportFrom) and node.module:
            names.add(node.module.split(".")[0])
    return names


def global_random_calls(path):
    """Return the called functions that use the `random` module's global generator."""
    tree = ast.parse(path.read_text("utf-8"))
    return [
        node.func.attr
        for node in ast.walk(tree)
        if isinstance(node, ast.Call)
        and isinstance(node.func, ast.Attribute)
        and isinstance(node.func.value, ast.Name)
        and node.func.value.id == "random"
        and node.func.attr != "Random"
    ]


class PolicyPurityTest(unittest.TestCase):
    def test_policy_uses_no_clock_socket_thread_or_global_random(self):
        modules = [
            path
            for folder in ("policy", "suspects", "origins")
            for path in sorted((SOURCE / folder).glob("*.py"))
        ]
        for path in modules:
            with self.subTest(module=path.name):
                self.assertFalse(imported_modules(path) & FORBIDDEN_IN_POLICY)
                self.assertEqual(global_random_calls(path), [])

    def test_no_module_imports_a_way_to_start_processes(self):
        for path in sorted(SOURCE.rglob("*.py")):
            with self.subTest(module=str(path.relative_to(SOURCE))):
                self.assertFalse(imported_modules(path) & FORBIDDEN_ANYWHERE)


class VerdictTest(unittest.TestCase):
    def test_may_have_run_outweighs_attempts_that_did_not_run(self):
        verdicts = [Verdict.NOT_RUN, Verdict.MAY_HAVE_RUN, Verdict.NOT_RUN]
        self.assertIs(combine(verdicts), Verdict.MAY_HAVE_RUN)

    def test_only_not_run_is_retried_if_the_request_is_not_repeatable(self):
        self.assertTrue(Verdict.NOT_RUN.may_retry(repeatable=False))
        self.assertFalse(Verdict.MAY_HAVE_RUN.may_retry(repeatable=False))
        self.assertTrue(Verdict.MAY_HAVE_RUN.may_retry(repeatable=True))
        self.assertFalse(Verdict.RAN.may_retry(repeatable=True))


if __name__ == "__main__":
    unittest.main()
