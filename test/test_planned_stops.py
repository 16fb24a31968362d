"""A router that is stopped as planned answers each request that it has read, or refuses it before it is sent."""

import signal
import socket
import threading
import time

import fleet as f
from platform_fake import Platform, chunk, event, route
from run_all import table
from test_platform import check

# grace_s is 6 here: what runs is cut 5.5 s after SIGTERM. The deadline of clients is 8 s, the time-out
# of the routes 5 s.
ARRIVALS_S = (0.3, 1.2, 2.0, 2.6)   # after SIGTERM
REFUSED_WITHIN_S = 1
EVENTS = 5


class StoppedRouter:
    """A router, servers whose requests take work_s, and what became of the requests.

    seen: ids of the requests that reached a server. results: (path, time of arrival, status or "closed",
    seconds until the response was complete, whether a server saw it)."""

    def __init__(self, work_s):
        self.work_s = work_s
        self.seen = set()
        self.results = []
        self.platform = Platform(start=False, routes=[
            route("safe", "/safe/", "safe", "plain"), route("unsafe", "/unsafe/", "unsafe", "plain"),
            route("stream", "/stream/", "streaming", "model")])
        for service in ("plain", "plain", "model", "model"):
            self.platform.add_server(service, on_request=self.on_request, slots=32)
        self.platform.start()

    def __enter__(self):
        return self

    def __exit__(self, *error):
        self.platform.__exit__(*error)

    def on_request(self, server, message, connection):
        self.seen.add(message.fields["request-id"])
        if server.service == "plain":
            time.sleep(self.work_s)
            return False
        connection.sendall(server.head(message, 200, "Content-Type: text/event-stream\r\n"
                                       "Transfer-Encoding: chunked\r\n\r\n"))
        for number in range(1, EVENTS + 1):
            time.sleep(self.work_s / EVENTS)
            connection.sendall(chunk(event(number)))
        connection.sendall(b"0\r\n\r\n")
        return True

    # Sends a request on a connection and records what becomes of it.
    def request(self, client, path, arrival, way):
        start = time.monotonic()
        self.send(client, path, way)
        for request_id in client.ids:
            try:
                status = client.read().status
            except OSError:
                status = "closed"
            elapsed = time.monotonic() - start
            self.results.append((path, arrival, status, round(elapsed, 1), request_id in self.seen))

    # Sends one request, or two in one segment if they are pipelined.
    def send(self, client, path, way):
        client.ids = []
        if way == "slow_body":
            client.ids.append(client.send(path, "POST", fields=[("Content-Length", "4")]))
            for _ in range(4):
                time.sleep(0.1)
                client.socket.sendall(b"x")
            return
        client.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_CORK, 1)
        for _ in range(2 if way == "pipelined" else 1):
            client.ids.append(client.send(path, "POST", body=b"x"))
        client.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_CORK, 0)

    def play(self, way, is_known):
        paths = ("/safe/1", "/unsafe/1", "/stream/1")
        if is_known:
            callers = [threading.Thread(target=self.platform.call, args=(path, "POST"),
                                        kwargs={"body": b"x"}) for path in paths]
            for caller in callers:
                caller.start()
            for caller in callers:
                caller.join()
        clients = {(path, at): self.platform.client() for path in paths for at in ARRIVALS_S}
        time.sleep(0.2)
        self.platform.routers[0]["process"].signal(signal.SIGTERM)
        start = time.monotonic()
        threads = []
        for (path, at), client in sorted(clients.items(), key=lambda item: item[0][1]):
            time.sleep(max(0, start + at - time.monotonic()))
            threads.append(threading.Thread(target=self.request, args=(client, path, at, way)))
            threads[-1].start()
        for thread in threads:
            thread.join()
        f.wait_for(lambda: self.platform.routers[0]["process"].popen.poll() is not None, "the router to stop")


@table([("%s_%s_%s" % (way, length, known), way, work_s, known == "known")
        for way in ("kept", "pipelined", "slow_body")
        for length, work_s in (("short", 0.3), ("long", 4.2)) for known in ("known", "new")])
def test_requests_late_in_a_planned_stop_are_answered_or_not_sent(way, work_s, is_known):
    with StoppedRouter(work_s) as router:
        router.play(way, is_known)
        for result in router.results:
            _, _, status, elapsed, was_seen = result
            check(status == (200 if was_seen else 503), result, router.results)
            check(was_seen or elapsed < REFUSED_WITHIN_S or way == "pipelined", result)
        if work_s < 1 and is_known:
            check(all(status == 200 for _, arrival, status, _, _ in router.results
                      if arrival < ARRIVALS_S[-1]), router.results)
