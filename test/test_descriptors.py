"""Routers that have used up their descriptors."""

import os
import resource
import threading
import time

import fleet as f
from platform_fake import Platform
from run_all import table
from test_isolated_routers import IsolatedFleet
from test_platform import check

CROWD = 80
SPARE = 10      # descriptors of a router that relays for the crowd, beside those that it has without it
TROUBLE_S = 4
MAX_FDS = 500   # of a router that callers fill
FILLING = 600   # callers
APPLY_S = 2.5   # until a configuration is in force: config_apply_ms, and a margin for the test


def descriptors(router):
    return len(os.listdir("/proc/%d/fd" % router["process"].popen.pid))


def limit_descriptors(router, most):
    resource.prlimit(router["process"].popen.pid, resource.RLIMIT_NOFILE, (most, most))


def answer_and_close(server, message, connection):
    server.ran.append(message.fields["request-id"])
    time.sleep(0.05)
    connection.sendall(server.head(message, extra="Connection: close\r\nContent-Length: 4\r\n\r\n") + b"done")
    raise OSError("closed")


class Crowd:
    """Callers that send one request after the other, half of them on kept connections. Records the statuses."""

    def __init__(self, platform, path, count, router=0):
        self.platform = platform
        self.path = path
        self.router = router
        self.statuses = []
        self.is_over = threading.Event()
        self.threads = [threading.Thread(target=self.run, args=(index % 2 == 0,)) for index in range(count)]
        for thread in self.threads:
            thread.start()

    def run(self, keeps_connection=True):
        client = None
        while not self.is_over.is_set():
            try:
                client = client or self.platform.client(self.router)
                client.socket.settimeout(3)
                self.statuses.append(client.call(self.path, "POST", body=b"x").status)
                client = client if keeps_connection else client.close()
            except (OSError, ValueError):
                self.statuses.append(0)
                time.sleep(0.05)
                client = client and client.close()
        if client:
            client.close()

    def end(self):
        self.is_over.set()
        for thread in self.threads:
            thread.join()


@table([(path.strip("/"), path) for path in ("/safe/", "/unsafe/")])
def test_a_router_without_descriptors_for_servers_goes_on(path):
    """Guards against a router that ended by itself when it had no descriptor for a connection to a server."""
    with Platform(start=False) as platform:
        for _ in range(4):
            platform.add_server(on_request=answer_and_close, slots=CROWD)
        platform.start()
        router = platform.routers[0]
        unused = descriptors(router)
        crowd = Crowd(platform, path, CROWD)
        try:
            f.wait_for(lambda: platform.metric("limpetroad_callers ") >= CROWD // 2, "the crowd")
            limit_descriptors(router, unused + CROWD)
            time.sleep(TROUBLE_S)
            check(router["process"].popen.poll() is None, router["process"].popen.returncode)
        finally:
            crowd.end()
        # 0: the connection was turned away, as no descriptor was left to accept it.
        check(set(crowd.statuses) <= {200, 503, 0} and crowd.statuses.count(200) > CROWD, crowd.statuses[-100:])
        f.wait_for(lambda: platform.call(path, "POST", body=b"x").status == 200, "requests to be served")


def test_a_relaying_router_without_descriptors_goes_on():
    """Guards against a router that ended by itself when it had no descriptor for a connection that it relays."""
    with IsolatedFleet("reset", "safe") as fleet:
        crowds = []
        platform = fleet.platform
        unused_counts = [descriptors(router) for router in platform.routers[1:]]
        fleet.cut()
        try:
            crowds.append(Crowd(platform, fleet.path, CROWD))
            fleet.wait_isolated()
            for router, unused in zip(platform.routers[1:], unused_counts):
                limit_descriptors(router, unused + SPARE)
            time.sleep(TROUBLE_S)
        finally:
            for crowd in crowds:
                crowd.end()
        codes = [router["process"].popen.poll() for router in platform.routers]
        check(codes == [None] * len(codes) and crowds[0].statuses.count(200) > CROWD, codes, crowds[0].statuses[-100:])


# Opens count connections as far as the router takes them. What "head" sends first: "none" (nothing), "half" (half of a
# head) or "whole" (a request, whose response is read). Returns their sockets.
def fill(platform, count, head):
    sockets = []
    router = platform.routers[0]
    for _ in range(count):
        try:
            client = platform.client()
            if head == "whole":
                client.call("/safe/")
            elif head == "half":
                client.socket.sendall(b"GET /safe/ HTTP/1.1\r\nHost: ")
            sockets.append(client)
        except (OSError, ValueError):
            pass
        check(router["process"].popen.poll() is None, router["process"].popen.returncode)
    return sockets


# Sends requests with the key and returns the statuses; 0 is a connection without an answer.
def statuses_of(platform, key, count=20):
    statuses = []
    for _ in range(count):
        try:
            statuses.append(platform.call("/safe/", key=key).status)
        except (OSError, ValueError, IndexError):
            statuses.append(0)
    return statuses


@table([("idle", "whole"), ("silent", "none")])
def test_a_router_full_of_callers_that_do_nothing_goes_on(head):
    """Guards against a router without a descriptor for the store, which served a key that had been taken away."""
    with Platform(start=False, max_fds=MAX_FDS) as platform:
        for _ in range(4):
            platform.add_server()
        platform.start()
        callers = fill(platform, FILLING, head)
        try:
            time.sleep(0.3)  # a connection younger than 0.2 s is not closed for another
            check(statuses_of(platform, "key-1") == [200] * 20)
            check(platform.is_ready(platform.routers[0]))
            platform.configure(keys=["key-2"])
            time.sleep(APPLY_S)
            check(statuses_of(platform, "key-1") == [401] * 20)
            check(statuses_of(platform, "key-2") == [200] * 20)
            check(platform.metric("limpet_idle_callers_closed_total") > 0)
        finally:
            for caller in callers:
                caller.close()


def test_a_router_full_of_callers_that_are_busy_reads_the_store():
    """Guards against a router without a descriptor for the store; who finds no room is turned away at once."""
    with Platform(start=False, max_fds=MAX_FDS, header_timeout_ms=20000) as platform:
        for _ in range(4):
            platform.add_server()
        platform.start()
        kept = [platform.client() for _ in range(4)]
        for client in kept:
            check(client.call("/safe/").status == 200)
        callers = fill(platform, FILLING, "half")
        try:
            began = time.monotonic()
            turned_away = statuses_of(platform, "key-1").count(0)
            check(turned_away > 0 and time.monotonic() - began < 2, turned_away, time.monotonic() - began)
            check(platform.is_ready(platform.routers[0]))
            platform.configure(keys=["key-2"])
            time.sleep(APPLY_S)
            check(platform.metric("limpetroad_configuration_version ") == platform.version)
            check(platform.metric("limpet_callers_turned_away_total") > 0)
        finally:
            for client in kept + callers:
                client.close()
        f.wait_for(lambda: platform.call("/safe/", key="key-2").status == 200, "callers to be served again")


def test_calls_find_descriptors_beside_callers_that_do_nothing():
    """All connections that callers may have send a request at the same time, to servers that take a while."""
    def answer_late(server, message, connection):
        time.sleep(0.5)
        server.reply(connection, message)
        return True

    with Platform(start=False, max_fds=MAX_FDS) as platform:
        for _ in range(4):
            platform.add_server(on_request=answer_late, slots=FILLING)
        platform.start()
        callers = [platform.client() for _ in range(MAX_FDS // 5)]
        for caller in callers:
            caller.send("/safe/")
        statuses = [caller.read().status for caller in callers]
        check(set(statuses) <= {200, 503} and statuses.count(200) >= len(callers) // 4, statuses)
        check([caller.call("/safe/").status for caller in callers[:8]] == [200] * 8)
        for caller in callers:
            caller.close()
