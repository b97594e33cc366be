"""Cuts single routers of a PlatformFleet off from the runners.

A router that can be cut off reads the store through a StoreProxy, which tells it
the addresses of PathProxies in place of those of the runners. All other paths of
the router stay as they are.
"""
import base64
import contextlib
import json
import socket
import threading
import time
from http.client import HTTPConnection, HTTPException
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

from platform_fleet import PlatformFleet
from raw_endpoint import reset

READ_BYTES = 65_536
POLL_S = 0.1
BACKLOG = 64
# Connections that fill the queue of a listener that accepts none: the opening
# packets of further ones are dropped.
QUEUE_FILLERS = 3


class PathProxy:
    """The path from one router to one runner."""

    def __init__(self, target_port):
        self.target_port = target_port
        self.lock = threading.Lock()
        self.pairs = set()  # Open connections, each with its other side.
        self.fillers = []
        self.is_silent = False
        self.is_accepting = True
        self.listener = self.listen(0)
        self.port = self.listener.getsockname()[1]
        self.start_accepting()

    @staticmethod
    def listen(port):
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind(("127.0.0.1", port))
        listener.listen(BACKLOG)
        return listener

    def start_accepting(self):
        self.listener.settimeout(POLL_S)
        threading.Thread(target=self.accept, args=(self.listener,),
                         daemon=True).start()

    def accept(self, listener):
        while listener is self.listener and self.is_accepting:
            try:
                connection, _ = listener.accept()
            except socket.timeout:
                continue
            except OSError:
                return
            try:
                target = socket.create_connection(
                    ("127.0.0.1", self.target_port))
            except OSError:
                reset(connection)
                continue
            with self.lock:
                self.pairs.add((connection, target))
            for one, other in ((connection, target), (target, connection)):
                threading.Thread(target=self.pump, args=(one, other),
                                 daemon=True).start()

    def pump(self, source, target):
        with contextlib.suppress(OSError):
            while data := source.recv(READ_BYTES):
                if not self.is_silent:
                    target.sendall(data)
            target.shutdown(socket.SHUT_WR)

    def close_listener(self):
        listener, self.listener = self.listener, None
        if listener:
            listener.close()

    def cut(self, how):
        """Cuts the path: "hang", "reset", or "refuse" for new connections."""
        if how == "hang":
            return self.fall_silent()
        self.close_listener()
        time.sleep(2 * POLL_S)  # An accept in progress keeps it open.
        if how == "refuse":
            return
        with self.lock:
            pairs, self.pairs = self.pairs, set()
        for pair in pairs:
            for connection in pair:
                with contextlib.suppress(OSError):
                    connection.shutdown(socket.SHUT_RDWR)
                reset(connection)

    def fall_silent(self):
        """Passes nothing on, and lets no connection come about."""
        self.is_silent = True
        self.is_accepting = False
        time.sleep(2 * POLL_S)  # For an accept that is in progress.
        self.listener.listen(0)
        for _ in range(QUEUE_FILLERS):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(("127.0.0.1", self.port))
            self.fillers.append(filler)

    def restore(self):
        self.is_silent = False
        for filler in self.fillers:
            filler.close()
        self.fillers = []
        if self.listener:
            self.listener.listen(BACKLOG)
            self.is_accepting = True
        else:
            self.listener = self.listen(self.port)
        self.start_accepting()


class KeepingPath(PathProxy):
    """A path that keeps bytes while it hangs, and passes them on later.

    As in a network, bytes are lost whose sender has reset the connection.
    """

    def hang(self):
        self.is_silent = True

    def go_on(self):
        self.is_silent = False

    def pump(self, source, target):
        with contextlib.suppress(OSError):
            while data := source.recv(READ_BYTES):
                while self.is_silent:
                    time.sleep(POLL_S)
                if source.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
                    raise ConnectionResetError
                target.sendall(data)
            target.shutdown(socket.SHUT_WR)


class StoreProxy:
    """The store as one router sees it: with other ports of the runners."""

    def __init__(self, store_port, ports):
        self.store_port = store_port
        self.ports = {}
        for runner, path in ports.items():
            self.hide(runner, path)
        proxy = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def log_message(self, *_):
                pass

            def do_GET(self):
                proxy.serve(self)

            do_POST = do_GET

        self.server = ThreadingHTTPServer(("127.0.0.1", 0), Handler)
        self.server.daemon_threads = True
        self.port = self.server.server_address[1]
        threading.Thread(target=self.server.serve_forever,
                         daemon=True).start()

    def hide(self, port, instead):
        """Shows another port in place of that of a runner."""
        self.ports[str(port).encode()] = str(instead).encode()

    def serve(self, handler):
        size = int(handler.headers.get("Content-Length", "0"))
        body = handler.rfile.read(size)
        connection = HTTPConnection("127.0.0.1", self.store_port, timeout=60)
        try:
            connection.request(handler.command, handler.path, body=body,
                               headers=dict(handler.headers))
            response = connection.getresponse()
            answer = self.rewrite(handler.path, response.read())
        except (OSError, HTTPException):
            handler.close_connection = True
            return
        finally:
            connection.close()
        handler.send_response(response.status)
        for name, value in response.getheaders():
            if name.lower() not in ("content-length", "connection", "server",
                                    "date", "transfer-encoding"):
                handler.send_header(name, value)
        handler.send_header("Content-Length", str(len(answer)))
        handler.end_headers()
        handler.wfile.write(answer)

    def rewrite(self, path, answer):
        if "keyed.servers" not in path:
            return answer
        if "log-newest" not in path:
            return self.replace_ports(answer)
        with contextlib.suppress(ValueError):
            document = json.loads(answer)
            for item in document.get("items", []):
                value = self.replace_ports(base64.b64decode(item["value"]))
                item["value"] = base64.b64encode(value).decode()
            return json.dumps(document).encode()
        return answer

    def replace_ports(self, data):
        """All ports have five digits, so that no length changes."""
        for runner, path in self.ports.items():
            data = data.replace(b"127.0.0.1:" + runner, b"127.0.0.1:" + path)
        return data


class CuttableFleet(PlatformFleet):
    """A fleet of which some routers can be cut off from all runners.

    cuttable: their names. path: class of the paths to the runners.
    """

    def __init__(self, cuttable, path=PathProxy, **options):
        super().__init__(**options)
        self.paths = {router: {name: path(port) for name, (_, port)
                               in self.runners.items()}
                      for router in cuttable}
        self.store_proxies = {
            router: StoreProxy(self.store_port,
                               {self.runners[name][1]: path.port
                                for name, path in paths.items()})
            for router, paths in self.paths.items()}

    def start_router(self, name):
        proxy = self.store_proxies.get(name)
        self.router_store_port = proxy.port if proxy else self.store_port
        super().start_router(name)

    def cut(self, routers, how):
        cuts = [threading.Thread(target=path.cut, args=(how,))
                for router in routers for path in self.paths[router].values()]
        for one in cuts:
            one.start()
        for one in cuts:
            one.join()

    def restore(self, routers):
        for router in routers:
            for path in self.paths[router].values():
                path.restore()
