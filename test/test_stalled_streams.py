"""Streams of engines that are slow but sound, and of engines that send a byte now and then."""

import threading
import time

import fleet as f
from platform_fake import Listener, Message, Platform, chunk, event, route
from run_all import table
from test_chats import DONE, token_events
from test_platform import check

TOKENS = 30
HEAD = ("HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nContent-Type: text/event-stream\r\n"
        "Transfer-Encoding: chunked\r\n\r\n")
TRICKLES = {"comments": b": x\n\n", "spaces": b" ", "half_event": b"data: "}
GAP_S = 2.6          # longer than a silent stream is waited for at first


class Engines:
    """A router of the own interface and engines of which each answers as respond(send, first)
    does: send writes events, first is the number of the first token that is due."""

    def __init__(self, *respond, deadline_ms=4000):
        self.fleet = f.Fleet(routers=1, engines=0, services=0,
                             fleet={"default_deadline_ms": deadline_ms})
        for index, function in enumerate(respond):
            port = Listener(lambda c, function=function: self.serve(c, function)).port
            self.fleet.add_target(self.fleet.engines, "e%02d" % index, port, slots=32)

    def __enter__(self):
        self.fleet.__enter__()
        self.fleet.publish_vms()
        self.fleet.start()
        log = self.fleet.routers[0]["process"].log_text
        f.wait_for(lambda: log().count("joined") == len(self.fleet.engines), "the targets", 5)
        return self

    def __exit__(self, *error):
        self.fleet.__exit__(*error)

    @staticmethod
    def serve(connection, respond):
        message = Message(connection.makefile("rb"))
        connection.sendall((HEAD % message.fields.get("x-attempt-id", "")).encode())
        respond(lambda data: connection.sendall(chunk(data)),
                int(message.fields.get("last-event-id", "-1")) + 1)
        connection.sendall(b"0\r\n\r\n")

    def chat(self):
        """Returns the response and how long it took."""
        router = self.fleet.routers[0]
        started = time.monotonic()
        response = f.chat(router["port"], self.fleet.key("team-0"), "tag", TOKENS)
        return response, time.monotonic() - started


def sound(send, first):
    send(token_events("tag", first, TOKENS - 1) + DONE)


def slow(send, first):
    for number in range(first, TOKENS):
        if number >= TOKENS - 3:
            time.sleep(GAP_S)
        send(token_events("tag", number, number))
    send(DONE)


def trickling(data):
    def respond(send, first):
        if first == 0:
            send(token_events("tag", 0, 9))
        while True:
            send(data)
            time.sleep(0.3)
    return respond


def test_slow_but_sound_streams_are_not_cut():
    with Engines(slow, slow, slow) as engines:
        response, _ = engines.chat()
        check(response.is_complete("tag", TOKENS), response.tokens, response.error)


def waiting(send, first):
    for _ in range(7):
        send(b": waiting\n\n")
        time.sleep(1)
    sound(send, first)


def test_a_stream_that_waits_for_its_first_token_is_not_cut():
    """An engine sends comments while a request waits; the deadline of the chat bounds that."""
    with Engines(waiting, waiting, deadline_ms=15000) as engines:
        response, took_s = engines.chat()
        check(response.is_complete("tag", TOKENS), response.tokens, response.error)
        check(took_s < 10, took_s)


@table([(name, data) for name, data in TRICKLES.items()])
def test_a_stream_that_sends_a_byte_now_and_then_goes_on_elsewhere(data):
    with Engines(trickling(data), sound) as engines:
        for _ in range(4):
            response, took_s = engines.chat()
            check(response.is_complete("tag", TOKENS), response.tokens, response.error)
            check(took_s < 8, took_s)


def test_a_stream_that_sends_a_byte_now_and_then_ends():
    with Engines(*[trickling(TRICKLES["comments"])] * 3) as engines:
        results = []
        thread = threading.Thread(target=lambda: results.append(engines.chat()), daemon=True)
        thread.start()
        thread.join(50)
        check(results and not results[0][0].is_complete("tag", TOKENS), results)
        check(results[0][0].error is not None)


@table([("stream", "/stream/"), ("resume", "/resume/")])
def test_a_slow_stream_on_the_platform_is_not_cut(path):
    def respond(server, message, connection):
        connection.sendall(server.head(message, 200, "Content-Type: text/event-stream\r\n"
                                       "Transfer-Encoding: chunked\r\n\r\n"))
        for number in range(1, 4):
            connection.sendall(chunk(event(number)))
            time.sleep(GAP_S)
        connection.sendall(b"0\r\n\r\n")
        return True

    routes = [route(name, "/%s/" % name, "streaming", "model", resumable=name == "resume",
                    timeout_ms=12000) for name in ("stream", "resume")]
    with Platform(routes=routes, start=False) as platform:
        platform.add_server("model", on_request=respond)
        platform.start()
        response = platform.call(path, "POST", body=b"x", fields=[("Deadline-Ms", "12000")])
        check(response.body == b"".join(event(number) for number in range(1, 4)), response.body)


@table([(name, data) for name, data in TRICKLES.items()])
def test_a_stalled_stream_on_the_platform_ends_at_its_time_limit(data):
    def respond(server, message, connection):
        connection.sendall(server.head(message, 200, "Content-Type: text/event-stream\r\n"
                                       "Transfer-Encoding: chunked\r\n\r\n") + chunk(event(1)))
        while True:
            connection.sendall(chunk(data))
            time.sleep(0.1)

    routes = [route("stream", "/stream/", "streaming", "model", timeout_ms=1500)]
    with Platform(routes=routes, start=False) as platform:
        platform.add_server("model", on_request=respond)
        platform.start()
        started = time.monotonic()
        try:
            response = platform.call("/stream/", "POST", body=b"x")
            check(False, response.status, "an unfinished stream looks complete")
        except (OSError, ValueError):
            pass
        check(time.monotonic() - started < 2.0, time.monotonic() - started)
