"""Stand-in for the platform's metadata store: keyed topics of one partition.

Speaks what PROTOCOL.md and the news pages say: log-append with producer, epoch
and sequence, log-read with waitMs, log-newest in pages, and the header
Store-Era in all answers. It is always sound: no call is lost, slow or refused.

A drill (the news pages): POST /control?copy=1 keeps a copy of all topics;
POST /control?away=1 takes the store away: channels are closed without an answer
and nothing is done; POST /control?restore=1 brings it back from the copy, in the next era.
What the operator and the runners wrote since the copy is written again. The
epochs of producers go back with the copy.

Usage: store.py PORT
"""
import base64
import copy
import http.server
import json
import struct
import sys
import threading
import time
import urllib.parse

REWRITTEN = ("keyed.op", "keyed.servers")
PAGE_RECORDS = 500


class Topic:
    def __init__(self):
        self.records = []  # (key, value) by offset.
        self.newest = {}  # key -> (offset, value)
        self.producers = {}  # name -> (epoch, next sequence)

    def append(self, key, value):
        if value:
            self.newest[key] = (len(self.records), value)
        else:
            self.newest.pop(key, None)
        self.records.append((key, value))


class Store:
    def __init__(self):
        self.changed = threading.Condition()
        self.topics = {}
        self.copied = {}
        self.era = 0
        self.away = False

    def topic(self, name):
        return self.topics.setdefault(name, Topic())

    def control(self, query):
        with self.changed:
            if "copy" in query:
                self.copied = copy.deepcopy(self.topics)
            if "away" in query:
                self.away = True
            if "restore" in query:
                lost, self.topics = self.topics, copy.deepcopy(self.copied)
                self.era += 1
                self.away = False
                for name in REWRITTEN:
                    known = lost.get(name)
                    for key, (_, value) in (known.newest if known
                                            else {}).items():
                        now = self.topic(name).newest.get(key)
                        if now is None or now[1] != value:
                            self.topic(name).append(key, value)
            self.changed.notify_all()

    def append(self, query, body):
        with self.changed:
            topic = self.topic(query["topic"])
            if "producer" in query:
                epoch, number = int(query["epoch"]), int(query["sequence"])
                known = topic.producers.get(query["producer"])
                if known and epoch < known[0]:
                    return 409, {"reason": "fenced"}
                if known and epoch == known[0] and body and number != known[1]:
                    return 409, {"reason": "seq", "sequence": known[1]}
                topic.producers[query["producer"]] = (
                    epoch, number + 1 if body else number)
            offset = len(topic.records)
            while body:
                size = struct.unpack(">I", body[:4])[0]
                content, body = body[4:4 + size], body[4 + size:]
                topic.append(content[1:1 + content[0]].decode(),
                             content[1 + content[0]:])
            self.changed.notify_all()
            return 200, {"offset": offset, "end": len(topic.records)}

    def read(self, query):
        start = int(query["from"])
        until = time.monotonic() + int(query.get("waitMs", 0)) / 1000
        with self.changed:
            era = self.era
            while (len(self.topic(query["topic"]).records) <= start
                   and self.era == era and not self.away
                   and time.monotonic() < until):
                self.changed.wait(max(0, until - time.monotonic()))
            records = self.topic(query["topic"]).records
            if start > len(records):
                return 410, {"first": 0}
            out = struct.pack(">QQ", len(records), 0)
            for key, value in records[start:]:
                key = key.encode()
                out += struct.pack(">I", 1 + len(key) + len(value))
                out += bytes([len(key)]) + key + value
            return 200, out

    def newest(self, query):
        with self.changed:
            topic = self.topic(query["topic"])
            keys = sorted(k for k in topic.newest
                          if "after" not in query or k > query["after"])
            items = [{"key": k, "offset": topic.newest[k][0],
                      "value": base64.b64encode(topic.newest[k][1]).decode()}
                     for k in keys[:PAGE_RECORDS]]
            return 200, {"items": items, "more": len(keys) > PAGE_RECORDS,
                         "end": len(topic.records)}


STORE = Store()


class Handler(http.server.BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True

    def log_message(self, *_):
        pass

    def serve(self):
        url = urllib.parse.urlsplit(self.path)
        query = dict(urllib.parse.parse_qsl(url.query,
                                            keep_blank_values=True))
        body = self.rfile.read(int(self.headers.get("Content-Length") or 0))
        if url.path == "/control":
            STORE.control(query)
            return self.answer(200, {})
        if STORE.away:
            self.close_connection = True
            return None
        if url.path == "/-/log-append":
            status, content = STORE.append(query, body)
        elif url.path == "/-/log-read":
            status, content = STORE.read(query)
        elif url.path == "/-/log-newest":
            status, content = STORE.newest(query)
        else:
            status, content = 404, {}
        if STORE.away:
            self.close_connection = True
            return None
        return self.answer(status, content)

    def answer(self, status, content):
        data = content if isinstance(content, bytes) else json.dumps(
            content).encode()
        self.send_response(status)
        self.send_header("Content-Length", str(len(data)))
        self.send_header("Store-Era", str(STORE.era))
        self.end_headers()
        self.wfile.write(data)

    do_GET = do_POST = serve


class Server(http.server.ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 128


Server(("127.0.0.1", int(sys.argv[1])), Handler).serve_forever()
