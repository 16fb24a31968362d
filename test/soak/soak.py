"""A soak of routers on the platform under faults drawn from a seed.

    python3 test/soak/soak.py [--seed N] [--seeds COUNT] [--seconds S] [--routers N]

Real routers as processes; stand-ins for store, servers and clients; the fault-injecting
proxy between routers and the others. Prints seed, faults, requests and violations; on a
violation the directory with the logs stays. Ends only processes that it started.
"""

import argparse
import collections
import json
import os
import random
import signal
import sys
import threading
import time

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
import fleet as f
from platform_fake import Client, Listener, Message, Server, World, chunk, event, reset, route
from soak import checks

LINKS = ["store"] + ["server-%d" % i for i in range(6)]
NOT_RUN = checks.NOT_RUN


class SoakWorld(World):
    """A world behind the proxy that keeps what was seen."""

    def __init__(self, routers, choose):
        self.choose = choose
        self.server_choose = random.Random(choose.random())  # the servers' threads draw as well
        self.calls, self.runs, self.arrivals, self.probes = [], [], [], []
        self.versions, self.leaves, self.stops = [], [], []
        self.dropped, self.ready_probes, self.sends = [], [], []
        self.held = collections.Counter()  # requests at each engine
        self.unrest = [0.0]      # times of faults of store and routers
        self.link_unrest = [0.0]  # times of faults of links to servers
        self.broken_off = set()   # requests whose server broke off
        self.stop = threading.Event()
        self.leave_lock = threading.Lock()
        super().__init__(routers=routers, start=False)
        self.marker = 0
        self.start_proxy()
        for i in range(6):
            self.add_soak_server(i)
        self.put_version()
        self.store_port = self.store.port
        self.store.port = self.ports["store"]
        self.start()

    def start_proxy(self):
        listeners = {"store": self.store.port}
        self.backs = [Listener(lambda c: None) for _ in range(6)]
        listeners.update({"server-%d" % i: b.port for i, b in enumerate(self.backs)})
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

    def add_soak_server(self, place):
        """A server at the address of that place; what was there before is gone."""
        service = "plain" if place < 3 else "model"
        back = self.backs[place]
        server = Server.__new__(Server)
        Server.count += 1
        server.id = "s%d-%d" % (place, Server.count)
        server.store, server.service, server.is_engine = self.store, service, service == "model"
        server.slots, server.behave, server.sequence, server.born = 16, None, 0, 10 ** 6 + Server.count
        server.ran, server.seen, server.closed, server.mode = [], [], [], "ok"
        server.listener = type("Shown", (), {"port": self.ports["server-%d" % place],
                                             "close": lambda self: None})()
        back.handle = lambda connection: self.serve(server, connection)
        server.write("ready")
        self.servers.append(server)
        return server

    def serve(self, server, connection):
        file = connection.makefile("rb")
        while not self.stop.is_set():
            message = Message(file)
            request_id = message.fields.get("request-id", "")
            if not self.answer(server, connection, message, request_id):
                self.broken_off.add(request_id)
                return

    def answer(self, server, connection, message, request_id):
        """Returns whether the answer is whole and the connection goes on."""
        if message.fields.get("expect-instance") != server.id:
            connection.sendall(b"HTTP/1.1 421 X\r\nContent-Length: 0\r\n\r\n")
            return True
        self.arrivals.append((request_id, server.id, time.monotonic()))
        mode = server.mode
        if mode == "full" or (mode == "some_full" and self.server_choose.random() < 0.5):
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
            self.stop.wait(checks.LIMIT_S + 4)  # longer than any caller waits
            return False
        if mode == "lost" and self.server_choose.random() < 0.5:
            reset(connection)
            return False
        if mode == "errors" and self.server_choose.random() < 0.5:
            server.reply(connection, message, b"failed", 500)
        elif server.is_engine:
            self.hold(server, 1)
            try:
                self.send_stream(server, connection, message, mode)
            finally:
                self.hold(server, -1)
        else:
            body = b"answer to " + request_id.encode()
            if mode == "torn" and self.server_choose.random() < 0.5:
                connection.sendall(server.head(message, 200, "Content-Length: %d\r\n\r\n"
                                               % len(body)) + body[:5])
                return False
            server.reply(connection, message, body)
            if mode == "extra":
                server.reply(connection, message, b"answer to nobody")
        return True

    def hold(self, server, change):
        if change > 0:
            engines = [s.id for s in self.present() if s.is_engine]
            self.sends.append((time.monotonic(), self.held[server.id],
                               sum(self.held[e] for e in engines) / len(engines)))
        self.held[server.id] += change

    def send_stream(self, server, connection, message, mode):
        first = int(message.fields.get("last-event-id", 0)) + 1
        connection.sendall(server.head(message, 200, "Transfer-Encoding: chunked\r\n\r\n"))
        for number in range(first, checks.EVENTS + 1):
            if mode == "torn" and self.server_choose.random() < 0.2:
                connection.sendall(b"10\r\nid: 9")
                self.broken_off.add(message.fields.get("request-id", ""))
                reset(connection)
                raise OSError("torn")
            connection.sendall(chunk(event(number)))
            time.sleep(0.01)
        connection.sendall(b"0\r\n\r\n")

    def put_version(self):
        """Each version has a route and a key of its own, and drops those of the last but one."""
        self.marker += 1
        numbers = [n for n in (self.marker - 1, self.marker) if n > 0]
        markers = [route("v%d" % n, "/v%d/" % n, "safe", "plain") for n in numbers]
        base = [route("safe", "/safe/", "safe", "plain"),
                route("unsafe", "/unsafe/", "unsafe", "plain", max_attempts=1),
                route("stream", "/stream/", "streaming", "model", max_attempts=1),
                route("resume", "/resume/", "streaming", "model", resumable=True)]
        self.configure(base + markers, keys=["key-1"] + ["key-v%d" % n for n in numbers])
        self.versions.append([self.marker, time.monotonic(), True])

    def disturb(self):
        self.unrest.append(time.monotonic())

    def client_loop(self, router, seed):
        choose = random.Random(seed)
        client = None
        while not self.stop.is_set():
            kind = choose.choice(["safe", "unsafe", "stream", "resume"])
            call = {"kind": kind, "router": router["ip"], "status": 0, "body": b"",
                    "whole": False, "read": False, "sent": time.monotonic()}
            try:
                if client is None or choose.random() < 0.1:
                    if client is not None:
                        client.close()
                    client = Client(router)
                    client.socket.settimeout(checks.LIMIT_S + 2)
                call["id"] = client.send("/%s/" % kind, "GET" if kind == "safe" else "POST",
                                         body=None if kind == "safe" else b"body",
                                         fields=[("Prompt-Prefix", "%x:500,1:9" % choose.randrange(9))])
                answer = self.read(client, call)
                if answer.get("connection") == "close":
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
            time.sleep(choose.random() * 0.03)

    def read(self, client, call):
        """Reads an answer piece by piece, so that a torn one shows what came."""
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
        return fields

    def probe_loop(self):
        while not self.stop.is_set():
            for router in self.routers:
                asked = self.marker
                self.probe(router, asked, self.probes)
                if asked > 2:
                    self.probe(router, asked - 2, self.dropped)
                self.probe_ready(router)
            time.sleep(0.1)

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
        """What a call gets between two answers "ready" of one process."""
        process = router["process"]
        if not self.is_ready(router):
            return
        status = None
        try:
            with Client(router) as client:
                status = 0  # the connection was taken
                client.socket.settimeout(1)
                status = client.call("/safe/").status
        except (OSError, ValueError, IndexError):
            pass
        if self.is_ready(router) and router["process"] is process:
            self.ready_probes.append((router["ip"], status))

    # Faults: each returns what heals it, and tells whether store or routers are disturbed.

    def faults(self):
        choose = self.choose
        server = choose.choice(self.present())
        link = choose.choice(LINKS)
        router = choose.choice(self.routers)
        heal_store = lambda: setattr(self.store, "mode", "ok")
        return choose.choice([
            ("store " + (mode := choose.choice(["busy", "silent", "reset"])), True,
             lambda: setattr(self.store, "mode", mode), heal_store),
            ("store slow", True, lambda: setattr(self.store, "delay_s", 0.3),
             lambda: setattr(self.store, "delay_s", 0)),
            ("store loses answers", True, lambda: setattr(self.store, "lose", 3), None),
            ("store forgets", True, lambda: [self.store.forget(t) for t in
                                             ("keyed.op", "keyed.servers")], None),
            ("server " + (how := choose.choice(["full", "some_full", "slow", "hang", "silent",
                                                "lost",
                                                "errors", "torn", "extra"])), False,
             lambda: setattr(server, "mode", how), lambda: setattr(server, "mode", "ok")),
            ("link %s delayed" % link, link == "store", lambda: self.proxy(link, delay_ms=80),
             lambda: self.proxy(link, delay_ms=0)),
            ("link %s cut" % link, link == "store", lambda: self.proxy(link, cut=1), None),
            ("link %s one way" % link, link == "store", lambda: self.proxy(link, drop_down=1),
             lambda: self.proxy(link, drop_down=0, cut=1)),
            ("link %s silent" % link, link == "store", lambda: self.proxy(link, silence=1), None),
            ("link %s refuses" % link, link == "store", lambda: self.proxy(link, refuse=1, cut=1),
             lambda: self.proxy(link, refuse=0)),
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

    def replace(self, router, number):
        process = router["process"]
        if process.popen.poll() is not None:
            return
        if number == signal.SIGTERM:
            self.stops.append([router["ip"], time.monotonic(), True])
        process.signal(number)
        if router.get("replaced") is process:
            return  # a second signal; the first one waits for its end
        router["replaced"] = process

        def again():
            process.popen.wait()
            self.disturb()
            with self.leave_lock:
                if not self.stop.is_set():
                    router["process"] = f.Process(
                        [f.program("limpetplatformd"), router["settings"]], process.log_path)

        threading.Thread(target=again, daemon=True).start()

    def present(self):
        """The newest server of each place."""
        return list({self.place_of(s): s for s in self.servers}.values())

    def place_of(self, server):
        return int(server.id[1])

    def leave(self, server):
        with self.leave_lock:
            if server not in self.present():
                return
            server.write("draining")
            self.leaves.append([server.id, time.monotonic(), None])

        def gone():
            time.sleep(3)
            self.leaves_end(server)
            server.remove()
            with self.leave_lock:
                self.add_soak_server(self.place_of(server))

        threading.Thread(target=gone, daemon=True).start()

    def leaves_end(self, server):
        for leave in self.leaves:
            if leave[0] == server.id and leave[2] is None:
                leave[2] = time.monotonic()

    def crash(self, server):
        """Another server takes the address at once."""
        self.proxy("server-%d" % self.place_of(server), cut=1)
        with self.leave_lock:
            if server in self.present():
                self.add_soak_server(self.place_of(server))
        server.remove()

    def was_calm(self, start, end):
        return not any(start - 3 < at < end for at in self.unrest)


def run(seed, seconds, routers):
    choose = random.Random(seed)
    world = SoakWorld(routers, choose)
    injected = []
    heals = []
    with world:
        try:
            f.wait_for(lambda: world.call("/safe/").status == 200, "the first answer")
            threads = [threading.Thread(target=world.client_loop, args=(r, choose.random()),
                                        daemon=True) for r in world.routers for _ in range(3)]
            threads.append(threading.Thread(target=world.probe_loop, daemon=True))
            for thread in threads:
                thread.start()
            end = time.monotonic() + seconds
            while time.monotonic() < end:
                name, disturbs, inject, heal = world.faults()
                injected.append(name)
                if disturbs:
                    world.disturb()
                if name.startswith("link") or name == "server crashes":
                    world.link_unrest.append(time.monotonic())
                inject()
                if heal is not None:
                    heals.append((time.monotonic() + choose.uniform(0.3, 3), disturbs, heal))
                time.sleep(choose.choice([0.05, 0.3, 1.0]))
                for due in [h for h in heals if h[0] < time.monotonic()]:
                    due[2]()
                    world.link_unrest.append(time.monotonic())
                    if due[1]:
                        world.disturb()
                    heals.remove(due)
            for _, _, heal in heals:
                heal()
            world.disturb()
            for server in world.servers:
                server.mode = "ok"
            calm_round(world)
            return injected, world, judge(world)
        finally:
            with world.leave_lock:
                world.stop.set()
            world.proxy_process.kill()


CALM_S = 3.5  # after the last fault of store and routers (stable_window_ms)


def calm_round(world):
    """Leaves, a version and a planned stop while nothing else happens: the bounds hold then."""
    try:
        f.wait_for(lambda: all(r["process"].popen.poll() is None and world.is_ready(r)
                               for r in world.routers), "", 15)
    except AssertionError:
        return  # judge() tells it
    time.sleep(CALM_S)
    for place in (0, 3):
        world.leave(world.present()[place])
    world.put_version()
    time.sleep(3.2)
    world.replace(world.routers[0], signal.SIGTERM)
    time.sleep(2.2)


def judge(world):
    def not_ready():
        return [r["ip"] for r in world.routers
                if r["process"].popen.poll() is not None or not world.is_ready(r)]

    try:
        f.wait_for(lambda: not not_ready(), "", 20)
    except AssertionError:
        return {"recovery": ["%s is not ready 20 s after the faults" % r for r in not_ready()]}
    time.sleep(4)  # entries that lapsed and targets that rest are back
    final = []
    for i, router in enumerate(world.routers):
        good = sum(world.call("/safe/", router=i).status == 200 for _ in range(20))
        final.append((router["ip"], 20, good))
    world.stop.set()
    time.sleep(0.5)
    for leave in world.leaves:
        leave[2] = leave[2] or time.monotonic()
    calls, runs, arrivals = list(world.calls), list(world.runs), list(world.arrivals)
    calm_leaves = [l for l in world.leaves if world.was_calm(l[1], l[2])]
    versions = [(n, at, world.was_calm(at, at + checks.APPLY_S + 2)) for n, at, _ in world.versions]
    stops = [(r, at, world.was_calm(at, at + 2)
              and not any(at - 4 < t < at + 3 for t in world.link_unrest))
             for r, at, _ in world.stops]
    sizes = []
    for router in world.routers:
        pid = router["process"].popen.pid
        with open("/proc/%d/status" % pid) as file:
            memory = [int(l.split()[1]) for l in file if l.startswith("VmRSS")][0]
        sizes.append((router["ip"], memory, len(os.listdir("/proc/%d/fd" % pid))))
    for call in calls:
        call["frozen"] = not world.was_calm(call["sent"], call["ended"])
    return {
        "own_whole_answers": checks.own_whole_answers(calls),
        "streams_in_order": checks.streams_in_order(calls),
        "at_most_once": checks.at_most_once(calls, runs),
        "not_run_is_true": checks.not_run_is_true(calls, runs),
        "leaving_servers": checks.leaving_servers(calm_leaves, arrivals),
        "configurations": checks.configurations(versions, world.probes),
        "dropped_routes": checks.dropped_routes(versions, world.dropped),
        "ready_means_serving": checks.ready_means_serving(world.ready_probes),
        "load_bound": checks.load_bound(
            [s for s in world.sends if world.was_calm(s[0], s[0])
             and not any(s[0] - 3 < t < s[0] for t in world.link_unrest)]),
        "repeats_within_budget": checks.repeats_within_budget(calls, arrivals),
        "deadlines": checks.deadlines(calls),
        "planned_stops": checks.planned_stops(stops, calls, world.broken_off,
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
        injected, world, found = run(seed, options.seconds, options.routers)
        bad = {name: v for name, v in found.items() if v}
        print("seed %d: %d faults, %d requests (%d answered 200), %d runs, violations: %s"
              % (seed, len(injected), len(world.calls),
                 sum(c["status"] == 200 for c in world.calls), len(world.runs),
                 json.dumps({n: v[:3] for n, v in bad.items()}) if bad else "none"), flush=True)
        if bad:
            failed += 1
            print("  logs in %s; faults: %s" % (world.directory, ", ".join(injected)))
    print("%d seeds, %d with a violation" % (options.seeds, failed))
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
