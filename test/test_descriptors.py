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
