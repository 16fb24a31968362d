"""Responses that only the end of the server's connection ends: one that is reset on the way does not look complete."""

import contextlib
import fcntl
import glob
import signal
import socket
import sys
import termios
import threading
import time

import fleet as f
from platform_fake import Platform, event, reset, route
from run_all import table
from test_answer_ends import read_all
from test_endless_bytes_own_interface import SERVICE, Pressure
from test_isolated_routers import ROUTERS, Caller, IsolatedFleet
from test_platform import check

# In each, the last part and the end of the connection reach the router at once.
SMALL = [b"a" * 3000, b"b" * 3000]
LARGE = [b"a" * 400000, b"b" * 4000]
EVENTS = [event(number) for number in range(1, 21)]
UPLOAD_BYTES = 4000000
TAIL_BYTES = 100000  # more than one read of a router
CLOSE = [("Connection", "close")]
ROUTES = [route("safe", "/safe/", "safe", "plain", max_attempts=1),
          route("unsafe", "/unsafe/", "unsafe", "plain", max_attempts=1),
          route("stream", "/stream/", "streaming", "model", max_attempts=1)]


def unacknowledged(connection):
    """Returns the number of bytes that were sent and that the peer's socket does not have."""
    return int.from_bytes(fcntl.ioctl(connection, termios.TIOCOUTQ, bytes(4)), sys.byteorder)


def is_stopped(pid):
    """Returns whether all threads of the process have stopped."""
    for path in glob.glob("/proc/%d/task/*/stat" % pid):
        with open(path) as file:
            if file.read().rsplit(")", 1)[1].split()[0] != "T":
                return False
    return True


@contextlib.contextmanager
def stopped(router):
    """The router stands still; what it is sent meanwhile it finds at once."""
    router["process"].signal(signal.SIGSTOP)
    try:
        f.wait_for(lambda: is_stopped(router["process"].popen.pid), "the router to stop")
        yield
        time.sleep(0.05)
    finally:
        router["process"].signal(signal.SIGCONT)


def end_connection(connection, end):
    """end: reset, close, or close_then_reset, by which the peer has the whole response."""
    if end != "reset":
        connection.shutdown(socket.SHUT_WR)
    if end != "close":
        reset(connection)


def send_parts(server, message, connection, router, parts, end):
    """Sends a response without a length, whose last part and end the router finds at once."""
    is_stream = server.service == "model"
    connection.sendall(server.head(message, extra="Content-Type: text/event-stream\r\n\r\n" if is_stream else "\r\n"))
    for part in parts[:-1]:
        connection.sendall(part)
        time.sleep(0.02)
    with stopped(router):
        connection.sendall(parts[-1])
        end_connection(connection, end)
    raise OSError("the response ends with the connection")


def check_end(client, parts, end):
    data, is_orderly = read_all(client)
    is_complete = data.startswith(b"HTTP/1.1 200") and is_orderly
    check(is_complete == (end != "reset"), end, len(data), data[:100], is_orderly)
    check(not is_complete or data.endswith(b"".join(parts)), len(data))


@table([("%s_%s_%s" % (path.strip("/"), size, end), path, parts, end)
        for path, size, parts in (("/safe/", "small", SMALL), ("/unsafe/", "small", SMALL), ("/safe/", "large", LARGE),
                                  ("/stream/", "events", EVENTS))
        for end in ("reset", "close", "close_then_reset")])
def test_a_response_that_is_reset_does_not_look_complete(path, parts, end):
    with Platform(start=False, routes=ROUTES) as platform:
        def respond(server, message, connection):
            send_parts(server, message, connection, platform.routers[0], parts, end)
        platform.add_server("plain", on_request=respond)
        platform.add_server("model", on_request=respond)
        platform.start()
        for _ in range(4):
            with platform.client() as client:
                client.send(path, "POST", body=b"x", fields=CLOSE)
                check_end(client, parts, end)


def read_head(connection):
    """Reads the head of a request, and leaves its body."""
    data = b""
    while b"\r\n\r\n" not in data:
        data += connection.recv(1024)
    return data.split(b"\r\n\r\n")[0].decode()


def early_head(server, request, fields):
    name = request.lower().split("request-id: ")[1].split("\r\n")[0]
    return ("HTTP/1.1 200 X\r\nRequest-Id: %s\r\nResponse-Seal: seal-%s\r\n%s\r\n" % (name, server.id, fields)).encode()


def test_a_response_that_is_reset_during_the_upload_does_not_look_complete():
    with Platform(start=False, routes=ROUTES, max_body_bytes=2 * UPLOAD_BYTES) as platform:
        server = platform.add_server()

        def serve(connection):
            connection.sendall(early_head(server, read_head(connection), ""))
            time.sleep(0.02)
            with stopped(platform.routers[0]):
                connection.sendall(SMALL[0])
                reset(connection)
        server.listener.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 8192)
        server.listener.handle = serve
        platform.start()
        with platform.client() as client:
            client.send("/unsafe/", "POST", body=b"x" * UPLOAD_BYTES, fields=CLOSE)
            check_end(client, SMALL, "reset")


def whole_response(server, message, body, fields=""):
    return server.head(message, extra="%sContent-Length: %d\r\n\r\n" % (fields, len(body))) + body


def pieces(data, size):
    return [data[start:start + size] for start in range(0, len(data), size)]


# path; what is sent, of the response without a length, an earlier call's response and a second response to the same call,
# one after the other; whether a client that sees it as complete has the server's body.
@table([(path.strip("/") + "_" + name, path, order, is_whole)
        for path in ("/safe/", "/unsafe/", "/stream/")
        for name, order, is_whole in (("own_after", ("head", "body", "own"), False),
                                      ("earlier_after", ("head", "body", "earlier"), False),
                                      ("earlier_inside", ("head", "half", "earlier", "half"), False),
                                      ("earlier_before", ("earlier", "head", "body"), True))])
def test_a_second_response_is_no_part_of_a_body_that_the_close_ends(path, order, is_whole):
    body = b"".join(EVENTS)
    fields = "Content-Type: text/event-stream\r\n" if path == "/stream/" else ""
    first = {}

    def respond(server, message, connection):
        if server.id not in first:
            first[server.id] = whole_response(server, message, event(1), fields)
            connection.sendall(first[server.id])
            return True
        parts = {"head": server.head(message, extra=fields + "\r\n"), "body": body, "half": body[:len(body) // 2],
                 "own": whole_response(server, message, body), "earlier": first[server.id]}
        for part in order:
            for piece in pieces(parts[part], 100):
                connection.sendall(piece)
                time.sleep(0.001)
        connection.shutdown(socket.SHUT_WR)
        raise OSError("the response ends with the connection")
    with Platform(start=False, routes=ROUTES) as platform:
        platform.add_server("model" if path == "/stream/" else "plain", on_request=respond)
        platform.start()
        check(platform.call(path, "POST", body=b"x").status == 200)
        with platform.client() as client:
            client.send(path, "POST", body=b"x", fields=CLOSE)
            data, is_orderly = read_all(client)
            is_complete = data.startswith(b"HTTP/1.1 200") and is_orderly
            check(is_complete == is_whole, is_orderly, data)
            check(not is_complete or data.endswith(b"\r\n\r\n" + body), data)


@table([("no_head", b"HTTP/1.1 200 OK is how a response begins\n"), ("no_id", b"HTTP/1.1 200 OK\r\nA: b\r\n\r\n"),
        ("half_a_head", b"HTTP/1.1 200 OK\r\nA: b"), ("prefixes", b"HHTTP/HTTP/1HTTP/1.1 HTTP/1.1 200\r\nHTTP/")])
def test_a_body_that_only_resembles_a_second_response_is_whole(text):
    body = text + b"x" * 1000 + text

    def respond(server, message, connection):
        connection.sendall(server.head(message, extra="\r\n"))
        for piece in pieces(body, 7):
            connection.sendall(piece)
            time.sleep(0.0005)
        connection.shutdown(socket.SHUT_WR)
        raise OSError("the response ends with the connection")
    with Platform(start=False, routes=ROUTES) as platform:
        platform.add_server("plain", on_request=respond)
        platform.start()
        with platform.client() as client:
            client.send("/unsafe/", "POST", body=b"x", fields=CLOSE)
            data, is_orderly = read_all(client)
            check(is_orderly and data.endswith(b"\r\n\r\n" + body), is_orderly, data)


class RelayedResponses(IsolatedFleet):
    """Responses to a router that reaches its servers through another one only. on_relayed(server, message, connection,
    relay) sends them."""

    def __init__(self, on_relayed):
        self.on_relayed = on_relayed
        self.is_tested = False
        super().__init__("reset", "unsafe")

    def on_request(self, server, message, connection):
        router = threading.current_thread().router
        if self.is_isolated(router) or not self.is_tested:
            return super().on_request(server, message, connection)
        check(router != 0, "not relayed")
        self.on_relayed(server, message, connection, self.platform.routers[router])

    def isolate(self):
        self.cut()
        caller = Caller(0)
        f.wait_for(lambda: self.request(caller)[0] and self.platform.metric("limpetroad_isolated") == 1, "isolation")
        self.is_tested = True


@table([(end, end) for end in ("reset", "close", "close_then_reset")])
def test_a_relayed_response_that_its_server_resets_does_not_look_complete(end):
    def respond(server, message, connection, relay):
        send_parts(server, message, connection, relay, SMALL, end)
    with RelayedResponses(respond) as fleet:
        fleet.isolate()
        for _ in range(4):
            with fleet.platform.client(0) as client:
                client.send("/unsafe/1", "POST", body=b"x", fields=CLOSE)
                check_end(client, SMALL, end)


def test_a_relayed_response_with_a_length_is_whole_though_its_server_resets_after_it():
    body = b"a" * 200000

    def respond(server, message, connection, relay):
        with stopped(fleet.platform.routers[0]):
            server.reply(connection, message, body)
            time.sleep(0.2)  # the relay has it, and the router's socket has no room for all of it
            reset(connection)
            time.sleep(0.2)
        raise OSError("reset")
    with RelayedResponses(respond) as fleet:
        fleet.isolate()
        with fleet.platform.client(0) as client:
            response = client.call("/unsafe/1", "POST", body=b"x")
            check(response.status == 200 and response.body == body, response.line, len(response.body))


def test_a_relayed_response_whose_relay_is_killed_does_not_look_complete():
    def respond(server, message, connection, relay):
        connection.sendall(server.head(message, extra="\r\n") + SMALL[0])
        time.sleep(0.02)
        with stopped(fleet.platform.routers[0]):
            connection.sendall(SMALL[1])
            time.sleep(0.02)
            relay["process"].kill()
        time.sleep(5)
        raise OSError("the client has its response")
    with RelayedResponses(respond) as fleet:
        fleet.isolate()
        with fleet.platform.client(0) as client:
            client.send("/unsafe/1", "POST", body=b"x", fields=CLOSE)
            check_end(client, SMALL, "reset")


class EarlyResponses(RelayedResponses):
    """Servers that answer uploads through a relay early: respond_early(server, connection, request, relay) sends the
    response, and ends the connection."""

    def __init__(self, respond_early):
        self.respond_early = respond_early
        super().__init__(None)

    def serve(self, server, connection):
        router = self.router_of(connection)
        if not self.is_tested or self.is_isolated(router):
            super().serve(server, connection)
            return
        request = read_head(connection)
        time.sleep(0.1)  # the relay has queued a part of the upload
        self.respond_early(server, connection, request, self.platform.routers[router])

    def isolate(self):
        self.platform.configure(max_body_bytes=2 * UPLOAD_BYTES)
        for router in range(ROUTERS):
            f.wait_for(lambda: self.upload(router).read().status == 200, "the configuration")
        for server in self.platform.servers:
            server.listener.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 8192)
        super().isolate()

    def upload(self, router, fields=()):
        """Sends an upload on a new connection, which it returns."""
        client = self.platform.client(router)
        client.send("/unsafe/1", "POST", body=b"x" * UPLOAD_BYTES, fields=fields)
        return client


def test_a_relayed_response_that_is_reset_during_the_upload_does_not_look_complete():
    def respond(server, connection, request, relay):
        connection.sendall(early_head(server, request, ""))
        with stopped(relay):
            connection.sendall(SMALL[0])
            reset(connection)
    with EarlyResponses(respond) as fleet:
        fleet.isolate()
        for _ in range(8):
            with fleet.upload(0, CLOSE) as client:
                check_end(client, SMALL, "reset")


class EarlyServices(Pressure):
    """Services of the own interface that answer before they have read the upload. reset: a part of a response without a
    length, then a reset; whole: a response with a length."""

    def __init__(self, part, end):
        super().__init__("early")
        self.part = part
        self.end_of_response = end

    def respond(self, connection):
        head = read_head(connection).lower()
        attempt_id = head.split("x-attempt-id: ")[1].split("\r\n")[0] if "x-attempt-id" in head else ""
        fields = ("Connection: close\r\nContent-Length: %d\r\n" % len(self.part)
                  if self.end_of_response == "whole" else "")
        connection.sendall(("HTTP/1.1 200 X\r\nX-Attempt-Id: %s\r\n%s\r\n" % (attempt_id, fields)).encode() + self.part)
        if self.end_of_response == "reset":
            time.sleep(0.02)
            reset(connection)
            raise OSError("reset")
        while connection.recv(65536):
            pass


@table([("%s_%s" % (size, end), part, end) for size, part in (("small", SMALL[0]), ("large", LARGE[0]))
        for end in ("reset", "whole")])
def test_a_response_that_is_reset_during_the_upload_does_not_look_complete_at_the_own_interface(part, end):
    with EarlyServices(part, end) as services:
        for _ in range(8):
            status, headers, body = f.request(services.router["port"], "POST", SERVICE, b"x" * (UPLOAD_BYTES // 4),
                                              {"Authorization": "Bearer " + services.fleet.key("team-0")})
            expected = (504, "unknown") if end == "reset" else (200, "done")
            check((status, headers["X-Outcome"]) == expected, status, headers, len(body))
            check(end == "reset" or body.encode() == part, len(body))


def test_a_relayed_response_with_a_length_is_whole_though_its_server_resets_during_the_upload():
    body = b"a" * 200000

    def respond(server, connection, request, relay):
        with stopped(fleet.platform.routers[0]):
            connection.sendall(early_head(server, request, "Content-Length: %d\r\n" % len(body)) + body)
            time.sleep(0.2)  # the relay has it, and the router's socket has no room for all of it
            reset(connection)
            time.sleep(0.2)
    with EarlyResponses(respond) as fleet:
        fleet.isolate()
        for _ in range(4):
            with fleet.upload(0) as client:
                response = client.read()
                check(response.status == 200 and response.body == body, response.line, len(response.body))


# Only the reset of a response that the close ends shows that it is not whole.
@table([("%s_%s" % (framing, end), framing, end) for framing in ("length", "close") for end in ("reset", "close_then_reset")])
def test_a_large_response_is_read_to_its_end_though_its_server_resets_during_the_upload(framing, end):
    body = b"a" * (16 * TAIL_BYTES)
    fields = "Content-Length: %d\r\n" % len(body) if framing == "length" else ""
    with Platform(start=False, routes=ROUTES, max_body_bytes=2 * UPLOAD_BYTES) as platform:
        server = platform.add_server()

        def serve(connection):
            message = read_head(connection)
            time.sleep(0.1)  # the router has queued a part of the upload
            connection.sendall(early_head(server, message, fields) + body[TAIL_BYTES:])
            f.wait_for(lambda: unacknowledged(connection) == 0, "the router to read")
            time.sleep(0.1)
            with stopped(platform.routers[0]):
                connection.sendall(body[:TAIL_BYTES])
                f.wait_for(lambda: unacknowledged(connection) == 0, "the router's socket to take the rest")
                end_connection(connection, end)
        server.listener.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 8192)
        server.listener.handle = serve
        platform.start()
        for _ in range(4):
            with platform.client() as client:
                client.send("/unsafe/", "POST", body=b"x" * UPLOAD_BYTES, fields=CLOSE)
                data, is_orderly = read_all(client)
                is_complete = data.startswith(b"HTTP/1.1 200") and is_orderly
                check(is_complete == (framing == "length" or end != "reset"), len(data), data[:100], is_orderly)
                check(not is_complete or data.endswith(b"\r\n\r\n" + body), len(data))
