"""Tells whether the demonstration has shown what it claims.

usage: demo_verdict.py FOLDER

Reads the results that tools/demo.sh left in FOLDER, prints them, and exits
with 0 if all claims hold, with 1 if one does not, with 2 if a result is
missing or can't be read.
"""
import json
import pathlib
import sys

WORKS = ("stream", "sales", "lookups", "small")
SMALL_BUDGET = 50
UNKNOWN = ("outcome_unknown", "broken", "answer_incomplete", "endpoint_failed")


def row_of(name, result):
    outcomes = result["outcomes"]
    served = outcomes.get("ok", 0)
    unknown = sum(outcomes.get(kind, 0) for kind in UNKNOWN)
    refused = sum(outcomes.values()) - served - unknown
    return {"work": name, "served": served, "refused": refused,
            "unknown": unknown, "not whole": result["broken_answers"],
            "tokens": result["tokens"]}


def read(folder):
    def load(name):
        return json.loads((folder / name).read_text())
    plain = [load(f"plain-{number}.json")["each"] for number in (0, 1)]
    balances = [json.loads(line) for line in
                (folder / "balances.json").read_text().splitlines()]
    return ({name: load(name + ".json") for name in WORKS}, plain, balances,
            load("platform.json"))


def claims(results, plain, balances, platform):
    """Each claim with whether it holds."""
    sales = results["sales"]

    def runs(key):
        return sum(each.get(key, 0) for each in plain)
    sold = sales["ok_keys"] + sales["unknown_keys"] + sales["not_run_keys"]
    twice = sum(runs(key) > 1 for key in sold)
    lied = sum(runs(key) > 0 for key in sales["not_run_keys"])
    overspend = sum(max(0, row["billed"] - row["prepaid"]) for row in balances)
    small = [row["billed"] for row in balances if row["budget"] == "small"]
    rows = [row_of(name, results[name]) for name in WORKS]
    return [
        ("every kind of work was served",
         all(row["served"] > 0 for row in rows)),
        (f"sales run twice: {twice}", twice == 0),
        (f"sales called not run that ran: {lied}", lied == 0),
        (f"overspend: {overspend}", overspend == 0),
        (f"budget of {SMALL_BUDGET}, billed: {small}",
         small == [SMALL_BUDGET]),
        (f"platform: {platform['served']} of {platform['asked']} served",
         platform["served"] == platform["asked"] > 0),
        (f"platform: run twice {platform['twice']}, "
         f"overspend {platform['overspend']}",
         platform["twice"] == 0 and platform["overspend"] == 0),
    ]


def main(folder):
    try:
        found = read(pathlib.Path(folder))
        rows = [row_of(name, found[0][name]) for name in WORKS]
        verdicts = claims(*found)
    except (OSError, ValueError, KeyError, TypeError) as error:
        print(f"a result is missing or can't be read: {error!r}")
        return 2
    print("  ".join(f"{title:>9}" for title in rows[0]))
    for row in rows:
        print("  ".join(f"{value:>9}" for value in row.values()))
    for text, holds in verdicts:
        print(("ok    " if holds else "FALSE ") + text)
    return 0 if all(holds for _, holds in verdicts) else 1


if __name__ == "__main__":
    sys.exit(main(sys.argv[1]))
