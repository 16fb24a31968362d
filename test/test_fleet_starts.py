"""Routers that start while others hold the state, and how many calls to the store a fleet makes."""

import random
import socket
import time

import fleet as f
from platform_fake import Listener, Message, Platform, ROUTES, route
from run_all import table
from test_platform import check

READY_S = 1.0
CATCH_UP_S = 4
FIND_S = 4              # until routers that start together know each other
PAIRS = 12
IDLE_ROUTES = 1000      # about 220 KB a configuration
STATE_TOPICS = ("keyed.op", "keyed.servers")


class SeededFleet(Platform):
    """Routers that know the addresses of three of them from their settings."""

    def __init__(self, routers, idle_routes=0):
        idle = [route("idle-%05d" % n, "/idle-%05d/" % n, "safe", "plain")
                for n in range(idle_routes)]
        super().__init__(routes=ROUTES + idle, start=False)
        network = "127.%d.%d" % (random.randrange(1, 250), random.randrange(1, 250))
        self.ips = ["%s.%d" % (network, n + 1) for n in range(routers)]
        self.seeds = self.ips[:3]
        self.add_server()

    def start_all(self):
        for ip in self.ips:
            self.add_router(wait=False, ip=ip, seeds=self.seeds)
        for router in self.routers:
            f.wait_for(lambda: self.is_ready(router), "a router to be ready", 15)

    def restart(self, index, store=None):
        """Kills a router and returns how long its successor took to be ready."""
        self.routers[index]["process"].kill()
        started = time.monotonic()
        router = self.add_router(wait=False, ip=self.ips[index], seeds=self.seeds, store=store)
        self.routers[index] = router
        f.wait_for(lambda: self.is_ready(router), "the router to be ready", 15)
        return time.monotonic() - started

    def greeter(self, ip):
        """Returns a function that sends the first router a message of a router at the address."""
        sender = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        sender.bind((ip, self.peer_port))
        greeting = b"\x0d" + socket.inet_aton(ip)  # the sender's address, field 1 of the protocol
        return lambda: sender.sendto(greeting, (self.ips[0], self.peer_port))

    def state_calls(self):
        return sum(self.store.count("topic=" + topic) for topic in STATE_TOPICS)


@table([("%d_routers_%s_%s" % (routers, name, topics), routers, mode, delay_s, topics)
        for routers in (3, 9)
        for name, mode, delay_s in (("silent", "silent", 0), ("busy", "busy", 0),
                                    ("reset", "reset", 0), ("slow", "ok", 3))
        for topics in ("all", "one")])
def test_a_router_that_starts_gets_the_state_from_others(routers, mode, delay_s, topics):
    """The store does not give the configuration, or nothing, to routers that start."""
    with SeededFleet(routers) as platform:
        platform.start_all()
        platform.wait_for_routers(routers)
        store = platform.add_store()
        store.only_topic = "keyed.op" if topics == "one" else None
        store.mode = mode
        store.delay_s = delay_s
        for index in (routers - 1, 1):
            took_s = platform.restart(index, store)
            check(took_s <= READY_S, took_s)
            check(platform.call("/safe/", router=index).status == 200)


def test_keys_that_were_taken_away_stay_so_at_a_router_that_starts():
    with SeededFleet(3) as platform:
        platform.configure(keys=("key-1", "key-2"))
        platform.start_all()
        platform.wait_for_routers(3)
        store = platform.add_store()
        store.mode = "silent"
        for number in range(5):
            platform.configure(keys=("key-1", "key-%d" % (number + 3)))
            for router in (0, 1):
                f.wait_for(lambda: platform.call("/safe/", key="key-%d" % (number + 3),
                                                 router=router).status == 200,
                           "the new key")
            check(platform.restart(2, store) <= READY_S)
            check(platform.call("/safe/", key="key-%d" % (number + 2), router=2).status == 401)
            check(platform.call("/safe/", key="key-%d" % (number + 3), router=2).status == 200)


@table([("%d_routers" % routers, routers) for routers in (9, 24)])
def test_a_fleet_that_starts_at_once_reads_the_state_a_few_times(routers):
    """The calls for configuration and servers; each router made two and more before."""
    with SeededFleet(routers, IDLE_ROUTES) as platform:
        platform.start_all()
        calls = platform.state_calls()
        check(calls <= routers, calls)
        for router in range(routers):
            check(platform.call("/safe/", router=router).status == 200)


@table([("%d_routers" % routers, routers) for routers in (9, 24)])
def test_new_configurations_are_passed_on(routers):
    """Each router read each version from the store before."""
    versions = 10
    with SeededFleet(routers, IDLE_ROUTES) as platform:
        platform.start_all()
        platform.wait_for_routers(routers)
        platform.store.requested_paths.clear()
        started = time.monotonic()
        for number in range(versions):
            platform.configure(platform.routes[:-1]
                               + [route("new", "/new-%d/" % number, "safe", "plain")])
            for router in range(routers):
                f.wait_for(lambda: platform.call("/new-%d/" % number,
                                                 router=router).status == 200,
                           "the new route", 2)
        elapsed_s = time.monotonic() - started
        # Two calls a version, beside the reads that find new versions.
        bound = 2 * versions + 4 * elapsed_s / 0.7
        check(platform.store.count("topic=keyed.op") <= bound,
              platform.store.count("topic=keyed.op"), bound)


def test_routers_register_although_their_settings_name_others():
    """Otherwise a router whose settings name none that runs finds nobody."""
    with SeededFleet(9) as platform:
        platform.start_all()
        platform.wait_for_routers(9)
        f.wait_for(lambda: len(platform.store.topics.get("keyed.routers", [])) >= 4,
                   "routers to register")
        platform.add_router(seeds=["127.99.0.1"])
        f.wait_for(lambda: platform.metric("limpetroad_routers ", 9) >= 10, "the others")


def test_routers_that_start_together_find_each_other():
    """Guards against routers that read the list before any other one has registered, and again only 5 s
    later."""
    fleets = [Platform(start=False) for _ in range(PAIRS)]
    try:
        for platform in fleets:
            for _ in range(2):
                platform.add_router(wait=False)
        time.sleep(FIND_S)
        counts = [platform.metric("limpetroad_routers ", router)
                  for platform in fleets for router in range(2)]
        check(min(counts) == 2, counts)
    finally:
        for platform in fleets:
            platform.__exit__()


def test_a_large_site_with_odd_entries_is_served_at_once():
    """2,000 servers, 1,400 routes, and entries of 1 MB that name no server."""
    with SeededFleet(3, 1400) as platform:
        server = platform.servers[0]
        entry = {"service": "sound", "zone": "z", "version": "v1", "slots": 8, "state": "ready",
                 "seq": 1, "cold_left_ms": 0, "born": 1}
        for number in range(2000):
            platform.store.put("keyed.servers", "s-%d" % number,
                               dict(entry, address="127.9.%d.%d:9" % (number // 250, number % 250)))
        for number, odd in enumerate((b"x" * 1000000, b"{" * 1000000,
                                      b'{"service":"' + b"y" * 1000000 + b'"}')):
            platform.store.put("keyed.servers", "odd-%d" % number, odd)
        server.write("ready")
        started = time.monotonic()
        platform.start_all()
        check(time.monotonic() - started < CATCH_UP_S, time.monotonic() - started)
        for router in range(3):
            check(platform.call("/safe/", router=router).status == 200)
            check("entry ignored" in platform.log(router))


@table([("not_compressed", b"LRST\x01\x00" + b"\0" * 40), ("another_version", b"LRST\x09" + b"\0" * 40),
        ("no_state", b"hello"), ("64_mb", b"LRST\x01\x00\0\0\0\0\x04\0\0\0" + b"\0" * 40),
        ("empty", b"")])
def test_a_malformed_state_is_refused(body):
    """It comes from an address that the settings name, at which no router of ours runs."""
    with SeededFleet(2) as platform:
        platform.start_all()
        platform.wait_for_routers(2)
        giver = platform.routers.pop()
        giver["process"].kill()
        store = platform.add_store()
        store.mode = "silent"
        served = []

        def serve(connection):
            Message(connection.makefile("rb"))
            connection.sendall(b"HTTP/1.1 200 X\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
            served.append(1)

        listener = Listener(serve, platform.peer_port + 1, platform.ips[1])
        try:
            platform.routers[0]["process"].kill()
            router = platform.add_router(wait=False, ip=platform.ips[0], seeds=platform.ips[1:2],
                                         store=store)
            greet = platform.greeter(platform.ips[1])
            f.wait_for(lambda: greet() and served, "a request for a state", 5)
            f.wait_for(lambda: "state_refused" in router["process"].log_text(), "the refusal", 5)
            check(not platform.is_ready(router))
            store.mode = "ok"
            f.wait_for(lambda: platform.is_ready(router), "the router to be ready", CATCH_UP_S)
        finally:
            listener.close()


@table([("before", "", False), ("now", "&format=1", True)])
def test_a_state_is_sent_in_the_form_that_is_asked_for(more, is_compressed):
    """Routers of the build before ask without a format and get the records as they are."""
    with SeededFleet(1) as platform:
        platform.start_all()
        ip = platform.ips[0][:-1] + "9"
        platform.greeter(ip)()
        f.wait_for(lambda: platform.metric("limpetroad_routers ") == 2, "the greeting")
        with socket.create_connection((platform.ips[0], platform.peer_port + 1), 2,
                                      (ip, 0)) as connection:
            connection.sendall(("GET /state?topic=0&from=-1%s HTTP/1.1\r\nHost: x\r\n\r\n"
                                % more).encode())
            body = Message(connection.makefile("rb")).body
        check(body.startswith(b"LRST") == is_compressed, body[:20])
        check((b"/safe/" in body) != is_compressed)


def test_a_state_is_not_sent_to_an_unknown_address():
    with SeededFleet(1) as platform:
        platform.start_all()
        ip = platform.ips[0][:-1] + "9"
        with socket.create_connection((platform.ips[0], platform.peer_port + 1), 2,
                                      (ip, 0)) as connection:
            connection.sendall(b"GET /state?topic=0&from=-1&format=1 HTTP/1.1\r\nHost: x\r\n\r\n")
            try:
                check(connection.recv(100) == b"")
            except ConnectionResetError:
                pass
