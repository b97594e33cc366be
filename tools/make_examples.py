#!/usr/bin/env python3
"""Writes the example configurations examples/*.json.

auction and docket are the two deployments of the requirements, demo is the one
of tools/demo.sh. API keys have the form "key-<account>" and must be replaced
before use.
"""
import hashlib
import json
import pathlib


def sha256(key):
    return hashlib.sha256(key.encode()).hexdigest()


def account(name, priority, **limits):
    """Returns an account with a budget of the same name."""
    entry = {"name": name, "budget": name, "priority": priority,
             "key_sha256": [sha256("key-" + name)],
             "labels": {"team": name.split("-")[0]}}
    if limits:
        entry["limits"] = limits
    return entry


def endpoints(prefix, kind, count, zones, first_port, labels, slots):
    """Returns endpoints on consecutive ports, spread evenly over the zones."""
    rows = []
    for index in range(count):
        rows.append({"name": f"{prefix}-{index}", "kind": kind,
                     "zone": zones[index % len(zones)],
                     "url": f"http://127.0.0.1:{first_port + index}",
                     "labels": labels, "slots": slots})
    return rows


def auction():
    zones = ["sul-a", "sul-b", "sul-c", "sul-d"]
    accounts = [account(f"rostrum-{n}", 0) for n in range(1, 4)]
    accounts += [account(f"ranch-{n}", 3, requests_per_second=200)
                 for n in range(1, 5)]
    accounts += [account(f"scale-{n}", 5, requests_per_second=50)
                 for n in range(1, 4)]
    return {
        "tamarackhall": 1,
        "accounts": accounts,
        "models": [{"name": "catalogue", "prompt_price": 1,
                    "completion_price": 3, "max_tokens": 4096}],
        "services": [
            {"name": "bids", "price": 2, "repeatable": False,
             "timeout_ms": 3000},
            {"name": "lots", "price": 1, "timeout_ms": 2000}],
        "endpoints":
            endpoints("auction", "model", 10, zones, 7100,
                      {"use": "auction"}, 16) +
            endpoints("bidding", "service", 4, zones, 7200,
                      {"use": "bidding"}, 64),
        "pools": [
            {"name": "auction", "kind": "model",
             "selector": {"use": "auction"}},
            {"name": "bidding", "kind": "service",
             "selector": {"use": ["bidding"]}}],
        "rules": [
            {"name": "models", "order": 10, "target": "catalogue",
             "pool": "auction"},
            {"name": "bids", "order": 20, "target": "bids",
             "account": {"team": {"not": "scale"}}, "pool": "bidding"},
            {"name": "lots", "order": 30, "target": "lots",
             "pool": "bidding"}],
        "targets": [
            {"name": "models", "subject": "catalogue",
             "first_token_ms": 1800, "gap_ms": 59, "objective": 0.95},
            {"name": "rest", "subject": "*", "first_token_ms": 500,
             "objective": 0.99}],
    }


def docket():
    zones = ["tex-a", "tex-b", "tex-c", "tex-d"]
    accounts = [account(f"agency-{n}", 3) for n in range(1, 6)]
    accounts += [account(f"county-{n}", 5, tokens_per_second=200000)
                 for n in range(1, 6)]
    return {
        "tamarackhall": 1,
        "accounts": accounts,
        "models": [
            {"name": "drafting", "completion_price": 2, "max_tokens": 8192},
            {"name": "tagging", "max_tokens": 256, "default_tokens": 64}],
        "services": [
            {"name": "filings", "price": 2, "repeatable": False},
            {"name": "status", "price": 1}],
        "endpoints":
            endpoints("drafting", "model", 20, zones, 7300,
                      {"use": "drafting"}, 16) +
            endpoints("docket", "service", 4, zones, 7400,
                      {"use": "docket"}, 64),
        "pools": [
            {"name": "drafting", "selector": {"use": "drafting"}},
            {"name": "docket", "kind": "service",
             "selector": {"use": "docket"}}],
        "rules": [
            {"name": "drafting", "target": "drafting", "pool": "drafting"},
            {"name": "tagging", "target": "tagging", "pool": "drafting"},
            {"name": "filings", "target": "filings", "pool": "docket"},
            {"name": "status", "target": "status", "pool": "docket"}],
        "targets": [{"name": "all", "subject": "*"}],
    }


def demo():
    zones = ["zone-a", "zone-b"]
    return {
        "tamarackhall": 1,
        "accounts": [account("ring", 1), account("docket", 5),
                     account("small", 5)],
        "models": [{"name": "words", "max_tokens": 2048}],
        "services": [
            {"name": "sales", "price": 1, "repeatable": False},
            {"name": "lookups", "price": 1}],
        "endpoints":
            endpoints("engine", "model", 4, zones, 21100, {"use": "words"},
                      32) +
            endpoints("plain", "service", 2, zones, 21200, {"use": "plain"},
                      64),
        "pools": [
            {"name": "words", "selector": {"use": "words"}},
            {"name": "plain", "kind": "service",
             "selector": {"use": "plain"}}],
        "rules": [
            {"name": "words", "target": "words", "pool": "words"},
            {"name": "sales", "target": "sales", "pool": "plain"},
            {"name": "lookups", "target": "lookups", "pool": "plain"}],
        "targets": [{"name": "all", "subject": "*"}],
    }


def main():
    folder = pathlib.Path(__file__).resolve().parent.parent / "examples"
    for name, document in [("auction", auction()), ("docket", docket()),
                           ("demo", demo())]:
        text = json.dumps(document, indent=2)
        (folder / f"{name}.json").write_text(text + "\n")


main()
