"""Routers are killed or stopped for a while, one after another, under load."""
import concurrent.futures
import itertools
import pathlib
import random
import signal
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib"))
import fleet as small

SEED = int(sys.argv[1]) if len(sys.argv) > 1 else 1
dice = random.Random(SEED)
ROUTERS = dice.choice([2, 3, 4, 6])
PREPAID = dice.choice([1_000_000, 3_000_000])
WIDTH = dice.choice([6, 12, 24])
DRILLS = dice.choice([4, 8])
LOAD_S = 45
PAUSE_S = dice.choice([0.0, 0.05, 0.3])


def play(record):
    zones = [f"zone-{'ab'[n % 2]}" for n in range(ROUTERS)]
    with small.Fleet(record, routers=ROUTERS, engines=2, desks=1, zones=zones,
                     prepaid=PREPAID) as fleet:
        for runner in fleet.runners.values():
            runner.event_s = dice.choice([0.005, 0.02])
        fleet.start()
        stop = threading.Event()
        spent = [0] * WIDTH
        refused = [0] * WIDTH
        names = list(fleet.ports)
        hot = [names]

        def load(number):
            own = random.Random(SEED * 100 + number)
            for count in itertools.count():
                if stop.is_set():
                    return
                tokens = own.choice([200, 1000, 2500])
                status, _, body = fleet.stream(own.choice(hot[0]),
                                               f"s{number}-{count}", tokens, 20)
                if status == 200 and b"data: piece 20 " in body:
                    spent[number] += tokens + 20
                else:
                    refused[number] += 1
                    time.sleep(0.1)
                time.sleep(PAUSE_S * own.random() * 2)

        copies = []

        def copy():
            while not stop.is_set():
                fleet.do(fleet.store.save())
                copies.append((time.monotonic(), fleet.store.saved))
                while copies and time.monotonic() - copies[0][0] > 6:
                    copies.pop(0)
                time.sleep(0.2)

        pool = concurrent.futures.ThreadPoolExecutor(WIDTH + 1)
        for number in range(WIDTH):
            pool.submit(load, number)
        pool.submit(copy)
        shift = threading.Thread(target=lambda: [
            (hot.__setitem__(0, dice.sample(names, dice.randrange(
                1, len(names) + 1))), time.sleep(dice.uniform(0.3, 3)))
            for _ in range(40)], daemon=True)
        shift.start()
        time.sleep(dice.uniform(1.5, 5))
        if small.trouble():
            for _ in range(DRILLS):
                name = dice.choice(names)
                if dice.random() < 0.6:
                    fleet.kill(name)
                    time.sleep(dice.uniform(0.1, 2.5))
                    fleet.start_router(name)
                else:
                    process = fleet.processes[name]
                    process.send_signal(signal.SIGSTOP)
                    time.sleep(dice.uniform(0.5, 4))
                    process.send_signal(signal.SIGCONT)
                record(f"{name}; spent {sum(spent)}")
                print(f"seed {SEED} {name}: {sum(spent)}")
                time.sleep(dice.choice([0.1, 0.5, 2]))
        hot[0] = names
        time.sleep(max(5, LOAD_S - 25))
        shift.join(60)
        hot[0] = names
        before = -1
        while before != sum(spent):
            before = sum(spent)
            time.sleep(3)
        stop.set()
        text = (f"seed {SEED}: {ROUTERS} routers, {DRILLS} drills, width "
                f"{WIDTH}: spent {sum(spent)} of {PREPAID}, "
                f"read and made {fleet.delivered()}, refused {sum(refused)}")
        record(text)
        print(text, flush=True)
        return "BUDGET" if fleet.delivered() > PREPAID else None


small.main(__file__, play)
