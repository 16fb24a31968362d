"""Stand-ins of a small deployment: the platform's store, servers, clients, and real routers.

They follow PROTOCOL.md and DEPLOY.md and bind loopback addresses only. Routers are started with the
command of the deploy file, in the root of the repository, with LIMPETROAD_BOOT as their only setting.
"""

import base64
import json
import os
import random
import shutil
import socket
import struct
import subprocess
import tempfile
import threading
import time
import tomllib
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
HOST = "ficu95.example"
KEY = "n2ctnfzs989anu6wsjnb"
BEAT_MS = 1200
DRAIN_MS = 2000


class CannotRun(Exception):
    """The case could not be played; nothing is known of the rule."""


def trouble():
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """Lines of record.txt: seconds since the start, who, and what was sent, answered or run."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w")
        self.lock = threading.Lock()
        self.began = time.monotonic()

    def now(self):
        return time.monotonic() - self.began

    def write(self, who, text):
        with self.lock:
            self.file.write("%8.3f  %-10s  %s\n" % (self.now(), who, text))
            self.file.flush()


class Message:
    """An HTTP message: start line, fields by lower-case name, body. OSError if it is cut."""

    def __init__(self, file):
        self.line = file.readline().decode("latin-1")
        if not self.line.endswith("\n"):
            raise OSError("closed")
        self.fields = {}
        while True:
            line = file.readline().decode("latin-1")
            if not line.endswith("\n"):
                raise OSError("closed in a head")
            if line == "\r\n":
                break
            name, _, value = line.rstrip("\r\n").partition(":")
            self.fields[name.lower()] = value.strip()
        self.body = b""
        if self.fields.get("transfer-encoding", "").lower() == "chunked":
            self.body = b"".join(self.chunks(file))
        else:
            length = int(self.fields.get("content-length", 0))
            self.body = file.read(length)
            if len(self.body) < length:
                raise OSError("closed in a body")

    @staticmethod
    def chunks(file):
        while True:
            line = file.readline()
            if not line.endswith(b"\n"):
                raise OSError("closed in a body")
            size = int(line, 16)
            data = file.read(size + 2)
            if len(data) < size + 2:
                raise OSError("closed in a body")
            if size == 0:
                return
            yield data[:-2]


class Listener:
    """Calls handle(connection) in a thread for each connection that it accepts."""

    def __init__(self, handle, ip="127.0.0.1", port=0):
        self.handle = handle
        self.socket = socket.socket()
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.socket.bind((ip, port))
        self.socket.listen(128)
        self.address = "%s:%d" % self.socket.getsockname()
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
        except (OSError, ValueError):
            pass
        finally:
            connection.close()

    def close(self):
        """Closes the port and the connections, as a process that ends does."""
        for each in [self.socket] + self.connections:
            try:
                each.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass
            each.close()


class Store:
    """The platform's metadata store, as far as a router uses it: a log for each topic."""

    def __init__(self):
        self.topics = {}
        self.lock = threading.Lock()
        self.listener = Listener(self.serve)
        self.address = self.listener.address

    def put(self, topic, key, value):
        """Appends a record of a keyed topic; None drops the key. Returning is the acknowledgement."""
        with self.lock:
            self.topics.setdefault(topic, []).append(
                (key, b"" if value is None else json.dumps(value).encode()))

    def serve(self, connection):
        file = connection.makefile("rb")
        while True:
            message = Message(file)
            method, path, _ = message.line.split()
            url = urllib.parse.urlparse(path)
            query = dict(urllib.parse.parse_qsl(url.query, keep_blank_values=True))
            time.sleep(0.004)
            with self.lock:
                status, body = self.respond(method, url.path, query, message.body)
            connection.sendall(b"HTTP/1.1 %d X\r\nContent-Length: %d\r\n\r\n" % (status, len(body)) + body)

    def respond(self, method, path, query, body):
        records = self.topics.get(query.get("topic"), [])
        if query.get("part") != "0":
            return 404, b"{}"
        if (method, path) == ("GET", "/limpetroad/log-newest"):
            return 200, json.dumps(self.newest(records, query.get("after"))).encode()
        if (method, path) == ("GET", "/limpetroad/log-read"):
            return self.read(records, int(query["from"]), 1024 * int(query.get("max_kb", 1024)))
        if (method, path) == ("POST", "/limpetroad/log-append"):
            return self.append(query["topic"], body)
        return 404, b"{}"

    @staticmethod
    def newest(records, after):
        newest = {key: (value, offset) for offset, (key, value) in enumerate(records)}
        items = [{"key": key, "value": base64.b64encode(value).decode(), "offset": offset}
                 for key, (value, offset) in sorted(newest.items())
                 if value and (after is None or key > after)]
        return {"items": items[:500], "truncated": len(items) > 500, "end": len(records)}

    @staticmethod
    def read(records, start, most):
        if start > len(records):
            return 410, b'{"first":0}'
        out = struct.pack(">QQ", len(records), 0)
        for key, value in records[start:]:
            record = bytes([len(key)]) + key.encode() + value
            if len(out) + 4 + len(record) > most:
                break
            out += struct.pack(">I", len(record)) + record
        return 200, out

    def append(self, topic, body):
        if topic in ("keyed.op", "keyed.servers"):
            return 403, b"{}"
        records = self.topics.setdefault(topic, [])
        first = len(records)
        while body:
            size = struct.unpack(">I", body[:4])[0]
            record, body = body[4:4 + size], body[4 + size:]
            records.append((record[1:1 + record[0]].decode(), record[1 + record[0]:]))
        return 200, json.dumps({"offset": first, "end": len(records)}).encode()


class Server:
    """A sound server of a plain service, or with models of an engine. Its beats change no more than seq, so they make no records
    ("The entry changes when more than seq changes"): the entry is written when the state changes."""

    def __init__(self, store, record, service="booking", slots=6, work_s=0.03, name=None,
                 models=None):
        self.id = name or "i-%08x" % random.getrandbits(32)
        self.store, self.record, self.service = store, record, service
        self.slots, self.work_s, self.models = slots, work_s, models
        self.seq = 0
        self.born = int(time.time() * 1000)
        self.state = "ready"
        self.arrivals = []  # (seconds of the record, id) of requests that name this server
        self.runs = []      # ids, in the order of their begin
        self.ended = []     # ids of the runs that came to their end
        self.lock = threading.Lock()
        self.listener = Listener(self.serve)
        self.write()

    def write(self):
        """Writes its entry. Returns when the store acknowledged that."""
        self.seq += 1
        entry = {"service": self.service, "address": self.listener.address, "zone": "z-a",
                 "version": "v1", "slots": self.slots, "state": self.state, "cold_left_ms": 0,
                 "seq": self.seq, "born": self.born}
        if self.models:
            entry.update({"stage": "both", "models": self.models})
        self.store.put("keyed.servers", self.id, entry)
        self.record.write(self.id, "entry written: " + self.state)
        return self.record.now()

    def drain(self):
        self.state = "draining"
        return self.write()

    def leave_registry(self):
        """Its entry is removed without that it ever said draining; it goes on serving. Returns when the
        store acknowledged that."""
        self.store.put("keyed.servers", self.id, None)
        at = self.record.now()
        self.record.write(self.id, "entry removed; the server goes on serving")
        return at

    def exit(self):
        self.listener.close()
        self.record.write(self.id, "exits, with %d runs under way" % (len(self.runs) - len(self.ended)))

    def serve(self, connection):
        file = connection.makefile("rb")
        while True:
            message = Message(file)
            request = message.fields.get("request-id", "-")
            head = "HTTP/1.1 %s\r\nRequest-Id: " + request + "\r\n%sContent-Length: %d\r\n\r\n"
            if message.fields.get("expect-instance", self.id) != self.id:
                connection.sendall((head % ("421 Misdirected Request", "Not-Executed: 1\r\n", 0)).encode())
                continue
            with self.lock:
                self.arrivals.append((self.record.now(), request))
                self.runs.append(request)
            self.record.write(self.id, "runs %s %s" % (request, message.line.strip()))
            time.sleep(self.work_s)
            if self.models:
                self.stream(connection, request)
                continue
            body = ("done by %s\n" % self.id).encode()
            seal = "Response-Seal: seal.%s\r\n" % self.id
            connection.sendall((head % ("200 OK", seal, len(body))).encode() + body)
            with self.lock:
                self.ended.append(request)


    def stream(self, connection, request):
        """Sends a short event stream, as the engines do."""
        connection.sendall(("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Seal: seal.%s\r\n"
                            "Weight-Versions: 1\r\nContent-Type: text/event-stream\r\n"
                            "Transfer-Encoding: chunked\r\n\r\n" % (request, self.id)).encode())
        for number in (1, 2, 3):
            event = b"id: %d\ndata: token\n\n" % number
            connection.sendall(b"%x\r\n%s\r\n" % (len(event), event))
        connection.sendall(b"0\r\n\r\n")
        with self.lock:
            self.ended.append(request)


def route(name, prefix, kind, service, **more):
    return dict({"name": name, "host": HOST, "path_prefix": prefix, "kind": kind, "service": service,
                 "timeout_ms": 2500, "goal_ms": 150, "priority": 2, "max_attempts": 1, "public": False,
                 "sticky": False, "resumable": False, "gap_target_ms": 200}, **more)


def configuration(version, routes, services, engines=()):
    return {"version": version, "routes": routes,
            "services": [{"name": name, "health_path": "/health", "max_conns": 110} for name in services]
            + [{"name": name, "health_path": "/health", "max_conns": 250,
                "engine": {"slots": 12, "kv_capacity": 290000}} for name in engines],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 1048576, "header_timeout_ms": 3000,
                       "idle_timeout_ms": 15000},
            "tenants": [{"name": "hule930", "priority": 2, "api_keys": [KEY]}]}


class Router:
    """A process of the project, started as deploy/system.toml says."""

    def __init__(self, deployment, number):
        self.name = "front-z-a-%d" % number
        self.ip = "127.%d.%d.%d" % (random.randrange(10, 250), random.randrange(250), number)
        self.folder = deployment.folder
        port = deployment.first_port
        self.front, self.ready = (self.ip, port + 4), (self.ip, port + 5)
        settings = {
            "node": self.name, "role": "router", "machine_class": "front", "serves": ["front", "control"],
            "ip": self.ip, "zone": "z-a", "region": "r", "port_range": [port, port + 3],
            "seeds": deployment.seeds(self), "bootstrap": True, "loss_counted": False,
            "discovery": "platform", "entry": "vip", "beat_interval_ms": BEAT_MS, "zones": {"z-a": "r"},
            "listen": {"front": "%s:%d" % self.front, "ready": "%s:%d" % self.ready,
                       "control": "%s:%d" % (self.ip, port + 6)},
            "limits": {"cpu_share": 0.25, "cores": 1, "memory_mb": 260, "max_fds": 4100,
                       "link_mbps": 1000.0, "disk_mb": 0},
            "tolerate": {"machines": 2, "zones": 0, "regions": 0},
            "bounds": {"seed_lag_s": 3, "addr_reuse_s": 2, "stable_window_ms": 3000, "ack_ms": 4000,
                       "catch_up_s": 4, "drain_ms": DRAIN_MS, "grace_s": 8, "loss_slack_ms": 200,
                       "config_apply_ms": 2000, "rollback_slack_ms": 250, "outer_ms": 5000,
                       "strict_revoke": False, "revoke_ms": 5000, "retry_ratio": 0.2,
                       "retry_window_s": 10, "retry_slack": 58, "recover_s": 12, "pass_ms": 120,
                       "retry_after_s": 10, "cap_x": 2},
            "platform": {"address": deployment.store.address, "form": "log", "writes_per_s": 400,
                         "reads_per_s": 2000, "parts": 12, "append_ms": 2.0, "keep_s": 300,
                         "record_bytes": 262144, "call_bytes": 2097152}}
        self.path = os.path.join(self.folder, self.name + ".json")
        with open(self.path, "w") as file:
            json.dump(settings, file)  # what the template {{.|json}} gives
        self.process = None
        self.start()

    def start(self):
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
            command = tomllib.load(file)["roles"]["router"]["run"].split()
        if not os.path.exists(os.path.join(ROOT, command[0])):
            raise CannotRun("%s is not built" % command[0])
        with open(os.path.join(self.folder, self.name + ".log"), "a") as log:
            self.process = subprocess.Popen(
                command, cwd=ROOT, stdout=log, stderr=log, stdin=subprocess.DEVNULL,
                env={"PATH": os.environ["PATH"], "HOME": self.folder, "LIMPETROAD_BOOT": self.path})

    def is_ready(self):
        try:
            with socket.create_connection(self.ready, 1) as connection:
                connection.sendall(b"GET /limpetroad/ready HTTP/1.1\r\nHost: x\r\n\r\n")
                return connection.recv(100).startswith(b"HTTP/1.1 200")
        except OSError:
            return False


class Deployment:
    """The store, servers and routers of a case; as a context manager it ends all of them."""

    def __init__(self, folder):
        self.record = Record(folder)
        self.folder = tempfile.mkdtemp(prefix="review-3-")
        self.store = Store()
        self.servers, self.routers = [], []
        self.first_port = self.free_ports(7)
        self.version = 1

    def __enter__(self):
        return self

    def __exit__(self, *unused):
        for router in self.routers:
            if router.process.poll() is None:
                router.process.kill()
            router.process.wait()
        for server in self.servers:
            server.listener.close()
        self.store.listener.close()
        shutil.rmtree(self.folder, ignore_errors=True)

    @staticmethod
    def free_ports(count):
        """Returns the first of count ports that are free, below those that the system gives out."""
        for _ in range(200):
            first = random.randrange(20000, 30000)
            try:
                for port in range(first, first + count):
                    with socket.socket() as probe:
                        probe.bind(("127.0.0.1", port))
                return first
            except OSError:
                continue
        raise CannotRun("no free ports")

    def seeds(self, router):
        known = [each.ip for each in self.routers[:2]] + [router.ip]
        return ["%s:%d" % (ip, self.first_port + 6) for ip in known]

    def configure(self, routes, services, engines=()):
        self.version += 3
        self.store.put("keyed.op", "config", configuration(self.version, routes, services, engines))
        self.record.write("operator", "configuration %d acknowledged" % self.version)

    def add_server(self, **more):
        self.servers.append(Server(self.store, self.record, **more))
        return self.servers[-1]

    def add_routers(self, count):
        for number in range(1, count + 1):
            self.routers.append(Router(self, number))
        self.wait_in_touch()

    def wait_in_touch(self, limit_s=40):
        """Waits until all routers are ready, and then stable_window_ms of the sheet and a little more."""
        deadline = time.monotonic() + limit_s
        while not all(router.is_ready() for router in self.routers):
            if time.monotonic() > deadline:
                raise CannotRun("a router did not get ready")
            time.sleep(0.05)
        time.sleep(3.5)


class Answer:
    def __init__(self, status, fields, body):
        self.status, self.fields, self.body = status, fields, body


def call(record, router, path, method="GET", body=None, deadline_ms=2500, request=None, fields=()):
    """One client attempt on a new connection. Returns an Answer, or None if it was not answered."""
    request = request or "%016x" % random.getrandbits(64)
    lines = ["%s %s HTTP/1.1" % (method, path), "Host: " + HOST, "Request-Id: " + request,
             "Deadline-Ms: %d" % deadline_ms, "Authorization: Token " + KEY]
    lines += ["%s: %s" % field for field in fields]
    if body is not None:
        lines.append("Content-Length: %d" % len(body))
    record.write("client", "sends %s %s %s to %s" % (request, method, path, router.name))
    try:
        with socket.create_connection(router.front, 1) as connection:
            connection.settimeout(deadline_ms / 1000 + 1)
            connection.sendall("\r\n".join(lines + ["", ""]).encode() + (body or b""))
            message = Message(connection.makefile("rb"))
    except OSError as error:
        record.write("client", "%s: no answer (%s)" % (request, error))
        return None
    status = int(message.line.split()[1])
    record.write("client", "%s: %d%s" % (request, status,
                                         "" if "response-seal" in message.fields else ", of the router"))
    return Answer(status, message.fields, message.body)
