"""Routers with servers of one service that crash under some requests and are replaced."""

import threading

from platform_fake import Platform


class CrashingFleet:
    """A subclass has on_request(), which calls crash().

    crashes: what was given to crash(); served: (time, whether it was served) of the sound requests."""

    def __init__(self, routes, service, servers, routers, restart_s):
        self.service = service
        self.restart_s = restart_s
        self.crashes = []
        self.served = []
        self.stopped = threading.Event()
        self.platform = Platform(start=False, routes=routes)
        for _ in range(servers):
            self.add_server()
        self.platform.router_count = routers
        self.platform.start()
        self.platform.wait_for_routers(routers)

    def __enter__(self):
        return self

    def __exit__(self, *unused):
        self.stopped.set()
        self.platform.__exit__()

    def add_server(self):
        self.platform.add_server(self.service, on_request=self.on_request)

    def crash(self, server, record):
        if server not in self.platform.servers:
            return  # another request has just crashed it
        self.platform.servers.remove(server)
        self.crashes.append(record)
        self.close_server(server)
        threading.Timer(self.restart_s, self.replace, [server]).start()

    def close_server(self, server):
        server.close()

    def replace(self, server):
        if not self.stopped.is_set():
            server.remove()
            self.add_server()

    # Returns the share of the sound requests that were served, from the time on.
    def served_after(self, at):
        results = [served for sent, served in self.served if sent > at]
        return sum(results) / max(1, len(results))
