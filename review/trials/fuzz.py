"""Odd entries, odd answers and odd requests; the routers must stay up."""
import base64
import json
import pathlib
import random
import socket
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib"))
import fleet as small

SEED = int(sys.argv[1]) if len(sys.argv) > 1 else 1
LENGTH_S = 45
dice = random.Random(SEED)

NUMBERS = ["0", "-1", "1", "2147483647", "2147483648", "-2147483649",
           "9223372036854775807", "9223372036854775808",
           "18446744073709551616", "1e308", "1e400", "-0.0", "0.0001", "NaN",
           "inf", "1.5", "", " ", "0x10", "1,2", "1;2", "007", "9" * 300]


def odd_value(depth=0):
    kind = dice.randrange(9)
    if kind == 0:
        return dice.choice([0, -1, 1, 2**31, 2**53, 2**63, 2**64 - 1, -2**63])
    if kind == 1:
        return dice.choice([1e308, -1e308, 0.5, 1e-300, 1e19])
    if kind == 2:
        return None
    if kind == 3:
        return dice.choice([True, False])
    if kind == 4:
        return dice.choice(["", "x" * 300, "\u0000", "é", "ready", "draining",
                            "127.0.0.1:99999", "127.0.0.1:0", "[::1]:80",
                            "127.0.0.1", "desk", "engine", "\ud83d\ude00"])
    if kind == 5:
        return dice.choice(NUMBERS)
    if depth > 2:
        return []
    if kind == 6:
        return [odd_value(depth + 1) for _ in range(dice.randrange(3))]
    return {dice.choice(["a", "service", ""]): odd_value(depth + 1)}


def odd_entry(runner):
    choice = dice.randrange(6)
    if choice == 0:
        return bytes(dice.randrange(256) for _ in range(dice.randrange(1, 99)))
    if choice == 1:
        deep = dice.choice([100, 5000, 100_000])
        return b"[" * deep + b"]" * deep
    if choice == 2:
        deep = dice.choice([100, 40_000])
        return b'{"address":' * deep + b"1" + b"}" * deep
    entry = json.loads(runner.entry())
    for name in dice.sample(sorted(entry), dice.randrange(1, 4)):
        if dice.random() < 0.2:
            del entry[name]
        else:
            entry[name] = odd_value()
    return json.dumps(entry).encode()


HEADERS = ["Server-Load", "Server-Limit", "Retry-After", "Keep-Alive",
           "Server-Leaving", "Weight-Versions", "Connection", "Not-Executed",
           "Content-Encoding", "Trailer", "Upgrade", "Content-Type"]


async def odd_answer(self, line, headers, writer):
    request = headers.get("attempt-id", "")
    self.runs.append((request, "", line))
    marks = [("Attempt-Id", request), ("Server-Stamp", "s")]
    for _ in range(dice.randrange(3)):
        value = dice.choice(NUMBERS + ["timeout=" + dice.choice(NUMBERS),
                                       "close", "1, 2, 3", "-1,-1,-1",
                                       "999999999999,1,0", "1,1,0"])
        marks.append((dice.choice(HEADERS), value))
    status = dice.choice([200, 200, 200, 200, 204, 205, 206, 304, 301, 400, 404,
                          421, 429, 500, 503, 504, 599, 999, 100, 103])
    body = bytes(dice.randrange(256) for _ in range(dice.randrange(200)))
    choice = dice.randrange(10)
    if choice == 0:
        writer.write(bytes(dice.randrange(256) for _ in range(400)))
        writer.close()
    elif choice == 1:
        head = b"HTTP/1.1 200 OK\r\nServer-Stamp: s\r\nAttempt-Id: %s\r\n" \
            b"Transfer-Encoding: chunked\r\n\r\n" % request.encode()
        writer.write(head + dice.choice([
            b"5\r\nabc", b"ffffffffffffffffff\r\n", b"-1\r\n", b"0\r\nA: b\r\n",
            b"3;" + b"x" * 300_000 + b"\r\nabc\r\n0\r\n\r\n",
            b"id: 1\n\n", b"9\r\nid: 1\n\n\n\r\n0\r\n\r\n",
            b"c\r\nid: 99999999999999999999\n\n\r\n0\r\n\r\n"]))
        if dice.random() < 0.5:
            writer.close()
    else:
        writer.write(small.answer_bytes(status, body, marks))
        if dice.random() < 0.2:
            writer.write(small.answer_bytes(200, b"extra", marks))
    await writer.drain()


REQUESTS = ["Attempt-Id", "Deadline-Ms", "Token-Count", "Prompt-Prefix", "Model",
            "Last-Event-Id", "Resumes", "Length-Hint", "Kv-Hold", "Pin-Ms",
            "Kv-Backup", "Kv-From", "Kv-Fetch", "Request-Priority", "Tenant",
            "Expect-Version", "Expect-Instance", "Connection", "Expect",
            "Content-Type", "TE", "Upgrade", "Host", "Key"]
METHODS = ["GET", "POST", "POST", "POST", "POST", "POST", "POST", "PUT", "DELETE", "PATCH", "OPTIONS", "HEAD", "BREW",
           "CONNECT", "PROPFIND", "get", "M-SEARCH", "LINK"]


def odd_request(number):
    path = dice.choice(["/lookup/a", "/sale/a", "/stream/x"] * 5 + [ "/lookup/%00",
                        "/lookup/?q=" + "x" * 500, "*", "/", "/lookup",
                        "http://ring.example/lookup/a", "/stream/\xe9"])
    lines = [f"{dice.choice(METHODS)} {path} HTTP/1.{dice.choice('1110')}"]
    fields = {"Host": "ring.example", "Attempt-Id": f"f{number}",
              "Deadline-Ms": "2000", "Key": "key-ring"}
    if "stream" in path:
        fields.update({"Model": "m", "Token-Count": "100,20",
                       "Prompt-Prefix": "a1:50,b2:50"})
    for _ in range(dice.randrange(3)):
        fields[dice.choice(REQUESTS)] = dice.choice(NUMBERS + [
            "a:b", "a1:1,", "ffffffffffffffffff:1", ",,,,", "a1:2147483647,b:2",
            "Key, Host", "100-continue", "close", "x" * 3000])
    body = b"x" * dice.choice([0, 0, 1, 10, 70_000])
    lines += [f"{name}: {value}" for name, value in fields.items()]
    data = b""
    if lines[0].startswith(("BREW", "LINK", "GET", "HEAD", "CONNECT")):
        body = body[:dice.choice([0, 1])]
    if dice.random() < 0.4:
        lines.append("Transfer-Encoding: chunked")
        data = b"%x\r\n%s\r\n" % (len(body), body) if body else b""
        data += dice.choice([b"0\r\n\r\n", b"0\r\nKey: x\r\n\r\n",
                             b"0\r\nAttempt-Id: y\r\nTenant: z\r\n\r\n"])
    else:
        lines.append(f"Content-Length: {len(body)}")
        data = body
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + data


def clients(fleet, stop, record, counts):
    number = 0
    while not stop.is_set():
        name = dice.choice(list(fleet.ports))
        number += 1
        raw = odd_request(number)
        try:
            with socket.create_connection((small.HOST, fleet.ports[name][0]),
                                          timeout=2) as channel:
                channel.settimeout(dice.choice([0.02, 0.3, 2.5]))
                channel.sendall(raw)
                if dice.random() < 0.2:
                    channel.sendall(odd_request(number))
                answer = channel.recv(65536)
                counts[answer[9:12]] = counts.get(answer[9:12], 0) + 1
        except OSError as error:
            counts[type(error).__name__] = counts.get(
                type(error).__name__, 0) + 1
        for router, process in fleet.processes.items():
            if process.poll() is not None:
                record(f"{router} ended, {process.returncode}; last: "
                       f"{raw[:400]!r}; {fleet.log(router)[-600:]}")
                print(f"{router} ended, {process.returncode}; last request: "
                      f"{raw[:300]!r}; log: {fleet.log(router)[-300:]}")
                stop.set()


def play(record):
    with small.Fleet(record) as fleet:
        fleet.start()
        runners = list(fleet.runners.values())
        small.Runner.answer = odd_answer
        stop, counts = threading.Event(), {}
        threads = [threading.Thread(target=clients,
                                    args=(fleet, stop, record, counts))
                   for _ in range(12)]
        for thread in threads:
            thread.start()
        end = time.monotonic() + LENGTH_S
        while time.monotonic() < end and not stop.is_set():
            runner = dice.choice(runners)
            key = (runner.name if dice.random() < 0.02 else
                   dice.choice(["x" * 255, "odd", f"k{dice.randrange(50)}"]))
            fleet.do(fleet.store.write("keyed.servers", key, odd_entry(runner)))
            time.sleep(0.02)
        ended = stop.is_set()
        stop.set()
        for thread in threads:
            thread.join()
        for name, process in fleet.processes.items():
            status = pathlib.Path(f"/proc/{process.pid}/status").read_text() \
                if process.poll() is None else "VmRSS: 0"
            print(name, process.poll(), status.split("VmRSS:")[1].split()[0],
                  "ready", fleet.is_ready(name))
        print(sorted(counts.items(), key=str))
        return "a router ended" if ended else None


small.main(__file__, play)
