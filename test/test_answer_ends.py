"""The end of an answer tells the truth: one that was cut does not look complete, and none is cut for want of patience."""

import select
import signal
import socket
import threading
import time

import fleet as f
from platform_fake import Client, Message, Platform, break_off, chunk, event
from run_all import table
from test_isolated_routers import Caller, IsolatedFleet
from test_platform import check

BODY = b"".join(b"entry %09d\n" % number for number in range(25000))  # 400,000 bytes
PAUSE_S = 1.5
EVENTS = 40
EVENT_GAP_S = 0.05
RETRY_S = 0.5  # after an answer that does not say when to come back


class SlowClient(Client):
    """A client behind a link with a small window, which reads nothing for a while."""

    def __init__(self, router):
        self.socket = socket.socket()
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 16384)
        self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, 1448)
        self.socket.settimeout(15)
        self.socket.connect((router["ip"], router["port"]))
        self.file = self.socket.makefile("rb")


def send_body(framing):
    """Returns a handler that answers with BODY, framed by its length, by chunks or by the close."""
    def send(server, message, connection):
        time.sleep(0.2)
        if framing == "length":
            connection.sendall(server.head(message, extra="Content-Length: %d\r\n\r\n" % len(BODY)) + BODY)
            return True
        if framing == "chunks":
            connection.sendall(server.head(message, extra="Transfer-Encoding: chunked\r\n\r\n") + chunk(BODY)
                               + b"0\r\n\r\n")
            return True
        connection.sendall(server.head(message, extra="Connection: close\r\n\r\n") + BODY)
        connection.shutdown(socket.SHUT_WR)
        raise OSError("the answer ends with the connection")
    return send


# Sends an answer's head and body as they come, and returns what the client got until the end of the connection and
# whether that end was orderly.
def read_all(client):
    data = b""
    try:
        while part := client.socket.recv(65536):
            data += part
        return data, True
    except OSError:
        return data, False


@table([("%s_%s" % (framing, "stopped" if stops else "running"), framing, stops)
        for framing in ("length", "chunks", "close") for stops in (False, True)])
def test_a_client_that_pauses_gets_the_whole_answer(framing, stops):
    with Platform(start=False) as platform:
        for _ in range(2):
            platform.add_server(on_request=send_body(framing))
        platform.start()
        clients = [SlowClient(platform.routers[0]) for _ in range(4)]
        for client in clients:
            client.send("/unsafe/", "POST", body=b"x")
        time.sleep(0.1)
        if stops:
            platform.routers[0]["process"].signal(signal.SIGTERM)
        time.sleep(PAUSE_S + 0.2)
        for client in clients:
            if framing == "close":
                data, is_orderly = read_all(client)
                check(is_orderly and data.endswith(BODY), len(data), is_orderly)
            else:
                answer = client.read()
                check(answer.status == 200 and answer.body == BODY, answer.line, len(answer.body))
            client.close()
        if stops:
            f.wait_for(lambda: platform.routers[0]["process"].popen.poll() is not None, "the router to stop", 8)


def test_an_idle_connection_is_not_closed_before_its_answer_is_written():
    """The client begins to read after the idle time-out."""
    with Platform(start=False, idle_timeout_ms=600) as platform:
        platform.add_server(on_request=send_body("length"))
        platform.start()
        client = SlowClient(platform.routers[0])
        client.send("/unsafe/", "POST", body=b"x")
        time.sleep(PAUSE_S)
        check(client.read().body == BODY)


def test_an_answer_that_nobody_reads_is_cut_at_its_deadline():
    with Platform(start=False) as platform:
        platform.add_server(on_request=send_body("length"))
        platform.start()
        client = SlowClient(platform.routers[0])
        client.send("/unsafe/", "POST", body=b"x", fields=[("Connection", "close")])
        f.wait_for(lambda: platform.metric("limpetroad_callers ") == 1, "the connection")
        f.wait_for(lambda: platform.metric("limpetroad_callers ") == 0, "the connection to be closed", 12)
        data, is_orderly = read_all(client)
        check(len(data) < len(BODY) and not is_orderly, len(data), is_orderly)


@table([("%s_%s" % (version, end), version, end) for version in ("1.1", "1.0") for end in ("kill", "server", "none")])
def test_a_stream_without_a_length_looks_complete_only_if_it_is(version, end):
    """Its router is killed, or its server resets the connection, or it ends in order."""
    def send(server, message, connection):
        connection.sendall(server.head(message, extra="Content-Type: text/event-stream\r\n\r\n"))
        for number in range(1, EVENTS + 1):
            connection.sendall(event(number))
            time.sleep(EVENT_GAP_S)
            if end == "server" and number == EVENTS // 2:
                break_off(connection)
        connection.shutdown(socket.SHUT_WR)
        raise OSError("the answer ends with the connection")
    with Platform(start=False) as platform:
        platform.add_server("model", on_request=send)
        platform.start()
        client = platform.client()
        client.socket.sendall(("POST /stream/ HTTP/%s\r\nHost: a.example\r\nRequest-Id: 0123456789abcdef\r\n"
                               "Authorization: Token key-1\r\nDeadline-Ms: 8000\r\nContent-Length: 1\r\n\r\nx"
                               % version).encode())
        if end == "kill":
            time.sleep(EVENTS * EVENT_GAP_S / 2)
            platform.routers[0]["process"].kill()
        data, is_orderly = read_all(client)
        check(data.startswith(b"HTTP/1.1 200"), data[:100])
        is_complete = data.endswith(b"0\r\n\r\n") if b"chunked" in data[:300] else is_orderly
        check(is_complete == (end == "none"), data[-40:], is_orderly)
        check(end != "none" or data.endswith(b"".join(event(n) for n in range(1, EVENTS + 1))), data[-40:])


@table([(path.strip("/"), path) for path in ("/safe/", "/unsafe/", "/stream/")])
def test_an_answer_that_only_the_close_ends_is_not_framed_as_complete(path):
    """A server that crashes closes its connections in order, too. Guards against a break of MIXED in a hunt: such an
    answer got a Content-Length."""
    def send(server, message, connection):
        is_stream = server.service == "model"
        connection.sendall(server.head(message, extra="Content-Type: text/event-stream\r\n\r\n" if is_stream else "\r\n")
                           + (event(1) if is_stream else b"half"))
        connection.shutdown(socket.SHUT_WR)
        raise OSError("crashed")
    with Platform(start=False) as platform:
        platform.add_server("plain", on_request=send)
        platform.add_server("model", on_request=send)
        platform.start()
        with platform.client() as client:
            client.send(path, "POST", body=b"x")
            head = read_all(client)[0].lower()
            check(b"content-length: 4" not in head and b"transfer-encoding" not in head, head)


def test_a_caller_that_asks_on_without_reading_is_served_in_its_pace():
    with Platform(start=False, memory_mb=112) as platform:
        platform.add_server(on_request=send_body("length"), slots=64)
        platform.start()
        client = SlowClient(platform.routers[0])
        count = 40
        threading.Thread(target=lambda: [client.send("/safe/", body=b"") for _ in range(count)], daemon=True).start()
        time.sleep(1)
        check(platform.metric("limpetroad_held_bytes ") < 2000000, platform.metric("limpetroad_held_bytes "))
        for _ in range(count):
            message = Message(client.file)
            check(message.body == BODY, message.line)


class RelayedStreams(IsolatedFleet):
    """Streams without a length, to a router that reaches its servers through another one only."""

    def __init__(self):
        self.relays = []
        super().__init__("reset", "stream")

    def on_request(self, server, message, connection):
        router = threading.current_thread().router
        if self.is_isolated(router):
            return super().on_request(server, message, connection)
        self.relays.append(router)
        connection.sendall(server.head(message, extra="Content-Type: text/event-stream\r\n\r\n"))
        for number in range(1, EVENTS + 1):
            connection.sendall(event(number))
            time.sleep(EVENT_GAP_S)
        connection.shutdown(socket.SHUT_WR)
        raise OSError("the answer ends with the connection")


def start_relayed_stream(fleet):
    """Sends a request until it is relayed. Just after the isolation, the only router known to relay may not know this
    one yet: the request is then refused (503). If the servers reset a probe late, the own links look sound, and the
    request breaks there (502)."""
    for _ in range(20):
        client = fleet.platform.client(0)
        client.send("/stream/1", "POST", body=b"x")
        if select.select([client.socket], [], [], 5)[0] and fleet.relays:
            return client
        response = client.read()
        check(response.status in (502, 503) and not fleet.relays, response.line, fleet.relays)
        time.sleep(float(response.fields.get("retry-after", RETRY_S)))
    raise AssertionError("the request was not relayed")


def test_a_relayed_stream_is_not_complete_if_the_router_that_relays_is_killed():
    with RelayedStreams() as fleet:
        fleet.cut()
        caller = Caller(0)
        f.wait_for(lambda: fleet.request(caller) and fleet.platform.metric("limpetroad_isolated") == 1, "isolation")
        fleet.relays.clear()
        client = start_relayed_stream(fleet)
        time.sleep(EVENTS * EVENT_GAP_S / 2)
        check(fleet.relays[-1] != 0, fleet.relays)
        fleet.platform.routers[fleet.relays[-1]]["process"].kill()
        data, _ = read_all(client)
        check(data.startswith(b"HTTP/1.1 200") and not data.endswith(b"0\r\n\r\n"), data[-60:])
