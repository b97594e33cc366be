"""More clients come than the runners can take, after a calm while."""
import concurrent.futures
import pathlib
import random
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib"))
import fleet as small

ROUTERS = 4
SLOTS = 2
QUEUE = 2
WORK_S = 0.13
CALM_PER_S = 24
BURST_X = 2.5
CALM_S = 25
BURST_S = 10
WINDOW_S = 10
RATIO, SLACK = 0.2, 54


class Desk:
    """What a runner with few slots does: the rest is turned away, not run."""

    def __init__(self, runner):
        import asyncio
        self.runner, self.arrivals, self.inside = runner, [], 0
        runner.slots = SLOTS
        runner.answer = self.answer
        self.slots = asyncio.Semaphore(SLOTS)

    async def answer(self, line, headers, writer):
        if line.split(" ")[1] == "/healthz":
            writer.write(small.answer_bytes(
                200, b"", [("Instance-Id", self.runner.name)]))
            return await writer.drain()
        request = headers.get("attempt-id", "")
        self.arrivals.append((time.monotonic(), request))
        marks = [("Attempt-Id", request)]
        if self.inside >= SLOTS + QUEUE:
            writer.write(small.answer_bytes(503, b"",
                                            marks + [("Not-Executed", "1")]))
            return await writer.drain()
        self.inside += 1
        try:
            async with self.slots:
                import asyncio
                await asyncio.sleep(WORK_S)
        finally:
            self.inside -= 1
        writer.write(small.answer_bytes(
            200, b"ok", marks + [("Server-Stamp", request)]))
        await writer.drain()


def send(fleet, sent, tag, per_s, for_s):
    with concurrent.futures.ThreadPoolExecutor(200) as pool:
        start, number = time.monotonic(), 0
        while number < per_s * for_s:
            time.sleep(max(0, start + number / per_s - time.monotonic()))
            request = f"{tag}-{number}"
            sent.append((time.monotonic(), request))
            pool.submit(fleet.call, random.choice(list(fleet.ports)),
                        "/lookup/a", request, Deadline_Ms="3000")
            number += 1


def worst(sent, arrivals):
    """The window with the most arrivals beyond what the rule allows."""
    seen, extra = set(), []
    for at, request in sorted(arrivals):
        if request in seen:
            extra.append(at)
        seen.add(request)
    most = None
    def count(times, start):
        return sum(start <= at < start + WINDOW_S for at in times)
    times = [at for at, _ in sent]
    for start in extra:
        requests = max(count(times, start - shift)
                       for shift in (0, WINDOW_S / 2, WINDOW_S))
        got, allowed = count(extra, start), RATIO * requests + SLACK
        if most is None or got - allowed > most[0]:
            most = (got - allowed, got, allowed, requests)
    return most, len(extra)


def play(record):
    with small.Fleet(record, routers=ROUTERS) as fleet:
        desks = [Desk(runner) for runner in fleet.runners.values()
                 if runner.service == "desk"]
        fleet.start()
        sent = []
        send(fleet, sent, "calm", CALM_PER_S, CALM_S)
        x = BURST_X if small.trouble() else 1
        send(fleet, sent, "burst", CALM_PER_S * x, BURST_S)
        arrivals = [one for desk in desks for one in desk.arrivals]
        most, extra = worst(sent, arrivals)
        record(f"{len(sent)} sent, {len(arrivals)} arrivals, {extra} repeats;"
               f" worst window: {most}")
        print(most, extra, len(arrivals), len(sent))
        if most and most[0] > 0:
            return f"BUDGET: {most[1]} repeats in a window, {most[2]} allowed"
        return None


small.main(__file__, play)
