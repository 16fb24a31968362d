"""Soak test: routers on the platform under load and random faults drawn from a seed.

    python3 test/soak/soak.py [--seed N] [--seeds COUNT] [--seconds S] [--routers N]

The routers are real processes; store, servers and clients are stand-ins. Routers reach the store
and the servers through the fault-injecting proxy. Prints the seed, the number of faults and
requests and the violations; after a violation also the faults and the directory of the logs. Ends
only processes that it started.
"""

import argparse
import collections
import json
import os
import random
import signal
import socket
import sys
import threading
import time

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
import fleet as f
from platform_fake import Client, Listener, Message, Server, Platform, chunk, event, reset, route
from soak import checks

LINKS = ["store"] + ["server-%d" % i for i in range(6)]
NOT_RUN = checks.NOT_RUN


class SoakPlatform(Platform):
    """A platform behind the proxy that records requests, responses and faults for the checks."""

    def __init__(self, routers, rng):
        self.rng = rng
        self.server_rng = random.Random(rng.random())  # used by the server threads
        self.calls, self.runs, self.arrivals, self.probes = [], [], [], []
        self.versions, self.leaves, self.stops = [], [], []
        self.dropped, self.ready_probes, self.sends = [], [], []
        self.inflight = collections.Counter()  # requests in flight at each engine
        self.disturbances = [0.0]      # times of faults of the store and of routers
        self.link_disturbances = [0.0]  # times of faults of links and of server crashes
        self.drills = []                 # [begin, return or None] of each drill of the store
        self.stream_runs = []            # see checks.streams_of_one_version()
        self.aborted_by_server = set()   # requests whose server closed the connection early
        self.stop = threading.Event()
        self.leave_lock = threading.Lock()
        super().__init__(routers=routers, start=False)
        self.newest_version = 0
        self.store.era = 1
        self.start_proxy()
        for i in range(6):
            self.add_soak_server(i)
        self.put_version()
        self.store_port = self.store.port
        self.store.port = self.ports["store"]
        self.start()

    # Starts the proxy in front of the store and of the six addresses of servers (backends).
    def start_proxy(self):
        listeners = {"store": self.store.port}
        self.backends = [Listener(lambda c: None) for _ in range(6)]
        listeners.update({"server-%d" % i: b.port for i, b in enumerate(self.backends)})
        self.ports = dict(zip(LINKS, f.free_ports(len(LINKS))))
        self.control = f.free_ports(1)[0]
        self.proxy_process = f.Process(
            [f.program("limpetproxy"), str(self.control)]
            + ["%s:%d:%d" % (name, self.ports[name], listeners[name]) for name in LINKS],
            os.path.join(self.directory, "proxy.log"))
        f.wait_for(lambda: f.request(self.control, "POST", "/fault", {"link": "store"})[0] == 200,
                   "the proxy")

    def proxy(self, link, **fault):
        f.request(self.control, "POST", "/fault", dict(fault, link=link))

    def add_soak_server(self, position):
        """Adds a server with a new id at an address (position), where it replaces the server.

        Its entry in the store has the port of the proxy."""
        service = "plain" if position < 3 else "model"
        backend = self.backends[position]
        server = Server.__new__(Server)
        Server.count += 1
        server.id = "s%d-%d" % (position, Server.count)
        server.store, server.service, server.is_engine = self.store, service, service == "model"
        server.slots, server.on_request, server.sequence, server.born = \
            16, None, 0, 10 ** 6 + Server.count
        server.version = self.server_rng.choice(["v1", "v2"])
        server.ran, server.seen, server.closed, server.mode = [], [], [], "ok"
        server.listener = type("Shown", (), {"port": self.ports["server-%d" % position],
                                             "close": lambda self: None})()
        backend.handle = lambda connection: self.serve(server, connection)
        server.write("ready")
        self.servers.append(server)
        return server

    # Serves the requests on one connection until a response is incomplete.
    def serve(self, server, connection):
        file = connection.makefile("rb")
        while not self.stop.is_set():
            message = Message(file)
            request_id = message.fields.get("request-id", "")
            if not self.response(server, connection, message, request_id):
                self.aborted_by_server.add(request_id)
                return

    def response(self, server, connection, message, request_id):
        """Runs or rejects a request and sends the response, as the server's mode says.

        Returns whether the response was complete and the connection stays open."""
        if message.fields.get("expect-instance") != server.id:
            connection.sendall(b"HTTP/1.1 421 X\r\nContent-Length: 0\r\n\r\n")
            return True
        self.arrivals.append((request_id, server.id, time.monotonic()))
        mode = server.mode
        if mode == "full" or (mode == "some_full" and self.server_rng.random() < 0.5):
            connection.sendall(server.head(message, 503, "Not-Executed: 1\r\n"
                                           "Content-Length: 0\r\n\r\n"))
            return True
        self.runs.append((request_id, server.id, time.monotonic()))
        if mode == "slow":
            time.sleep(0.3)
        if mode == "hang":
            time.sleep(2)
            return False
        if mode == "silent":
            self.stop.wait(checks.CLIENT_TIMEOUT_S + 4)  # longer than any client waits
            return False
        if mode == "lost" and self.server_rng.random() < 0.5:
            reset(connection)
            return False
        if mode == "errors" and self.server_rng.random() < 0.5:
            server.reply(connection, message, b"failed", 500)
        elif server.is_engine:
            self.change_inflight(server, 1)
            try:
                self.send_stream(server, connection, message, mode)
            finally:
                self.change_inflight(server, -1)
        else:
            body = b"answer to " + request_id.encode()
            if mode == "torn" and self.server_rng.random() < 0.5:
                connection.sendall(server.head(message, 200, "Content-Length: %d\r\n\r\n"
                                               % len(body)) + body[:5])
                return False
            if mode == "unframed":
                return self.send_unframed(server, connection, message, "", [body[:9], body[9:]])
            server.reply(connection, message, body)
            if mode == "extra":
                server.reply(connection, message, b"answer to nobody")
        return True

    def send_unframed(self, server, connection, message, fields, parts):
        """Sends a response that only the close of the connection ends; half of them are reset at once after a part."""
        is_reset = self.server_rng.random() < 0.5
        connection.sendall(server.head(message, 200, fields + "\r\n") + b"".join(parts[:-1]))
        if is_reset:
            reset(connection)
            return False
        time.sleep(0.01)
        connection.sendall(parts[-1])
        connection.shutdown(socket.SHUT_WR)
        return False

    # Changes the number of requests in flight at an engine; a new one is recorded for load_bound().
    def change_inflight(self, server, change):
        if change > 0:
            engines = [s.id for s in self.current_servers() if s.is_engine]
            self.sends.append((time.monotonic(), self.inflight[server.id],
                               sum(self.inflight[e] for e in engines) / len(engines)))
        self.inflight[server.id] += change

    # Sends a stream from the event after Last-Event-Id on; in mode "torn" it may break off.
    def send_stream(self, server, connection, message, mode):
        first = int(message.fields.get("last-event-id", 0)) + 1
        run = {"id": message.fields.get("request-id"), "version": server.version, "first": first,
               "last": first - 1}
        self.stream_runs.append(run)
        if mode == "unframed":
            run["last"] = checks.EVENTS
            self.send_unframed(server, connection, message, "Content-Type: text/event-stream\r\n",
                               [event(number) for number in range(first, checks.EVENTS + 1)])
            raise OSError("the response ends with the connection")
        connection.sendall(server.head(message, 200, "Transfer-Encoding: chunked\r\n\r\n"))
        for number in range(first, checks.EVENTS + 1):
            if mode == "torn" and self.server_rng.random() < 0.2:
                connection.sendall(b"10\r\nid: 9")
                self.aborted_by_server.add(message.fields.get("request-id", ""))
                reset(connection)
                raise OSError("torn")
            run["last"] = number
            connection.sendall(chunk(event(number)))
            time.sleep(0.01)
        connection.sendall(b"0\r\n\r\n")

    def put_version(self):
        """Publishes a configuration with a route and a key of its own. It keeps those of the
        previous version and removes older ones."""
        self.newest_version += 1
        numbers = [n for n in (self.newest_version - 1, self.newest_version) if n > 0]
        version_routes = [route("v%d" % n, "/v%d/" % n, "safe", "plain") for n in numbers]
        base = [route("safe", "/safe/", "safe", "plain"),
                route("unsafe", "/unsafe/", "unsafe", "plain", max_attempts=1),
                route("stream", "/stream/", "streaming", "model", max_attempts=1),
                route("resume", "/resume/", "streaming", "model", resumable=True)]
        self.configure(base + version_routes, keys=["key-1"] + ["key-v%d" % n for n in numbers])
        self.versions.append([self.newest_version, time.monotonic(), True])

    # Records that a fault of the store or of a router begins or ends now.
    def record_disturbance(self):
        self.disturbances.append(time.monotonic())

    # Sends random calls to one router and records each with its response.
    def client_loop(self, router, seed):
        rng = random.Random(seed)
        client = None
        while not self.stop.is_set():
            kind = rng.choice(["safe", "unsafe", "stream", "resume"])
            call = {"kind": kind, "router": router["ip"], "status": 0, "body": b"",
                    "whole": False, "read": False, "is_reset": False, "sent": time.monotonic()}
            try:
                if client is None or rng.random() < 0.1:
                    if client is not None:
                        client.close()
                    client = Client(router)
                    client.socket.settimeout(checks.CLIENT_TIMEOUT_S + 2)
                call["id"] = client.send("/%s/" % kind, "GET" if kind == "safe" else "POST",
                                         body=None if kind == "safe" else b"body",
                                         fields=[("Prompt-Prefix",
                                                  "%x:500,1:9" % rng.randrange(9))])
                response = self.read(client, call)
                if response.get("connection") == "close":
                    client.close()
                    client = None
            except (OSError, ValueError, IndexError):
                if client is not None:
                    client.close()
                client = None
                time.sleep(0.02)
            call["ended"] = time.monotonic()
            if "id" in call:
                self.calls.append(call)
            time.sleep(rng.random() * 0.03)

    def read(self, client, call):
        """Reads a response into call and returns its fields.

        If the response ends early, call["body"] has the chunks that arrived."""
        line = client.file.readline()
        if not line:
            raise OSError("closed")
        call["read"] = True
        call["status"] = int(line.split()[1])
        fields = {}
        while True:
            line = client.file.readline().decode().rstrip("\r\n")
            if not line:
                break
            name, _, value = line.partition(":")
            fields[name.lower()] = value.strip()
        if "content-length" in fields:
            call["body"] = client.file.read(int(fields["content-length"]))
            call["whole"] = len(call["body"]) == int(fields["content-length"])
            return fields
        while fields.get("transfer-encoding") == "chunked":
            size = int(client.file.readline(), 16)
            call["body"] += client.file.read(size)
            client.file.readline()
            if size == 0:
                call["whole"] = True
                break
        if "transfer-encoding" not in fields:
            self.read_to_close(client, call)
        return fields

    def read_to_close(self, client, call):
        """Reads a response that only the close of the connection ends. A reset shows that it is not complete."""
        try:
            while part := client.file.read1(65536):
                call["body"] += part
            call["whole"] = True
        except ConnectionResetError:
            call["is_reset"] = True
            raise

    # On each router, calls the route of the newest version and the route that this version removed,
    # and checks readiness.
    def probe_loop(self):
        while not self.stop.is_set():
            for router in self.routers:
                asked = self.newest_version
                self.probe(router, asked, self.probes)
                if asked > 2:
                    self.probe(router, asked - 2, self.dropped)
                self.probe_ready(router)
            time.sleep(0.1)

    # Calls the route of a version (asked) and records the status unless the router process ended.
    def probe(self, router, asked, probes):
        process = router["process"]
        sent = time.monotonic()
        try:
            with Client(router) as client:
                client.socket.settimeout(1)
                status = client.call("/v%d/" % asked, key="key-v%d" % asked).status
        except (OSError, ValueError, IndexError):
            return
        if process.popen.poll() is None:
            probes.append((asked, (router["ip"], process.popen.pid), sent, status))

    def probe_ready(self, router):
        """Records the status of a call between two successful readiness checks of one process."""
        process = router["process"]
        if not self.is_ready(router):
            return
        status = None
        try:
            with Client(router) as client:
                status = 0  # the connection was accepted
                client.socket.settimeout(1)
                status = client.call("/safe/").status
        except (OSError, ValueError, IndexError):
            pass
        if self.is_ready(router) and router["process"] is process:
            self.ready_probes.append((router["ip"], status))

    # Returns a random fault: (name, whether it affects the store or routers, inject, undo or None).
    def choose_fault(self):
        rng = self.rng
        server = rng.choice(self.current_servers())
        link = rng.choice(LINKS)
        router = rng.choice(self.routers)
        restore_store = lambda: setattr(self.store, "mode", "ok")
        return rng.choice([
            ("store " + (mode := rng.choice(["busy", "silent", "reset"])), True,
             lambda: setattr(self.store, "mode", mode), restore_store),
            ("store slow", True, lambda: setattr(self.store, "delay_s", 0.3),
             lambda: setattr(self.store, "delay_s", 0)),
            ("store loses responses", True, lambda: setattr(self.store, "lose", 3), None),
            ("store drops history", True, lambda: [self.store.drop_history(t) for t in
                                                   ("keyed.op", "keyed.servers")], None),
            ("server " + (how := rng.choice(["full", "some_full", "slow", "hang", "silent",
                                             "lost",
                                             "errors", "torn", "extra"])), False,
             lambda: setattr(server, "mode", how), lambda: setattr(server, "mode", "ok")),
            ("server unframed", False, lambda: setattr(server, "mode", "unframed"),
             lambda: setattr(server, "mode", "ok")),
            ("link %s delayed" % link, link == "store", lambda: self.proxy(link, delay_ms=80),
             lambda: self.proxy(link, delay_ms=0)),
            ("link %s cut" % link, link == "store", lambda: self.proxy(link, cut=1), None),
            ("link %s one way" % link, link == "store", lambda: self.proxy(link, drop_down=1),
             lambda: self.proxy(link, drop_down=0, cut=1)),
            ("link %s silent" % link, link == "store", lambda: self.proxy(link, silence=1), None),
            ("link %s refuses" % link, link == "store", lambda: self.proxy(link, refuse=1, cut=1),
             lambda: self.proxy(link, refuse=0)),
            ("store drill", False, lambda lost_s=rng.uniform(0.5, 6), away_s=rng.uniform(0.2, 3):
             self.start_drill(lost_s, away_s), None),
            ("router stopped", True, router["process"].freeze, router["process"].thaw),
            ("router killed", True, lambda: self.replace(router, signal.SIGKILL), None),
            ("router terminated", False, lambda: self.replace(router, signal.SIGTERM), None),
            ("router hup", False, lambda: router["process"].signal(signal.SIGHUP), None),
            ("server leaves", False, lambda: self.leave(server), None),
            ("server crashes", False, lambda: self.crash(server), None),
            ("version", False, self.put_version, None),
            ("versions", False, lambda: [(self.put_version(), time.sleep(0.1))
                                         for _ in range(4)], None),
        ])

    def start_drill(self, lost_s, away_s):
        """Lets the store refuse connections for away_s and come back from a copy made lost_s before
        that, unless it is away already."""
        if self.drills and self.drills[-1][1] is None:
            return
        drill = [time.monotonic(), None]
        self.drills.append(drill)

        def play():
            self.proxy("store", refuse=1, cut=1)
            self.store.play_drill(lost_s + away_s, away_s)
            self.proxy("store", refuse=0)
            drill[1] = time.monotonic()

        threading.Thread(target=play, daemon=True).start()

    def wait_for_drill(self):
        f.wait_for(lambda: not self.drills or self.drills[-1][1], "the store to return")

    # Sends a signal to a router and starts a new process when it has ended.
    def replace(self, router, number):
        process = router["process"]
        if process.popen.poll() is not None:
            return
        if number == signal.SIGTERM:
            self.stops.append([router["ip"], time.monotonic(), True])
        process.signal(number)
        if router.get("replaced") is process:
            return  # the thread of the first signal starts the new process
        router["replaced"] = process

        def restart_after_exit():
            process.popen.wait()
            self.record_disturbance()
            with self.leave_lock:
                if not self.stop.is_set():
                    router["process"] = f.Process(
                        [f.program("limpetplatformd"), router["settings"]], process.log_path)

        threading.Thread(target=restart_after_exit, daemon=True).start()

    def current_servers(self):
        """Returns the newest server at each address."""
        return list({self.position_of(s): s for s in self.servers}.values())

    def position_of(self, server):
        return int(server.id[1])

    # Marks a server as draining; later removes its entry and adds a new server at its address.
    def leave(self, server, stay_s=3):
        with self.leave_lock:
            if server not in self.current_servers():
                return
            server.write("draining")
            self.leaves.append([server.id, time.monotonic(), None])

        def remove_after_drain():
            time.sleep(stay_s)
            self.record_leave_end(server)
            server.remove()
            with self.leave_lock:
                self.add_soak_server(self.position_of(server))

        threading.Thread(target=remove_after_drain, daemon=True).start()

    def lose_all_entries(self, stay_s=4):
        """Removes the entries of all servers, which go on serving for stay_s; then new ones come."""
        with self.leave_lock:
            servers = self.current_servers()
        for server in servers:
            server.remove()
            self.leaves.append([server.id, time.monotonic(), None])
        time.sleep(stay_s)
        for server in servers:
            self.record_leave_end(server)
            with self.leave_lock:
                self.add_soak_server(self.position_of(server))

    def record_leave_end(self, server):
        for leave in self.leaves:
            if leave[0] == server.id and leave[2] is None:
                leave[2] = time.monotonic()

    def crash(self, server):
        """Replaces a server by a new one at the same address, without marking it as draining."""
        self.proxy("server-%d" % self.position_of(server), cut=1)
        with self.leave_lock:
            if server in self.current_servers():
                self.add_soak_server(self.position_of(server))
        server.remove()

    # Whether no fault but drill (None: none) affected the store or routers from start to end;
    # a fault lasts up to 3 s.
    def was_undisturbed(self, start, end, drill=None):
        return not any(start - 3 < at < end for at in self.disturbances) and not any(
            start - checks.STABLE_S < d[1] and d[0] < end for d in self.drills if d is not drill)


# Runs one soak; returns the names of its faults, the platform and the violations of each check.
def run(seed, seconds, routers):
    rng = random.Random(seed)
    platform = SoakPlatform(routers, rng)
    injected = []
    undo_actions = []
    with platform:
        try:
            f.wait_for(lambda: platform.call("/safe/").status == 200, "the first response")
            threads = [threading.Thread(target=platform.client_loop, args=(r, rng.random()),
                                        daemon=True) for r in platform.routers for _ in range(3)]
            threads.append(threading.Thread(target=platform.probe_loop, daemon=True))
            for thread in threads:
                thread.start()
            end = time.monotonic() + seconds
            while time.monotonic() < end:
                name, disturbs, inject, undo = platform.choose_fault()
                injected.append(name)
                if disturbs:
                    platform.record_disturbance()
                if name.startswith("link") or name == "server crashes":
                    platform.link_disturbances.append(time.monotonic())
                inject()
                if undo is not None:
                    undo_actions.append((time.monotonic() + rng.uniform(0.3, 3), disturbs, undo))
                time.sleep(rng.choice([0.05, 0.3, 1.0]))
                for due in [h for h in undo_actions if h[0] < time.monotonic()]:
                    due[2]()
                    platform.link_disturbances.append(time.monotonic())
                    if due[1]:
                        platform.record_disturbance()
                    undo_actions.remove(due)
            for _, _, undo in undo_actions:
                undo()
            platform.wait_for_drill()
            platform.record_disturbance()
            for server in platform.servers:
                server.mode = "ok"
            run_undisturbed_phase(platform)
            return injected, platform, evaluate(platform)
        finally:
            with platform.leave_lock:
                platform.stop.set()
            platform.proxy_process.kill()


SETTLE_S = 3.5  # time limits hold from this time after the last fault (stable_window_ms)


def run_drill_phase(platform):
    """Publishes versions, writes entries and lets servers leave before and after a drill, without
    other faults, so that the time limits hold from STABLE_S after the return of the store.

    After the return about as many records are written as were lost: a router that goes on from its
    old offset reads without an error and lacks them."""
    rng = platform.rng
    lost_s, away_s, before_s = rng.uniform(0.5, 6), rng.uniform(0.2, 3), rng.uniform(0, 2.5)
    lost_count = rng.randint(2, 4)
    written_count = lost_count - rng.randint(0, 2)  # one more is written again by the drill
    for _ in range(lost_count):
        platform.put_version()
    leaving, later_leaving = [platform.current_servers()[i] for i in (1, 4)]
    for _ in range(rng.randint(1, 3)):
        later_leaving.write("ready")
    platform.leave(leaving, before_s + away_s + 6)
    time.sleep(before_s)
    platform.start_drill(lost_s, away_s)
    platform.wait_for_drill()
    for _ in range(written_count):
        platform.put_version()
    platform.leave(later_leaving, 6)
    time.sleep(6)


def run_undisturbed_phase(platform):
    """Plays a drill, then lets two servers leave, publishes a version, lets all servers be replaced
    and stops a router, all without other faults, so that the time limits hold for them."""
    try:
        f.wait_for(lambda: all(r["process"].popen.poll() is None and platform.is_ready(r)
                               for r in platform.routers), "", 15)
    except AssertionError:
        return  # evaluate() reports that a router is not ready
    time.sleep(SETTLE_S)
    run_drill_phase(platform)
    for position in (0, 3):
        platform.leave(platform.current_servers()[position])
    platform.put_version()
    time.sleep(3.2)
    platform.lose_all_entries()
    time.sleep(3.2)
    platform.replace(platform.routers[0], signal.SIGTERM)
    time.sleep(2.2)


# Returns the violations of each check; if a router does not become ready again, only of recovery.
def evaluate(platform):
    def not_ready():
        return [r["ip"] for r in platform.routers
                if r["process"].popen.poll() is not None or not platform.is_ready(r)]

    try:
        f.wait_for(lambda: not not_ready(), "", 20)
    except AssertionError:
        return {"recovery": ["%s is not ready 20 s after the faults" % r for r in not_ready()]}
    time.sleep(4)  # until then, expired entries and targets in backoff are in use again
    final = []
    for i, router in enumerate(platform.routers):
        succeeded = sum(platform.call("/safe/", router=i).status == 200 for _ in range(20))
        final.append((router["ip"], 20, succeeded))
    platform.stop.set()
    time.sleep(0.5)
    for leave in platform.leaves:
        leave[2] = leave[2] or time.monotonic()
    calls, runs, arrivals = list(platform.calls), list(platform.runs), list(platform.arrivals)
    undisturbed_leaves = [
        (server, start, end) for server, at, end in platform.leaves
        for start, drill in checks.binding_times(at, platform.drills, checks.DRAIN_S)
        if platform.was_undisturbed(start, end, drill)]
    versions = [(n, start, platform.was_undisturbed(start, start + checks.APPLY_S + 2, drill))
                for n, at, _ in platform.versions
                for start, drill in checks.binding_times(at, platform.drills, checks.APPLY_S)]
    stops = [(r, at, platform.was_undisturbed(at, at + 2)
              and not any(at - 4 < t < at + 3 for t in platform.link_disturbances))
             for r, at, _ in platform.stops]
    sizes = []
    for router in platform.routers:
        pid = router["process"].popen.pid
        with open("/proc/%d/status" % pid) as file:
            memory = [int(l.split()[1]) for l in file if l.startswith("VmRSS")][0]
        sizes.append((router["ip"], memory, len(os.listdir("/proc/%d/fd" % pid))))
    for call in calls:
        call["frozen"] = not platform.was_undisturbed(call["sent"], call["ended"])
    return {
        "complete_own_responses": checks.complete_own_responses(calls),
        "streams_in_order": checks.streams_in_order(calls),
        "streams_of_one_version": checks.streams_of_one_version(platform.stream_runs),
        "at_most_once": checks.at_most_once(calls, runs),
        "not_run_outcomes": checks.not_run_outcomes(calls, runs),
        "leaving_servers": checks.leaving_servers(undisturbed_leaves, arrivals),
        "configurations": checks.configurations(versions, platform.probes),
        "dropped_routes": checks.dropped_routes(versions, platform.dropped),
        "ready_means_serving": checks.ready_means_serving(platform.ready_probes),
        "load_bound": checks.load_bound(
            [s for s in platform.sends if platform.was_undisturbed(s[0], s[0])
             and not any(s[0] - 3 < t < s[0] for t in platform.link_disturbances)]),
        "retries_within_budget": checks.retries_within_budget(calls, arrivals),
        "deadlines": checks.deadlines(calls),
        "planned_stops": checks.planned_stops(stops, calls, platform.aborted_by_server,
                                              {a[0] for a in arrivals}),
        "small_processes": checks.small_processes(sizes),
        "recovery": checks.recovery(final),
    }


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=int(time.time()))
    parser.add_argument("--seeds", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=12)
    parser.add_argument("--routers", type=int, default=3)
    options = parser.parse_args()
    failed = 0
    for seed in range(options.seed, options.seed + options.seeds):
        injected, platform, found = run(seed, options.seconds, options.routers)
        violations = {name: v for name, v in found.items() if v}
        print("seed %d: %d faults, %d requests (%d with status 200), %d runs, violations: %s"
              % (seed, len(injected), len(platform.calls),
                 sum(c["status"] == 200 for c in platform.calls), len(platform.runs),
                 json.dumps({n: v[:3] for n, v in violations.items()}) if violations else "none"),
              flush=True)
        if violations:
            failed += 1
            print("  logs in %s; faults: %s" % (platform.directory, ", ".join(injected)))
    print("%d seeds, %d with violations" % (options.seeds, failed))
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
