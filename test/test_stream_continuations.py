"""Streams that break off and go on at another server, whose response may not continue them."""

import gzip
import socket

from platform_fake import Client, Message, Platform, break_off, chunk, event, route
from run_all import table
from test_platform import check, stream_events

FIRST = 6   # events before the stream breaks off
MIDDLE = 9  # event after which its second server crashes
LAST = 12   # events of the whole stream
ERROR = b'{"error":"bad"}'
ERROR_EVENT = b"event: error\ndata: error\n\n"
EVENTS = "Content-Type: text/event-stream\r\n"
JSON = "Content-Type: application/json\r\n"
REST = b"".join(event(n) for n in range(FIRST + 1, LAST + 1))


# Returns the rest of a response: header lines and body, with its length.
def sized(fields, body):
    return fields + "Content-Length: %d\r\n\r\n" % len(body), body


# Returns the rest of a response: header lines and body, in one chunk unless it is empty.
def chunked(fields, body):
    return fields + "Transfer-Encoding: chunked\r\n\r\n", (chunk(body) if body else b"") \
        + b"0\r\n\r\n"


# Responses with status 200 that do not continue a stream after its event FIRST.
NO_CONTINUATION = [
    ("json", sized(JSON, ERROR)),
    ("json_chunked", chunked(JSON, ERROR)),
    ("json_with_events", chunked(JSON, REST)),
    ("no_type", sized("", ERROR)),
    ("empty", sized("", b"")),
    ("empty_events", sized(EVENTS, b"")),
    ("no_events", chunked(EVENTS, b"")),
    ("text_as_events", chunked(EVENTS, ERROR)),
    ("event_without_id", chunked(EVENTS, ERROR_EVENT)),
    ("comment_and_event_without_id", chunked(EVENTS, b": wait\n\n" + ERROR_EVENT)),
    ("repeated_event", chunked(EVENTS, event(FIRST) + REST)),
    ("from_the_start", chunked(EVENTS, b"".join(event(n) for n in range(1, LAST + 1)))),
    ("event_left_out", chunked(EVENTS, b"".join(event(n) for n in range(FIRST + 2, LAST + 1)))),
    ("not_a_number", chunked(EVENTS, b"id: x7\ndata: piece 7\n\n")),
    ("compressed", sized(EVENTS + "Content-Encoding: gzip\r\n", gzip.compress(REST))),
    ("compressed_as_named", sized(EVENTS + "Content-Encoding: gzip\r\n", REST)),
]


class BrokenStream:
    """A router and servers; a stream breaks off after the event FIRST.

    The next server sends the given response; sound: further servers continue the stream."""

    def __init__(self, response, sound):
        self.response = response
        self.sound = sound
        self.continuations = 0  # requests that continue the stream
        self.platform = Platform(routes=[route("resume", "/resume/", "streaming", "model",
                                               resumable=True, max_attempts=3)], start=False)

    def __enter__(self):
        for _ in range(4):
            self.platform.add_server("model", on_request=self.on_request)
        self.platform.start()
        return self

    def __exit__(self, *error):
        self.platform.__exit__(*error)

    def on_request(self, server, message, connection):
        if "last-event-id" not in message.fields:
            stream_events(server, connection, message, 1, FIRST, end=False)
            break_off(connection)
        self.continuations += 1
        check(message.fields["last-event-id"] == str(FIRST), message.fields)
        if self.sound and self.continuations > 1:
            stream_events(server, connection, message, FIRST + 1, LAST)
        else:
            fields, body = self.response
            connection.sendall(server.head(message, 200, fields) + body)
        return True

    def read(self):
        """Starts a stream; returns the body that arrives, and whether it is complete."""
        with self.platform.client() as client:
            client.send("/resume/", "POST", body=b"p")
            return read_stream(client)


def read_stream(client):
    """Reads a chunked response; returns its body, and whether its last chunk arrived."""
    body = b""
    while client.file.readline() != b"\r\n":
        pass
    while True:
        try:
            size = client.file.readline()
            if not size.strip():
                return body, False
            data = client.file.read(int(size, 16))
            client.file.readline()
        except OSError:
            return body, False
        if not data:
            return body, True
        body += data


@table(NO_CONTINUATION)
def test_a_response_that_is_no_continuation_does_not_reach_the_caller(response):
    with BrokenStream(response, sound=False) as stream:
        body, is_complete = stream.read()
        check(body == b"".join(event(n) for n in range(1, FIRST + 1)), body)
        check(not is_complete)


@table(NO_CONTINUATION)
def test_a_stream_goes_on_at_another_server_after_a_response_that_is_no_continuation(response):
    with BrokenStream(response, sound=True) as stream:
        body, is_complete = stream.read()
        check(body == b"".join(event(n) for n in range(1, LAST + 1)), body)
        check(is_complete)
        check(stream.continuations == 2, stream.continuations)


@table([("type_with_parameter", "Content-Type: Text/Event-Stream; charset=utf-8\r\n", REST),
        ("no_type", "", REST),
        ("not_encoded", EVENTS + "Content-Encoding: identity\r\n", REST),
        ("comment_first", EVENTS, b": wait\n\n" + REST)])
def test_a_continuation_is_recognised(fields, body):
    with BrokenStream(chunked(fields, body), sound=False) as stream:
        received, is_complete = stream.read()
        check(received == b"".join(event(n) for n in range(1, FIRST + 1)) + body, received)
        check(is_complete and stream.continuations == 1, stream.continuations)


@table([("repeated_event", event(FIRST) + REST, 2), ("event_without_id", ERROR_EVENT, 2),
        ("later_event", event(FIRST + 3), 1), ("complete_stream", b"", 1)])
def test_a_stream_that_the_caller_resumes_does_not_repeat_events(body, expected_sends):
    """The router does not know which ids the caller has: any later id continues the stream."""
    response = chunked(EVENTS, body)
    with BrokenStream(response, sound=True) as stream:
        with Client(stream.platform.routers[0]) as client:
            client.send("/resume/", "POST", body=b"p", fields=[("Last-Event-Id", str(FIRST))])
            received = Message(client.file).body
        check(received == (body if expected_sends == 1 else REST), received)
        check(stream.continuations == expected_sends, stream.continuations)


@table([("attempt_left", 3, LAST), ("no_attempt_left", 2, MIDDLE)])
def test_a_continuation_that_only_the_close_ends_gets_no_last_chunk(max_attempts, last):
    """Guards against a stream that looked complete although its last server had crashed after an event."""
    firsts = []

    def on_request(server, message, connection):
        first = int(message.fields.get("last-event-id", 0)) + 1
        firsts.append(first)
        if first == 1:
            stream_events(server, connection, message, first, FIRST, end=False)
            break_off(connection)
        if first == FIRST + 1:
            connection.sendall(server.head(message, 200, EVENTS + "\r\n"))
            connection.sendall(b"".join(event(n) for n in range(first, MIDDLE + 1)))
            connection.shutdown(socket.SHUT_WR)  # as the kernel does for a process that is killed
            raise OSError("crashed")
        stream_events(server, connection, message, first, LAST)
        return True

    with Platform(routes=[route("resume", "/resume/", "streaming", "model", resumable=True,
                                max_attempts=max_attempts)], start=False) as platform:
        for _ in range(4):
            platform.add_server("model", on_request=on_request)
        platform.start()
        with platform.client() as client:
            client.send("/resume/", "POST", body=b"p")
            body, is_complete = read_stream(client)
    check(body == b"".join(event(n) for n in range(1, last + 1)), body, firsts)
    check(is_complete == (last == LAST) and len(firsts) == max_attempts, is_complete, firsts)


def test_a_stream_whose_events_have_no_ids_does_not_start_again():
    def on_request(server, message, connection):
        server.ran.append(1)
        connection.sendall(server.head(message, 200, EVENTS + "Transfer-Encoding: chunked\r\n\r\n")
                           + chunk(b"data: one\n\n"))
        break_off(connection)

    with Platform(start=False) as platform:
        servers = [platform.add_server("model", on_request=on_request) for _ in range(3)]
        platform.start()
        with platform.client() as client:
            client.send("/resume/", "POST", body=b"p")
            check(read_stream(client) == (b"data: one\n\n", False))
        check(sum(len(server.ran) for server in servers) == 1)


def test_a_compressed_stream_is_not_passed_on():
    """The server's bytes are those without an encoding."""
    def on_request(server, message, connection):
        fields, body = chunked(EVENTS + "Content-Encoding: gzip\r\n", REST)
        connection.sendall(server.head(message, 200, fields) + body)
        return True

    with Platform(start=False) as platform:
        platform.add_server("model", on_request=on_request)
        platform.start()
        check(platform.call("/stream/", "POST", body=b"p").status == 502)
