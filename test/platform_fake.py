"""Stand-ins for the users' platform: its metadata store, servers and clients.

Platform puts them together with real routers (limpetplatformd).
"""

import base64
import json
import os
import random
import resource
import signal
import socket
import struct
import threading
import time
import urllib.parse

import fleet as f

HOST = "a.example"
PEER_PORTS = 4  # of each router, for other routers
CRASH_STATUSES = [-number for number in (signal.SIGSEGV, signal.SIGABRT, signal.SIGBUS,
                                         signal.SIGILL, signal.SIGFPE)]


class Listener:
    """Accepts connections on a loopback address and calls handle(connection) in a thread for each.

    The connection is closed when handle() returns or raises OSError."""

    def __init__(self, handle, port=0, ip="127.0.0.1"):
        self.handle = handle
        self.socket = socket.socket()
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.socket.bind((ip, port))
        self.socket.listen(128)
        self.port = self.socket.getsockname()[1]
        self.connections = []
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            try:
                connection, _ = self.socket.accept()
            except OSError:
                return
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self.connections.append(connection)
            threading.Thread(target=self.run, args=(connection,), daemon=True).start()

    def run(self, connection):
        try:
            self.handle(connection)
        except OSError:
            pass
        finally:
            connection.close()

    def close(self):
        try:
            self.socket.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass
        self.socket.close()
        for connection in self.connections:
            try:
                connection.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass


def reset(connection):
    """Resets a connection at once, though a file made of the socket may still be open."""
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    socket.close(connection.detach())


def break_off(connection):
    """Resets a connection after what was sent on it has arrived, and ends its thread."""
    time.sleep(0.05)
    reset(connection)
    raise OSError("closed")


class Message:
    """An HTTP message read from a binary file: start line, fields by lower-case name, body.

    Raises OSError if the connection closes before the message or inside its chunked body."""

    def __init__(self, file):
        self.line = file.readline().decode()
        if not self.line:
            raise OSError("closed")
        self.fields = {}
        while True:
            line = file.readline().decode().rstrip("\r\n")
            if not line:
                break
            name, _, value = line.partition(":")
            self.fields[name.lower()] = value.strip()
        self.body = b""
        self.chunks = []
        if "content-length" in self.fields:
            self.body = file.read(int(self.fields["content-length"]))
        elif self.fields.get("transfer-encoding") == "chunked":
            while True:
                line = file.readline()
                if not line:
                    raise OSError("closed in the middle of a body")
                size = int(line, 16)
                chunk = file.read(size)
                file.readline()
                if size == 0:
                    break
                self.chunks.append(chunk)
            self.body = b"".join(self.chunks)


class Store:
    """The platform's metadata store: a log of (key, value) records for each topic.

    The offset of a record is its index. requested_paths: paths of all requests received.
    topics, if given, are those of another store."""

    def __init__(self, topics=None):
        self.lock = threading.Condition()
        self.topics = {} if topics is None else topics
        self.requested_paths = []
        # For all requests: "ok", "busy" (503), "silent" (no response), "reset" or "endless" (a
        # body without end).
        self.mode = "ok"
        self.delay_s = 0
        self.repeats = False    # each response to log-read is sent again before the next one
        self.only_topic = None  # if given, mode and delay_s hold for this topic only
        self.bytes_per_s = 0   # limits the rate of each response; 0: no limit
        self.sent_bytes = {}   # bytes of all bodies sent, by topic
        self.lose = 0     # number of coming requests that get no response
        # What happens to coming requests for the topic faulty_topic, one after the other: "lost"
        # (no response) or "half" (half of the body and nothing more).
        self.faults = []
        self.faulty_topic = "keyed.op"
        self.first = {}   # offset of the oldest readable record of each topic
        self.page_keys = 0  # most keys of one response to log-newest; 0: all
        self.on_next_page = None  # called once before the second page of a snapshot is made
        self.alter_body = lambda path, body: body  # returns the body to be sent for a request for path
        self.era = None   # the value of Store-Era in all responses; None: they have no such field
        self.names_era = lambda path: True  # whether the response to a request for path has it
        self.appended = {}  # times at which the records of each topic were appended
        self.port = f.free_ports(1)[0]  # of a range that no connection takes while it is closed
        self.listener = Listener(self.serve, self.port)

    def put(self, topic, key, value):
        """Appends a record; the value None deletes the key, other types are written as JSON."""
        if value is not None and not isinstance(value, (str, bytes)):
            value = json.dumps(value)
        if isinstance(value, str):
            value = value.encode()
        with self.lock:
            self.append(topic, key, value)
            self.lock.notify_all()

    def append(self, topic, key, value):
        self.topics.setdefault(topic, []).append((key, value))
        self.appended.setdefault(topic, []).append(time.monotonic())

    def lose_newest(self, lost_s):
        """Goes on from a copy that is lost_s old, in the next era. Returns the newest record of each
        key that was lost, by topic."""
        since = time.monotonic() - lost_s
        lost = {}
        with self.lock:
            for topic, times in self.appended.items():
                kept = sum(at < since for at in times)
                newest = {}
                for key, value in self.topics[topic][kept:]:
                    newest.pop(key, None)  # so that the keys stay in the order of these records
                    newest[key] = value
                lost[topic] = list(newest.items())
                del self.topics[topic][kept:], times[kept:]
                self.first[topic] = min(self.first.get(topic, 0), kept)
            if self.era is not None:
                self.era += 1
        return lost

    def play_drill(self, lost_s, away_s, topics=("keyed.op", "keyed.servers"), write=None):
        """Refuses connections for away_s and comes back from a copy made lost_s before that, in which the
        newest record of each lost key of topics was written again, and what write() writes."""
        self.listener.close()
        time.sleep(away_s)
        with self.lock:  # a record put meanwhile comes after those written again
            lost = self.lose_newest(lost_s + away_s)
            for topic in topics:
                for key, value in lost.get(topic, ()):
                    self.put(topic, key, value)
        if write:
            write()
        self.listener = Listener(self.serve, self.listener.port)

    def drop_history(self, topic):
        """Drops the records of a topic: a read from an offset before the end gets 410. The
        snapshot (log-newest) still has the newest record of each key."""
        with self.lock:
            self.first[topic] = len(self.topics.get(topic, []))

    # Returns the number of requests received whose path contains part.
    def count(self, part):
        return sum(part in requested for requested in self.requested_paths)

    def serve(self, connection):
        file = connection.makefile("rb")
        last = b""
        while True:
            message = Message(file)
            method, path, _ = message.line.split()
            self.requested_paths.append(path)
            if self.repeats and "/log-read" in path:
                connection.sendall(last)
            is_meant = self.only_topic is None or "topic=" + self.only_topic in path
            mode = self.mode if is_meant else "ok"
            if self.delay_s and is_meant:
                time.sleep(self.delay_s)
            if mode == "silent" or self.lose > 0:
                self.lose -= mode != "silent"
                time.sleep(30)
                return
            is_faulty = self.faults and "topic=" + self.faulty_topic in path
            fault = self.faults.pop(0) if is_faulty else None
            if fault == "lost":
                time.sleep(30)
                return
            if mode == "reset":
                reset(connection)
                return
            if mode == "endless":
                connection.sendall(b"HTTP/1.1 200 X\r\n\r\n")
                while True:
                    connection.sendall(b"x" * 65536)
            status, body = (503, b"{}") if mode == "busy" else self.respond(path, message)
            body = self.alter_body(path, body)
            is_named = self.era is not None and self.names_era(path)
            era = "" if not is_named else "Store-Era: %s\r\n" % self.era
            head = b"HTTP/1.1 %d X\r\n%sContent-Length: %d\r\n\r\n" % (status, era.encode(),
                                                                        len(body))
            last = head + body if "/log-read" in path else b""
            connection.sendall(head)
            topic = dict(urllib.parse.parse_qsl(urllib.parse.urlparse(path).query))["topic"]
            if fault == "half":
                self.send_body(connection, topic, body[:len(body) // 2])
                time.sleep(30)
                return
            self.send_body(connection, topic, body)

    def send_body(self, connection, topic, body):
        """Sends body in pieces, each 20 ms, if the rate is limited."""
        size = self.bytes_per_s // 50 or len(body)
        for start in range(0, len(body), max(1, size)):
            piece = body[start:start + size]
            connection.sendall(piece)
            with self.lock:
                self.sent_bytes[topic] = self.sent_bytes.get(topic, 0) + len(piece)
            if self.bytes_per_s:
                time.sleep(len(piece) / self.bytes_per_s)

    def respond(self, path, message):
        url = urllib.parse.urlparse(path)
        query = dict(urllib.parse.parse_qsl(url.query))
        topic = query["topic"]
        if self.on_next_page and "after" in query:
            called, self.on_next_page = self.on_next_page, None
            called()
        with self.lock:
            records = self.topics.get(topic, [])
            if url.path.endswith("/log-newest"):
                newest = {}
                for offset, (key, value) in enumerate(records):
                    newest[key] = (value, offset)
                items = [{"key": k, "value": base64.b64encode(v).decode(), "offset": o}
                         for k, (v, o) in sorted(newest.items())
                         if v is not None and k > query.get("after", "")]
                page = items[:self.page_keys or len(items)]
                return 200, json.dumps({"items": page, "truncated": len(page) < len(items),
                                        "end": len(records)}).encode()
            if url.path.endswith("/log-append"):
                # A record: size (4 bytes, big-endian), length of the key (1 byte), key, value.
                size = struct.unpack(">I", message.body[:4])[0]
                record = message.body[4:4 + size]
                key = record[1:1 + record[0]].decode()
                self.append(topic, key, record[1 + record[0]:] or None)
                return 200, b'{"offset":%d,"end":%d}' % (len(records), len(records) + 1)
            start = int(query["from"])
            if start < self.first.get(topic, 0) or start > len(records):
                return 410, b'{"first":%d}' % self.first.get(topic, 0)
            out = struct.pack(">QQ", len(records), self.first.get(topic, 0))
            most = 1024 * int(query.get("max_kb", 1024))
            for key, value in records[start:]:
                record = bytes([len(key)]) + key.encode() + (value or b"")
                if len(out) + 4 + len(record) > most:
                    break
                out += struct.pack(">I", len(record)) + record
            return 200, out


class Server:
    """A server that registers itself in the store.

    on_request(server, message, connection), if given, may send the response itself; it then
    returns True."""

    count = 0  # number of servers created so far
    zone = "z"
    cold_until = 0  # as time.monotonic()

    def __init__(self, store, service, is_engine=False, slots=8, on_request=None, server_id=None,
                 version="v1", zone="z", cold_s=0):
        Server.count += 1
        self.id = server_id or "i-%d-%06x" % (Server.count, random.randrange(1 << 24))
        self.store = store
        self.service = service
        self.is_engine = is_engine
        self.slots = slots
        self.version = version
        self.zone = zone
        self.cold_until = time.monotonic() + cold_s
        self.on_request = on_request
        self.sequence = 0
        self.born = 1000 + Server.count
        self.ran = []       # ids of the requests that it ran
        self.seen = []      # all requests received, as Message
        self.closed = []    # (id, time) of requests during which the router closed the connection
        self.listener = Listener(self.serve)
        self.write("ready")

    # Writes the server's entry to the store; sequence replaces the next sequence number.
    def write(self, state, sequence=None):
        self.sequence += 1
        entry = {"service": self.service, "address": "127.0.0.1:%d" % self.listener.port,
                 "zone": self.zone, "version": self.version, "slots": self.slots, "state": state,
                 "seq": sequence or self.sequence, "born": self.born,
                 "cold_left_ms": max(0, round(1000 * (self.cold_until - time.monotonic())))}
        if self.is_engine:
            entry["stage"] = "both"
        self.store.put("keyed.servers", self.id, entry)

    def remove(self):
        self.store.put("keyed.servers", self.id, None)

    def serve(self, connection):
        file = connection.makefile("rb")
        while True:
            message = Message(file)
            self.seen.append(message)
            if message.fields.get("expect-instance", self.id) != self.id:
                connection.sendall(b"HTTP/1.1 421 X\r\nContent-Length: 0\r\n\r\n")
                continue
            if self.on_request is not None and self.on_request(self, message, connection):
                continue
            self.ran.append(message.fields.get("request-id"))
            self.reply(connection, message)

    # Returns the head of a response, without the empty line that ends it.
    def head(self, message, status=200, extra="", running=0):
        return ("HTTP/1.1 %d X\r\nRequest-Id: %s\r\nResponse-Seal: seal-%s\r\n"
                "Server-Load: %d,0,%d\r\n%s" % (status, message.fields.get("request-id", ""),
                                                self.id, running, self.slots, extra)).encode()

    def reply(self, connection, message, body=b"done", status=200):
        connection.sendall(self.head(message, status, "Content-Length: %d\r\n\r\n" % len(body))
                           + body)

    def wait_closed(self, connection, message, limit_s=5):
        """Waits until the peer closes or resets the connection (it resets it if it has not read
        all), and records the time in self.closed."""
        connection.settimeout(limit_s)
        try:
            is_closed = connection.recv(1) == b""
        except ConnectionError:
            is_closed = True
        except OSError:
            is_closed = False  # timed out
        if is_closed:
            self.closed.append((message.fields["request-id"], time.monotonic()))

    def close(self):
        self.listener.close()


# Returns an event of an event stream.
def event(number):
    return b"id: %d\ndata: piece %d\n\n" % (number, number)


# Returns data as a chunk of a chunked body.
def chunk(data):
    return b"%x\r\n%s\r\n" % (len(data), data)


# Returns a route of the configuration; more replaces or adds fields.
def route(name, prefix, kind, service, **more):
    entry = {"name": name, "host": HOST, "path_prefix": prefix, "kind": kind,
             "timeout_ms": 5000, "goal_ms": 500, "priority": 1, "service": service,
             "max_attempts": 2, "public": False, "sticky": kind == "streaming",
             "resumable": False, "gap_target_ms": 200}
    entry.update(more)
    return entry


# Returns a configuration as the store has it; keys are the API keys of its only tenant, and
# plain_fields more fields of the service "plain".
def configuration(version, routes, keys=("key-1",), plain_fields=(), **limits):
    return {"version": version, "routes": routes,
            "services": [dict({"name": "plain", "health_path": "/h", "max_conns": 99}, **dict(plain_fields)),
                         {"name": "sound", "health_path": "/h", "max_conns": 99},
                         {"name": "model", "health_path": "/h", "max_conns": 99,
                          "engine": {"slots": 8, "kv_capacity": 100000, "stride": 4}}],
            "limits": dict({"max_header_bytes": 8192, "max_body_bytes": 100000,
                            "header_timeout_ms": 700, "idle_timeout_ms": 15000}, **limits),
            "tenants": [{"name": "team-1", "api_keys": list(keys)}]}


ROUTES = [route("safe", "/safe/", "safe", "plain"),
          route("unsafe", "/unsafe/", "unsafe", "plain"),
          route("open", "/open/", "safe", "plain", public=True),
          route("short", "/short/", "unsafe", "plain", timeout_ms=400),
          route("stream", "/stream/", "streaming", "model"),
          route("resume", "/resume/", "streaming", "model", resumable=True)]


class Platform:
    """The store, servers and routers of one test.

    As a context manager it ends the routers and closes the listeners."""

    def __init__(self, routers=1, routes=None, start=True, memory_mb=160, max_fds=None, **limits):
        """max_fds: descriptors of each router, for its settings and as a limit of its process; limits: of the
        configuration."""
        self.directory = f.tempfile.mkdtemp(prefix="limpet-platform-")
        self.memory_mb = memory_mb
        self.max_fds = max_fds
        self.store = Store()
        self.second_store = None
        self.servers = []
        self.routers = []
        self.routes = routes or ROUTES
        self.version = 1
        self.peer_port = f.free_port_range(PEER_PORTS)
        self.configure(**limits)
        self.router_count = routers
        if start:
            self.start()

    def __enter__(self):
        return self

    def __exit__(self, *unused):
        crashed = [router for router in self.routers
                   if router["process"].popen.poll() in CRASH_STATUSES]
        for router in self.routers:
            router["process"].kill()
        if self.second_store:
            self.second_store.listener.close()
        for server in self.servers:
            server.close()
        self.store.listener.close()
        for router in crashed:
            raise AssertionError("a router crashed, exit status %d, log %s:\n%s" % (
                router["process"].popen.returncode, router["process"].log_path,
                router["process"].log_text()[-2000:]))

    # Publishes a configuration with a higher version number.
    def configure(self, routes=None, **more):
        self.version += 2
        self.routes = routes or self.routes
        self.store.put("keyed.op", "config", configuration(self.version, self.routes, **more))

    def add_store(self):
        """Returns a second store with the same topics, but own faults and own requested paths."""
        self.second_store = Store(self.store.topics)
        return self.second_store

    def add_server(self, service="plain", **more):
        server = Server(self.store, service, is_engine=service == "model", **more)
        self.servers.append(server)
        return server

    def start(self):
        try:
            for _ in range(self.router_count):
                self.add_router()
        except BaseException:
            self.__exit__()
            raise

    def add_router(self, wait=True, store=None, ip=None, seeds=()):
        ip = ip or "127.%d.%d.%d" % (random.randrange(1, 250), random.randrange(250),
                                     random.randrange(1, 250))
        name = "r%d" % len(self.routers)
        path = os.path.join(self.directory, name + ".json")
        port, ready = self.free_ports()
        settings = {"node": name, "zone": "z", "ip": ip,
                    "port_range": [self.peer_port, self.peer_port + PEER_PORTS - 1],
                    "beat_interval_ms": 1200, "limits": self.process_limits(),
                    "seeds": ["%s:%d" % (seed, self.peer_port) for seed in seeds],
                    "listen": {"front": "%s:%d" % (ip, port), "ready": "%s:%d" % (ip, ready)},
                    "platform": {"address": "127.0.0.1:%d" % (store or self.store).port},
                    "bounds": {"grace_s": 6, "drain_ms": 2000, "retry_ratio": 0.2,
                               "retry_window_s": 10, "retry_slack": 200, "cap_x": 2,
                               "cold_excess": 1.5, "cold_slack": 5}}
        with open(path, "w") as file:
            json.dump(settings, file)
        router = {"ip": ip, "port": port, "ready": ready, "settings": path,
                  "process": f.Process([f.program("limpetplatformd"), path],
                                       os.path.join(self.directory, name + ".log"))}
        self.routers.append(router)
        if self.max_fds:
            resource.prlimit(router["process"].popen.pid, resource.RLIMIT_NOFILE, (self.max_fds, self.max_fds))
        if wait:
            f.wait_for(lambda: self.is_ready(router), name + " to be ready")
        return router

    def process_limits(self):
        limits = {"memory_mb": self.memory_mb}
        if self.max_fds:
            limits["max_fds"] = self.max_fds
        return limits

    # Returns ports for callers and for readiness. The peer ports look free: they are in use at the
    # addresses of other routers only.
    def free_ports(self):
        while True:
            ports = f.free_ports(2)
            if not set(ports) & set(range(self.peer_port, self.peer_port + PEER_PORTS)):
                return ports

    def wait_for_routers(self, count):
        """Waits until each of the first routers knows all of them."""
        for index in range(count):
            f.wait_for(lambda: self.metric("limpetroad_routers ", index) == count,
                       "the routers to find each other")

    def is_ready(self, router):
        try:
            with socket.create_connection((router["ip"], router["ready"]), 1) as s:
                s.sendall(b"GET /limpetroad/ready HTTP/1.1\r\nHost: x\r\n\r\n")
                return s.recv(100).startswith(b"HTTP/1.1 200")
        except OSError:
            return False

    # Returns the sum of the metrics of a router whose lines begin with name.
    def metric(self, name, router=0):
        router = self.routers[router]
        with socket.create_connection((router["ip"], 9464), 1) as s:
            s.sendall(b"GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n")
            text = Message(s.makefile("rb")).body.decode()
        return sum(float(line.split()[-1]) for line in text.splitlines()
                   if line.startswith(name))

    def log(self, router=0):
        return self.routers[router]["process"].log_text()

    def client(self, router=0):
        return Client(self.routers[router])

    def call(self, path, method="GET", router=0, **more):
        with self.client(router) as client:
            return client.call(path, method, **more)


class Client:
    """A client's connection to a router."""

    def __init__(self, router):
        self.socket = socket.create_connection((router["ip"], router["port"]), 5)
        self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.socket.settimeout(15)
        self.file = self.socket.makefile("rb")

    def __enter__(self):
        return self

    def __exit__(self, *unused):
        self.close()

    def close(self):
        self.file.close()
        self.socket.close()

    # Sends a request and returns its id.
    def send(self, path, method="GET", key="key-1", body=None, request_id=None, fields=()):
        self.id = request_id or "%016x" % random.getrandbits(64)
        lines = ["%s %s HTTP/1.1" % (method, path), "Host: " + HOST,
                 "Request-Id: " + self.id, "Deadline-Ms: 8000"]
        if key:
            lines.append("Authorization: Token " + key)
        if body is not None:
            lines.append("Content-Length: %d" % len(body))
        lines += ["%s: %s" % field for field in fields]
        self.socket.sendall("\r\n".join(lines + ["", ""]).encode() + (body or b""))
        return self.id

    def read(self):
        message = Message(self.file)
        message.status = int(message.line.split()[1])
        return message

    def call(self, path, method="GET", **more):
        self.send(path, method, **more)
        return self.read()
