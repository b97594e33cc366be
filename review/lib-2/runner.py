"""Stand-in for a runner: one process, HTTP/1.1, registers itself in the store.

It writes a line for each event to its log file before it goes on, so that a
crash loses none: arrive, run, event, done. The times are of the steady clock,
which all processes of the machine share.

Options (JSON in the first argument): id, service, port, store, zone, version,
log, born; event_ms (pause before each event of a stream), work_ms (of other
requests), crash_body (the process ends at once when it begins to run a request
with this body), crash_part (hexadecimal id of a prompt part, not the last: the
process ends when it begins to write an answer on it), unframed (streams have
neither a length nor chunks and end with their channel).
"""
import asyncio
import json
import os
import struct
import sys
import time

HEARTBEAT_S = 1.2
OPTIONS = json.loads(sys.argv[1])
LOG = open(OPTIONS["log"], "a", buffering=1)
BORN = int(time.time() * 1000)
CRASH_STATUS = 86


def note(what, request="", detail=""):
    LOG.write(json.dumps({"t": round(time.monotonic(), 4), "what": what,
                          "runner": OPTIONS["id"],
                          "version": OPTIONS.get("version", "v1"),
                          "id": request, "detail": detail}) + "\n")


async def register():
    """Writes the entry at the start and about every heartbeat."""
    sequence = 0
    while True:
        sequence += 1
        entry = json.dumps({
            "service": OPTIONS["service"],
            "address": f"127.0.0.1:{OPTIONS['port']}",
            "zone": OPTIONS.get("zone", "zone-a"),
            "version": OPTIONS.get("version", "v1"),
            "slots": OPTIONS.get("slots", 16), "state": "ready",
            "coldLeftMs": 0, "sequence": sequence, "born": BORN}).encode()
        key = OPTIONS["id"].encode()
        content = bytes([len(key)]) + key + entry
        body = struct.pack(">I", len(content)) + content
        try:
            reader, writer = await asyncio.open_connection(
                "127.0.0.1", OPTIONS["store"])
            writer.write(b"POST /-/log-append?topic=keyed.servers&part=0 "
                         b"HTTP/1.1\r\nHost: store\r\nX-Writer: 1\r\n"
                         b"Connection: close\r\nContent-Length: "
                         + str(len(body)).encode() + b"\r\n\r\n" + body)
            await writer.drain()
            status = (await reader.readline()).split(b" ")[1:2]
            if status != [b"200"]:
                note("not registered", detail=str(status))
            writer.close()
        except OSError:
            pass
        await asyncio.sleep(HEARTBEAT_S)


async def read_request(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    method, path, _ = lines[0].split(" ", 2)
    fields = {}
    for line in lines[1:]:
        if line:
            name, value = line.split(":", 1)
            fields[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(fields.get("content-length", 0)))
    return method, path, fields, body.decode("latin-1")


def whole(status, fields, body):
    head = f"HTTP/1.1 {status} x\r\nContent-Length: {len(body)}\r\n"
    head += "".join(f"{n}: {v}\r\n" for n, v in fields.items())
    return (head + "\r\n" + body).encode()


def has_crash_part(fields):
    part = OPTIONS.get("crash_part")
    parts = [p.split(":")[0].strip()
             for p in fields.get("prompt-prefix", "").split(",")]
    return part is not None and part in parts[:-1]


async def stream(writer, fields, request, marks):
    """Sends events; returns False if the channel must end."""
    first = int(fields.get("last-event-id") or 0) + 1
    last = int(fields.get("token-count", "0,10").split(",")[1])
    unframed = OPTIONS.get("unframed", False)
    head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
    head += "".join(f"{n}: {v}\r\n" for n, v in marks.items())
    head += "\r\n" if unframed else "Transfer-Encoding: chunked\r\n\r\n"
    writer.write(head.encode())
    await writer.drain()
    if has_crash_part(fields):
        note("crash", request, "prompt part")
        os._exit(CRASH_STATUS)
    for number in range(first, last + 1):
        await asyncio.sleep(OPTIONS.get("event_ms", 20) / 1000)
        event = (f"id: {number}\ndata: piece {number} by "
                 f"{OPTIONS.get('version', 'v1')}\n\n").encode()
        if not unframed:
            event = f"{len(event):x}\r\n".encode() + event + b"\r\n"
        writer.write(event)
        await writer.drain()
    if not unframed:
        writer.write(b"0\r\n\r\n")
        await writer.drain()
    return not unframed


async def serve(reader, writer):
    try:
        while True:
            method, path, fields, body = await read_request(reader)
            request = fields.get("attempt-id", "")
            marks = {"Attempt-Id": request}
            if path == OPTIONS.get("health", "/healthz"):
                writer.write(whole(200, {"Instance-Id": OPTIONS["id"]}, ""))
                continue
            note("arrive", request, f"{method} {path} {body[:40]}")
            if fields.get("expect-instance", OPTIONS["id"]) != OPTIONS["id"]:
                writer.write(whole(421, {**marks,
                                         "Instance-Id": OPTIONS["id"]}, ""))
                continue
            note("run", request, f"tenant={fields.get('tenant', '')} "
                                 f"tokens={fields.get('token-count', '')} "
                                 f"after={fields.get('last-event-id', '')}")
            if body and body == OPTIONS.get("crash_body"):
                note("crash", request, "request")
                os._exit(CRASH_STATUS)
            marks["Server-Stamp"] = f"{OPTIONS['id']}.{request}"
            if "/stream/" in path:
                if not await stream(writer, fields, request, marks):
                    note("done", request)
                    break
            else:
                await asyncio.sleep(OPTIONS.get("work_ms", 20) / 1000)
                writer.write(whole(200, marks, f"by {OPTIONS['id']}"))
                await writer.drain()
            note("done", request)
    except (asyncio.IncompleteReadError, ConnectionError):
        pass
    finally:
        writer.close()


async def main():
    server = await asyncio.start_server(serve, "127.0.0.1", OPTIONS["port"],
                                        backlog=128)
    note("start")
    asyncio.create_task(register())
    await server.serve_forever()

asyncio.run(main())
