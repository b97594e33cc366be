"""Tests the check of the demonstration: exit status 0 only if all passed."""
import contextlib
import io
import json
import pathlib
import sys
import tempfile
import unittest

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2] / "tools"))
import demo_verdict  # noqa: E402


def good_results():
    """Returns files by name with results for which all checks pass."""
    load = {"outcomes": {"ok": 5, "no_endpoint": 1}, "broken_answers": 0,
            "tokens": 7, "ok_keys": ["a"], "unknown_keys": ["b"],
            "not_run_keys": ["c"]}
    return {
        "stream.json": load, "sales.json": load, "lookups.json": load,
        "small.json": load, "plain-0.json": {"each": {"a": 1}},
        "plain-1.json": {"each": {"b": 1}},
        "platform.json": {"asked": 3, "served": 3, "twice": 0, "overspend": 0},
        "balances.json": [{"budget": "small", "billed": 50, "prepaid": 50},
                          {"budget": "ring", "billed": 9, "prepaid": 100}]}


def exit_status(results):
    """Writes the results to a folder and returns the status for it."""
    with tempfile.TemporaryDirectory() as folder:
        for name, content in results.items():
            rows = content if isinstance(content, list) else [content]
            (pathlib.Path(folder) / name).write_text(
                "\n".join(json.dumps(row) for row in rows))
        with contextlib.redirect_stdout(io.StringIO()):
            return demo_verdict.main(folder)


class DemoVerdictTest(unittest.TestCase):
    def test_passes_if_all_checks_pass(self):
        self.assertEqual(exit_status(good_results()), 0)

    def assert_check_fails(self, name, **changes):
        """Changes one result, so that one check must fail."""
        results = good_results()
        results[name] = dict(results[name], **changes)
        self.assertEqual(exit_status(results), 1, (name, changes))

    def test_fails_if_one_check_fails(self):
        self.assert_check_fails("stream.json", outcomes={"no_endpoint": 6})
        self.assert_check_fails("plain-0.json", each={"a": 2})
        self.assert_check_fails("plain-0.json", each={"a": 1, "c": 1})
        self.assert_check_fails("platform.json", served=2)
        self.assert_check_fails("platform.json", asked=0, served=0)
        self.assert_check_fails("platform.json", twice=1)
        self.assert_check_fails("platform.json", overspend=1)

    def test_fails_on_overspend_or_unspent_tokens(self):
        for billed, prepaid in ((51, 50), (49, 50)):
            results = good_results()
            results["balances.json"][0] = {"budget": "small", "billed": billed,
                                           "prepaid": prepaid}
            self.assertEqual(exit_status(results), 1)

    def test_reports_a_missing_result(self):
        for name in good_results():
            results = good_results()
            del results[name]
            self.assertEqual(exit_status(results), 2, name)


unittest.main()
