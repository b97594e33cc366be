"""End-to-end tests of budgets in an availability zone of many routers.

One router of the zone, the holder, holds the tokens of the account, and the
others reserve from it. Each function of SCENARIOS is one test. Its name says
what must hold.
"""
import collections
import concurrent.futures
import signal
import time

from harness import http, wait_until
from platform_fleet import PlatformFleet

ROUTERS = 5
STREAM_TOKENS = 110  # Reserved and used by one stream.
# A share of the budget for each router covers no stream.
SMALL_BUDGET = 450
MEMBERS_KNOWN_S = 3  # Until all routers know each other and have their tokens.


def held_here(fleet, name):
    """Returns the number of accounts that the router holds, by its log."""
    lines = [line for line in fleet.log_lines(name) if line["event"] == "pools"
             and line["members"] >= ROUTERS]
    return lines[-1]["held_here"] if lines else None


def holder_of(fleet):
    """Returns the router that holds the tokens of the only account."""
    wait_until(lambda: all(held_here(fleet, name) is not None
                           for name in fleet.routers), "all members")
    holders = [name for name in fleet.routers if held_here(fleet, name) == 1]
    assert len(holders) == 1, holders
    return holders[0]


def spend(fleet, names, tag, count):
    """Sends streams to the routers in turn; returns how many got each status."""
    with concurrent.futures.ThreadPoolExecutor(8) as pool:
        return collections.Counter(pool.map(
            lambda n: fleet.stream(names[n % len(names)], f"{tag}-{n}").status,
            range(count)))


def a_small_budget_can_be_spent_at_any_router():
    """Every router serves the first calls of a budget of four streams.

    Guards against budgets that are divided among so many routers that no part
    covers a call, and against overspend by the routers together.
    """
    with PlatformFleet(routers=ROUTERS, prepaid=SMALL_BUDGET) as fleet:
        holder_of(fleet)
        time.sleep(MEMBERS_KNOWN_S)
        served = 0
        for number, name in enumerate(list(fleet.routers)[:4]):
            served += fleet.stream(name, f"f{number}").status == 200
        more = spend(fleet, list(fleet.routers), "more", 20)
        print(f"{served} of 4, then {dict(more)}", flush=True)
        assert served == 4, served
        assert more[200] == 0 and set(more) <= {402, 503}, more


def a_budget_is_spent_to_its_end_by_all_routers():
    """Five routers spend one budget completely and without overspend."""
    with PlatformFleet(routers=ROUTERS, prepaid=5_000) as fleet:
        holder_of(fleet)
        names = list(fleet.routers)
        statuses = spend(fleet, names, "b", 60)
        time.sleep(2)
        statuses += spend(fleet, names, "c", 60)
        print(dict(statuses), flush=True)
        assert statuses[200] * STREAM_TOKENS <= 5_000, statuses
        assert statuses[200] >= 44, statuses
        assert set(statuses) <= {200, 402, 503}, statuses


def lose_holder(fleet, lose):
    """Counts statuses before and after the holder is lost, at the others."""
    holder = holder_of(fleet)
    others = [name for name in fleet.routers if name != holder]
    time.sleep(MEMBERS_KNOWN_S)
    before = spend(fleet, others, "before", 40)
    lose(fleet.processes[holder])
    after = spend(fleet, others, "after", 40)
    return holder, others, before, after


def a_holder_that_is_killed_is_replaced():
    """The others are served meanwhile, and a new process takes part again.

    Guards against an account that is refused because one router is dead, and
    against overspend when the dead one's tokens are charged.
    """
    prepaid = 100_000
    with PlatformFleet(routers=ROUTERS, prepaid=prepaid) as fleet:
        holder, others, before, after = lose_holder(
            fleet, lambda process: process.kill())
        fleet.processes[holder].wait()
        fleet.start_router(holder)
        fleet.wait_ready(holder)
        late = spend(fleet, list(fleet.routers), "late", 40)
        print(f"{dict(before)}, {dict(after)}, {dict(late)}", flush=True)
        assert before == {200: 40}, before
        assert after[200] >= 38 and set(after) <= {200, 503}, after
        assert late[200] >= 38 and set(late) <= {200, 503}, late


def a_holder_that_is_paused_does_not_spend_twice():
    """The holder stands still while others take its place, and wakes up.

    Guards against two routers that spend the same tokens around a hand-over.
    """
    prepaid = 11_000
    with PlatformFleet(routers=ROUTERS, prepaid=prepaid) as fleet:
        holder, others, before, after = lose_holder(
            fleet, lambda process: process.send_signal(signal.SIGSTOP))
        fleet.processes[holder].send_signal(signal.SIGCONT)
        rest = spend(fleet, list(fleet.routers), "rest", 60)
        time.sleep(2)
        rest += spend(fleet, list(fleet.routers), "end", 60)
        served = before[200] + after[200] + rest[200]
        print(f"{dict(before)}, {dict(after)}, {dict(rest)}", flush=True)
        assert served * STREAM_TOKENS <= prepaid, served
        assert served >= 0.9 * prepaid // STREAM_TOKENS, served


def a_stopped_holder_hands_its_tokens_back():
    """The holder stops in order under load: nothing is cut or stranded."""
    prepaid = 22_000
    with PlatformFleet(routers=ROUTERS, prepaid=prepaid) as fleet:
        holder, others, before, after = lose_holder(
            fleet, lambda process: process.send_signal(signal.SIGTERM))
        assert fleet.processes[holder].wait(timeout=20) == 0
        assert after[200] >= 39 and set(after) <= {200, 503}, after
        rest = spend(fleet, others, "rest", 160)
        time.sleep(2)
        rest += spend(fleet, others, "end", 40)
        served = before[200] + after[200] + rest[200]
        print(f"{dict(before)}, {dict(after)}, {dict(rest)}", flush=True)
        assert served * STREAM_TOKENS <= prepaid, served
        assert served >= 0.95 * prepaid // STREAM_TOKENS, served


def odd_messages_about_tokens_harm_no_holder():
    """Guards against a router that ends, or loses tokens, by a bad message."""
    with PlatformFleet(routers=ROUTERS, prepaid=SMALL_BUDGET) as fleet:
        holder = holder_of(fleet)
        peer = f"http://127.0.0.1:{fleet.routers[holder][2]}/pool"
        for body in (b"", b"\x00", b"\x91" * 100_000, b"\xdd\xff\xff\xff\xff",
                     b"\x95\x01\xa1x\xcf" + b"\xff" * 8 + b"\x90\x91\x93\x01"
                     b"\xa4ring\xd3\x80" + b"\x00" * 7):
            assert http("POST", peer, body=body).status == 400
        time.sleep(MEMBERS_KNOWN_S)
        served = spend(fleet, list(fleet.routers), "s", 4)
        assert served == {200: 4}, served


SCENARIOS = [
    a_small_budget_can_be_spent_at_any_router,
    a_budget_is_spent_to_its_end_by_all_routers,
    a_holder_that_is_killed_is_replaced,
    a_holder_that_is_paused_does_not_spend_twice,
    a_stopped_holder_hands_its_tokens_back,
    odd_messages_about_tokens_harm_no_holder,
]
