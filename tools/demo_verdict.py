"""Checks the results of the demonstration.

usage: demo_verdict.py FOLDER

Reads the results that tools/demo.sh wrote to FOLDER, prints them and the
result of each check. Exit status: 0 if all checks passed, 1 if one failed, 2
if a result is missing or can't be read.
"""
import json
import pathlib
import sys

LOADS = ("stream", "sales", "lookups", "small")  # Runs of the load generator.
SMALL_BUDGET_TOKENS = 50
# Outcomes after which the caller does not know whether a request was executed.
UNKNOWN_OUTCOMES = ("outcome_unknown", "broken", "answer_incomplete",
                    "endpoint_failed")


def row_of(name, result):
    """Returns the row of the printed table for one load."""
    outcomes = result["outcomes"]
    served = outcomes.get("ok", 0)
    unknown = sum(outcomes.get(kind, 0) for kind in UNKNOWN_OUTCOMES)
    refused = sum(outcomes.values()) - served - unknown
    return {"load": name, "served": served, "refused": refused,
            "unknown": unknown, "broken": result["broken_answers"],
            "tokens": result["tokens"]}


def read_results(folder):
    """Returns load results, executions per service, balances, platform."""
    def read(name):
        return json.loads((folder / name).read_text())
    executions = [read(f"plain-{number}.json")["each"] for number in (0, 1)]
    balances = [json.loads(line) for line in
                (folder / "balances.json").read_text().splitlines()]
    return ({name: read(name + ".json") for name in LOADS}, executions,
            balances, read("platform.json"))


def check(results, executions, balances, platform):
    """Returns the text of each check and whether it passed.

    executions: for each plain service, how often it executed each sale.
    """
    sales = results["sales"]

    def count_executions(key):
        return sum(service.get(key, 0) for service in executions)
    keys = sales["ok_keys"] + sales["unknown_keys"] + sales["not_run_keys"]
    duplicates = sum(count_executions(key) > 1 for key in keys)
    # Reported to the caller as not executed, but executed.
    misreported = sum(count_executions(key) > 0
                      for key in sales["not_run_keys"])
    overspend = sum(max(0, row["billed"] - row["prepaid"]) for row in balances)
    small_billed = [row["billed"] for row in balances
                    if row["budget"] == "small"]
    rows = [row_of(name, results[name]) for name in LOADS]
    return [
        ("every kind of load was served",
         all(row["served"] > 0 for row in rows)),
        (f"sales executed twice: {duplicates}", duplicates == 0),
        (f"sales reported as not executed, but executed: {misreported}",
         misreported == 0),
        (f"overspend: {overspend}", overspend == 0),
        (f"budget of {SMALL_BUDGET_TOKENS}, billed: {small_billed}",
         small_billed == [SMALL_BUDGET_TOKENS]),
        (f"platform: {platform['served']} of {platform['asked']} served",
         platform["served"] == platform["asked"] > 0),
        (f"platform: sales executed twice {platform['twice']}, "
         f"overspend {platform['overspend']}",
         platform["twice"] == 0 and platform["overspend"] == 0),
    ]


def main(folder):
    try:
        results = read_results(pathlib.Path(folder))
        rows = [row_of(name, results[0][name]) for name in LOADS]
        checks = check(*results)
    except (OSError, ValueError, KeyError, TypeError) as error:
        print(f"a result is missing or can't be read: {error!r}")
        return 2
    print("  ".join(f"{title:>9}" for title in rows[0]))
    for row in rows:
        print("  ".join(f"{value:>9}" for value in row.values()))
    for text, passed in checks:
        print(("ok    " if passed else "FAIL  ") + text)
    return 0 if all(passed for _, passed in checks) else 1


if __name__ == "__main__":
    sys.exit(main(sys.argv[1]))
