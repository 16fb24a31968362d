"""The own interface: engines, services and callers that send without end, and callers that do not read: a router's
memory stays bounded, and others are served."""

import http.client
import json
import socket
import subprocess
import sys
import threading
import time

import fleet as f
from platform_fake import Listener, Message, chunk
from run_all import own_process, table
from test_platform import check

BLOCK = b"x" * 65536
PLAY_S = 1.5             # and longer, until so many calls of the sound service have ended
MIN_SOUND_CALLS = 21
MEMORY_MB = 160
# What a router may hold beside its budget, a quarter of memory_mb: its 256 threads and their buffers.
REST_MIB = 40
LARGE_BYTES = 15900000
UPLOAD_BYTES = 1000000
MAX_CTL_MIB = 48
HEAD = "HTTP/1.1 %s\r\nX-Attempt-Id: %s\r\n%s"
CHUNKED = "Transfer-Encoding: chunked\r\n\r\n"
EVENTS = "Content-Type: text/event-stream\r\n" + CHUNKED


# Returns a function that sends the head and then the block without end.
def repeat(extra, *blocks, status="200 OK"):
    def send(connection, attempt_id):
        connection.sendall((HEAD % (status, attempt_id, extra)).encode())
        for block in blocks[:-1]:
            connection.sendall(block)
        while True:
            connection.sendall(blocks[-1])
    return send


def event(number, text="x"):
    return b'id: %d\ndata: {"choices":[{"index":0,"delta":{"content":"%s"}}]}\n\n' % (number, text.encode())


def send_events(connection, attempt_id):
    connection.sendall((HEAD % ("200 OK", attempt_id, EVENTS)).encode())
    number = 0
    text = "x" * 4000
    while True:
        connection.sendall(chunk(b"".join(event(number + i, text) for i in range(16))))
        number += 16


# Each event has as many values as one may have.
def send_event_values(connection, attempt_id):
    connection.sendall((HEAD % ("200 OK", attempt_id, EVENTS)).encode())
    data = b'{"a":[%s]}' % b",".join([b"{}"] * 20000)
    for number in range(1000000):
        connection.sendall(chunk(b"id: %d\ndata: %s\n\n" % (number, data)))


def send_large(connection, attempt_id):
    connection.sendall((HEAD % ("200 OK", attempt_id, "Content-Length: %d\r\n\r\n" % LARGE_BYTES)).encode())
    for start in range(0, LARGE_BYTES, len(BLOCK)):
        connection.sendall(BLOCK[:LARGE_BYTES - start])


# The largest response that a service may give, up to its last bytes.
def send_allowed(connection, attempt_id):
    connection.sendall((HEAD % ("200 OK", attempt_id, "Content-Length: 1000000\r\n\r\n")).encode())
    connection.sendall(b"x" * 999000)
    connection.settimeout(20)
    connection.recv(1)


ENDLESS = {
    "head": repeat("Field: ", BLOCK),
    "fields": repeat("", b"Field: x\r\n" * 6000),
    "interim": repeat("\r\n", b"HTTP/1.1 100 X\r\n\r\n" * 3000, status="100 X"),
    "body": repeat("\r\n", BLOCK),
    "error_body": repeat("\r\n", BLOCK, status="500 X"),
    "chunks": repeat(CHUNKED, chunk(BLOCK)),
    "large_length": repeat("Content-Length: 900000000000\r\n\r\n", BLOCK),
    "large_answer": send_large,
    "allowed_answer": send_allowed,
    "event_line": repeat(EVENTS, chunk(b"data: "), chunk(BLOCK)),
    "comments": repeat(EVENTS, chunk(b": x\n\n" * 13000)),
    "events": send_events,
    "event_values": send_event_values,
}


class PressedFleet(f.Fleet):
    def bundle(self):
        bundle = super().bundle()
        bundle["services"] = {"booking": {"idempotent": True}, "sound": {"idempotent": True}}
        return bundle

    def vm(self, kind, entry, group):
        return super().vm(kind, entry, entry.get("group", group))


class Pressure:
    """A router of the own interface before faulty engines and services and a sound service, with callers of all.

    served, asked: calls to the sound service."""

    def __init__(self, kind):
        self.kind = kind
        self.end = threading.Event()
        self.lock = threading.Lock()
        self.asked = self.served = 0
        self.statuses = {}
        self.listeners = []

    def __enter__(self):
        self.fleet = PressedFleet(routers=1, engines=0, services=1, fleet={"default_deadline_ms": 2000},
                                  extra_settings={"memory_mb": MEMORY_MB})
        try:
            self.fleet.services[0]["group"] = "sound"
            for entries, name in ((self.fleet.engines, "e"), (self.fleet.services, "f")):
                for i in range(3):
                    self.listeners.append(Listener(self.respond))
                    self.fleet.add_target(entries, "%s%02d" % (name, i), self.listeners[-1].port, slots=64)
            self.fleet.publish_vms()
            self.fleet.start()
            self.router = self.fleet.routers[0]
            f.wait_for(lambda: self.router["process"].log_text().count("joined") >= 7, "the targets", 5)
            f.wait_for(lambda: self.call("sound", "GET") == 200, "the sound service", 5)
        except BaseException:
            self.fleet.stop()
            raise
        return self

    def __exit__(self, *error):
        self.end.set()
        for listener in self.listeners:
            listener.close()
        self.fleet.__exit__(*error)

    def respond(self, connection):
        if self.kind == "uploads":
            self.end.wait(20)
            return
        message = Message(connection.makefile("rb"))
        if self.kind == "report":
            connection.sendall(b"HTTP/1.1 200 X\r\nContent-Length: %d\r\n\r\n" % len(VALUES) + VALUES)
            return
        ENDLESS[self.kind](connection, message.fields.get("x-attempt-id"))

    def call(self, service, method, body=None):
        headers = {"Authorization": "Bearer " + self.fleet.key("team-0")}
        return f.request(self.router["port"], method, "/v1/services/%s/reserve" % service, body, headers, 10)[0]

    def send(self, path, body, reads):
        connection = http.client.HTTPConnection("127.0.0.1", self.router["port"], timeout=10)
        try:
            connection.connect()
            if not reads:
                connection.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 16384)
            connection.request("POST", path, body, {"Authorization": "Bearer " + self.fleet.key("team-0")})
            if not reads:
                self.end.wait(PLAY_S)
            response = connection.getresponse()
            with self.lock:
                self.statuses[response.status] = self.statuses.get(response.status, 0) + 1
            while not self.end.is_set() and response.read(65536):
                pass
        finally:
            connection.close()

    def call_faulty(self, path, body, reads):
        while not self.end.is_set():
            try:
                self.send(path, body, reads)
            except (OSError, http.client.HTTPException):
                pass
            self.end.wait(0.02)

    def call_sound(self):
        while not self.end.is_set():
            try:
                status = self.call("sound", "GET")
            except (OSError, http.client.HTTPException):
                status = 0
            with self.lock:
                self.asked += 1
                self.served += status == 200
            self.end.wait(0.02)

    def play(self, path, body, callers, reads=True):
        threads = [threading.Thread(target=self.call_faulty, args=(path, body, reads), daemon=True)
                   for _ in range(callers)]
        threads += [threading.Thread(target=self.call_sound, daemon=True) for _ in range(4)]
        for thread in threads:
            thread.start()
        self.end.wait(PLAY_S)
        f.wait_for(lambda: self.asked >= MIN_SOUND_CALLS, "calls of the sound service", 10)
        self.peak_mib = f.peak_mib(self.router["process"].popen.pid)
        self.runs = self.router["process"].popen.poll() is None
        self.end.set()

    def result(self):
        return "peak %.0f MiB, %d of %d served, others got %s" % (self.peak_mib, self.served, self.asked, self.statuses)

    def check(self):
        check(self.runs, self.result())
        check(self.peak_mib <= REST_MIB + MEMORY_MB / 4, self.result())
        check(self.served >= 0.99 * self.asked, self.result())


CHAT, SERVICE, SOUND = "/v1/chat/completions", "/v1/services/booking/reserve", "/v1/services/sound/reserve"
STREAM = json.dumps(f.chat_body("tag")).encode()
WHOLE = json.dumps(f.chat_body("tag", stream=False)).encode()
VALUES_CHAT = b'{"model":"kit-7b","messages":[%s]}' % b",".join([b"{}"] * 300000)
UPLOAD = b"x" * UPLOAD_BYTES


# Rows: kind, path, body, callers, whether they read.
@table([("fields_service", "fields", SERVICE, b"x", 6, True),
        ("fields_chat", "fields", CHAT, STREAM, 100, True),
        ("body", "body", SERVICE, b"x", 100, True),
        ("large_answer_wait", "large_answer", SERVICE, b"x", 100, False),
        ("allowed_answer", "allowed_answer", SERVICE, b"x", 100, True),
        ("events_whole", "events", CHAT, WHOLE, 6, True),
        ("events_of_many_values", "event_values", CHAT, WHOLE, 100, True),
        ("events_read", "events", CHAT, STREAM, 100, True),
        ("events_wait", "events", CHAT, STREAM, 100, False),
        ("report", "report", SERVICE, b"x", 6, True),
        ("uploads", "uploads", SERVICE, UPLOAD, 120, True),
        ("chats_of_many_values", "uploads", CHAT, VALUES_CHAT, 6, True)])
@own_process
def test_peers_without_end_leave_a_router_of_the_own_interface_its_memory(kind, path, body, callers, reads):
    with Pressure(kind) as pressure:
        pressure.play(path, body, callers, reads)
        pressure.check()


def test_an_upload_for_which_the_own_interface_has_no_memory_is_refused_and_has_not_run():
    with Pressure("uploads") as pressure:
        connections = [http.client.HTTPConnection("127.0.0.1", pressure.router["port"], timeout=10) for _ in range(40)]
        fields = {"Authorization": "Bearer " + pressure.fleet.key("team-0"), "Content-Length": str(UPLOAD_BYTES)}
        for connection in connections:
            connection.putrequest("POST", SOUND)
            for name, value in fields.items():
                connection.putheader(name, value)
            connection.endheaders(b"x" * 1000)
        def is_refused():
            status, headers, _ = f.request(pressure.router["port"], "POST", SOUND, UPLOAD, fields)
            return status == 503 and float(headers["Retry-After"]) > 0 and headers["X-Outcome"] == "not_run"
        f.wait_for(is_refused, "a refusal", 3)
        check(pressure.call("sound", "GET") == 200)
        check(pressure.fleet.counter("memory_refusals_total") > 0)
        for connection in connections:
            connection.close()
        f.wait_for(lambda: pressure.call("sound", "POST", UPLOAD) == 200, "the memory to be free", 5)


def test_a_whole_chat_for_which_there_is_no_memory_fails_and_may_have_run():
    with Pressure("events") as pressure:
        status, headers, text = f.request(pressure.router["port"], "POST", CHAT, WHOLE,
                                          {"Authorization": "Bearer " + pressure.fleet.key("team-0")}, 20)
        error = json.loads(text)["error"]
        check((status, headers["X-Outcome"], error["step"]) == (504, "unknown", "memory"), status, text[:300])
        check(pressure.call("sound", "GET") == 200)


def test_a_stream_of_comments_is_ended_at_the_own_interface():
    with Pressure("comments") as pressure:
        start = time.monotonic()
        status, headers, _ = f.request(pressure.router["port"], "POST", CHAT, STREAM,
                                       {"Authorization": "Bearer " + pressure.fleet.key("team-0")})
        took_s = time.monotonic() - start
        check((status, headers["X-Outcome"]) == (504, "unknown") and took_s < 1, status, took_s)


VALUES = b"[" + b",".join([b"{}"] * 2700000) + b"]"
# Prints the highest resident memory in MiB of the program that it runs.
PEAK_OF_CHILD = """import resource, subprocess, sys
code = subprocess.run(sys.argv[1:], stdout=subprocess.DEVNULL).returncode
print(code, resource.getrusage(resource.RUSAGE_CHILDREN).ru_maxrss // 1024)"""


@table([("fields", b"HTTP/1.1 200 X\r\n", b"Field: x\r\n" * 6000, "too long"),
        ("interim", b"", b"HTTP/1.1 100 X\r\n\r\n" * 3000, "too long"),
        ("body", b"HTTP/1.1 200 X\r\n\r\n", BLOCK, "too long"),
        ("chunks", b"HTTP/1.1 200 X\r\n" + CHUNKED.encode(), chunk(BLOCK), "too long"),
        ("large_length", b"HTTP/1.1 200 X\r\nContent-Length: 900000000000\r\n\r\n", BLOCK, "too long"),
        ("values", b"HTTP/1.1 200 X\r\nContent-Length: %d\r\n\r\n" % len(VALUES), VALUES, "too many values")])
def test_a_router_that_sends_without_end_ends_limpetctl_with_a_message(start, block, message):
    def respond(connection):
        Message(connection.makefile("rb"))
        connection.sendall(start)
        while True:
            connection.sendall(block)
    listener = Listener(respond)
    result = subprocess.run([sys.executable, "-S", "-c", PEAK_OF_CHILD, f.program("limpetctl"), "--router",
                             "http://127.0.0.1:%d" % listener.port, "dump"], capture_output=True, text=True)
    listener.close()
    code, peak = [int(text) for text in result.stdout.split()]
    check(code != 0 and peak <= MAX_CTL_MIB, code, peak, result.stderr)
    check("the response " in result.stderr and message in result.stderr, result.stderr)
