"""The demonstration's verdict: 0 if and only if all its claims hold."""
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
    work = {"outcomes": {"ok": 5, "no_endpoint": 1}, "broken_answers": 0,
            "tokens": 7, "ok_keys": ["a"], "unknown_keys": ["b"],
            "not_run_keys": ["c"]}
    return {
        "stream.json": work, "sales.json": work, "lookups.json": work,
        "small.json": work, "plain-0.json": {"each": {"a": 1}},
        "plain-1.json": {"each": {"b": 1}},
        "platform.json": {"asked": 3, "served": 3, "twice": 0, "overspend": 0},
        "balances.json": [{"budget": "small", "billed": 50, "prepaid": 50},
                          {"budget": "ring", "billed": 9, "prepaid": 100}]}


def verdict(results):
    with tempfile.TemporaryDirectory() as folder:
        for name, content in results.items():
            rows = content if isinstance(content, list) else [content]
            (pathlib.Path(folder) / name).write_text(
                "\n".join(json.dumps(row) for row in rows))
        with contextlib.redirect_stdout(io.StringIO()):
            return demo_verdict.main(folder)


class VerdictTest(unittest.TestCase):
    def test_all_claims_hold(self):
        self.assertEqual(verdict(good_results()), 0)

    def check_false(self, name, **changes):
        results = good_results()
        results[name] = dict(results[name], **changes)
        self.assertEqual(verdict(results), 1, (name, changes))

    def test_each_false_claim_fails(self):
        self.check_false("stream.json", outcomes={"no_endpoint": 6})
        self.check_false("plain-0.json", each={"a": 2})
        self.check_false("plain-0.json", each={"a": 1, "c": 1})
        self.check_false("platform.json", served=2)
        self.check_false("platform.json", asked=0, served=0)
        self.check_false("platform.json", twice=1)
        self.check_false("platform.json", overspend=1)

    def test_money(self):
        for billed, prepaid in ((51, 50), (49, 50)):
            results = good_results()
            results["balances.json"][0] = {"budget": "small", "billed": billed,
                                           "prepaid": prepaid}
            self.assertEqual(verdict(results), 1)

    def test_a_missing_result_fails(self):
        for name in good_results():
            results = good_results()
            del results[name]
            self.assertEqual(verdict(results), 2, name)


unittest.main()
