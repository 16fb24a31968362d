"""Routers before brittle servers that fall over when they turn too many requests away in a second."""

import signal
import threading
import time

from platform_fake import Platform, chunk, event, route

SERVERS = 6
SLOTS = 6
QUEUE = 8             # requests that a server lets wait, fewer while it is brittle
BRITTLE_QUEUE = 1
MAX_REFUSALS = 5      # a second, which brittle servers name
AWAY_S = 3            # until a server that fell is back
STABLE_WINDOW_S = 3   # stable_window_ms of the users' small sites; the queue shrinks after it
EVENTS = 4
ALLOWED_FALLS = 2 + SERVERS / 10


class FallingFleet:
    """The servers are engines or plain ones.

    keeps_id: a server is back under the id that it had. falls: (time, id of the server, refusals in the
    second before). served: times of the requests that were served."""

    def __init__(self, kind, routers, keeps_id=False, is_brittle=True):
        self.service = "model" if kind == "engine" else "plain"
        self.path = "/stream/1" if kind == "engine" else "/safe/1"
        self.work_s = 0.4 if kind == "engine" else 0.2
        self.keeps_id = keeps_id
        self.brittle_since = 0 if is_brittle else None
        self.lock = threading.Lock()
        self.inflight = {}   # by the time of a server's start
        self.refusals = {}
        self.falls = []
        self.served = []
        self.stopped = threading.Event()
        routes = [route("safe", "/safe/", "safe", "plain"),
                  route("stream", "/stream/", "streaming", "model")]
        self.platform = Platform(start=False, routes=routes)
        for _ in range(SERVERS):
            self.add_server()
        self.platform.router_count = routers
        self.platform.start()
        self.platform.wait_for_routers(routers)

    def __enter__(self):
        return self

    def __exit__(self, *unused):
        self.stopped.set()
        self.platform.__exit__()

    def add_server(self, server_id=None):
        with self.lock:
            self.platform.add_server(self.service, slots=SLOTS, on_request=self.on_request,
                                     server_id=server_id)

    def queue(self):
        is_short = self.brittle_since is not None \
            and time.monotonic() - self.brittle_since > STABLE_WINDOW_S
        return BRITTLE_QUEUE if is_short else QUEUE

    def on_request(self, server, message, connection):
        brittle = "" if self.brittle_since is None else "Server-Brittle: %d\r\n" % MAX_REFUSALS
        with self.lock:
            running = self.inflight.get(server.born, 0)
            is_refused = running >= SLOTS + self.queue()
            if not is_refused:
                self.inflight[server.born] = running = running + 1
        if is_refused:
            connection.sendall(server.head(message, 503, brittle + "Not-Executed: 1\r\n"
                                           "Content-Length: 0\r\n\r\n", running))
            self.record_refusal(server)
            return True
        try:
            self.work(server, message, connection, brittle, running)
        finally:
            with self.lock:
                self.inflight[server.born] -= 1
        connection.sendall(b"0\r\n\r\n")
        return True

    # A request that waits for a slot takes its time for that as well.
    def work(self, server, message, connection, brittle, running):
        events = EVENTS if self.service == "model" else 1
        time.sleep(self.work_s * max(0, running - SLOTS) / SLOTS)
        kind = "Content-Type: text/event-stream\r\n" if events > 1 else ""
        connection.sendall(server.head(message, 200, brittle + kind
                                       + "Transfer-Encoding: chunked\r\n\r\n", running))
        for number in range(1, events + 1):
            time.sleep(self.work_s / events)
            connection.sendall(chunk(event(number)))

    def record_refusal(self, server):
        now = time.monotonic()
        with self.lock:
            times = [t for t in self.refusals.get(server.born, []) if t > now - 1] + [now]
            self.refusals[server.born] = times
            is_down = server not in self.platform.servers
            if is_down or self.brittle_since is None or len(times) <= MAX_REFUSALS \
                    or self.queue() != BRITTLE_QUEUE:
                return
        self.falls.append((now, server.id, len(times)))
        self.crash(server)

    def crash(self, server):
        with self.lock:
            if server not in self.platform.servers:
                return
            self.platform.servers.remove(server)
        server.close()
        server.remove()
        threading.Timer(AWAY_S, self.restart, [server]).start()

    def restart(self, server):
        if not self.stopped.is_set():
            self.add_server(server.id if self.keeps_id else None)

    # Starts a router in the place of another one, which is stopped.
    def replace_router(self, index):
        routers = self.platform.routers
        self.platform.add_router()
        routers[index], routers[-1] = routers[-1], routers[index]
        routers[-1]["process"].signal(signal.SIGTERM)

    # Starts callers, each of which sends one request after the other; they pause while is_paused is set.
    def start_callers(self, count, end):
        self.is_paused = threading.Event()
        callers = [threading.Thread(target=self.run_caller, args=(i, end), daemon=True)
                   for i in range(count)]
        for caller in callers:
            caller.start()
        return callers

    def run_caller(self, number, end):
        while time.monotonic() < end:
            try:
                with self.platform.client(number % self.platform.router_count) as client:
                    self.call(client, end)
            except OSError:
                time.sleep(0.1)

    def call(self, client, end):
        while time.monotonic() < end:
            if self.is_paused.is_set():
                time.sleep(0.02)
                continue
            response = client.call(self.path)
            if response.status == 200:
                self.served.append(time.monotonic())
            else:
                time.sleep(float(response.fields.get("retry-after", 0.1)))
            if response.fields.get("connection") == "close":
                return

    # Plays calm and then an overload; meanwhile() is called in turn during the overload. Returns
    # the share of the possible requests that were served in the overload.
    def play(self, calm_s, overload_s, overload, meanwhile):
        capacity = SERVERS * SLOTS
        start = time.monotonic()
        end = start + calm_s + overload_s
        callers = self.start_callers(capacity // 3, end)
        time.sleep(calm_s)
        begin = time.monotonic()
        callers += self.start_callers(int(overload * capacity) - capacity // 3, end)
        while time.monotonic() < end:
            if not meanwhile(time.monotonic() - begin):
                time.sleep(0.05)
        for caller in callers:
            caller.join(5)
        served = sum(begin < t < end for t in self.served)
        return served / (capacity / self.work_s * overload_s)
