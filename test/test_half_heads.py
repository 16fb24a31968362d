"""A server stops in the middle of the head of its response. The caller must not get a success."""

import concurrent.futures

import fleet as f
from platform_fake import Listener, Message, Platform, chunk, event, reset, route
from run_all import table
from test_platform import check

BODY = b"0123456789"
EVENTS = b"".join(event(number) for number in range(1, 4))
FRAMINGS = {"length": "Content-Length: %d\r\n" % len(BODY), "chunks": "Transfer-Encoding: chunked\r\n",
            "close": "Connection: close\r\n"}
KINDS = ("/safe/1", "/unsafe/1", "/stream/1", "/resume/1")


# Sends the first bytes of a response and ends the connection.
def send_part(connection, data, size, how):
    connection.sendall(data[:size])
    if how == "reset":
        reset(connection)
    raise OSError("stopped in its head")


class HalfHeads:
    """A router and servers of both services, of which the first ones stop after so many bytes of the head as
    the body of the request says; has_sound adds one of each that responds as it should."""

    def __init__(self, how, framing, has_sound):
        self.how = how
        self.framing = framing
        self.sound = set()
        self.platform = Platform(start=False, routes=[
            route("safe", "/safe/", "safe", "plain"), route("unsafe", "/unsafe/", "unsafe", "plain"),
            route("stream", "/stream/", "streaming", "model"),
            route("resume", "/resume/", "streaming", "model", resumable=True)])
        for service in ("plain", "model"):
            self.platform.add_server(service, on_request=self.on_request, slots=99)
            if has_sound:
                self.sound.add(self.platform.add_server(service, on_request=self.on_request, slots=99).id)
        self.platform.start()

    def __enter__(self):
        return self

    def __exit__(self, *error):
        self.platform.__exit__(*error)

    def response_head(self, server, message):
        kind = "Content-Type: text/event-stream\r\n" if server.service == "model" else ""
        return server.head(message, 200, kind + FRAMINGS[self.framing] + "\r\n")

    def on_request(self, server, message, connection):
        head = self.response_head(server, message)
        if server.id not in self.sound:
            send_part(connection, head, int(message.body), self.how)
        body = EVENTS if server.service == "model" else BODY
        if server.service == "model" and self.framing == "length":
            head = head.replace(b"Content-Length: 10", b"Content-Length: %d" % len(EVENTS))
        connection.sendall(head + (chunk(body) + b"0\r\n\r\n" if self.framing == "chunks" else body))
        if self.framing == "close":
            raise OSError("the response ends with its connection")
        return True

    # Sends a request; returns (status or "closed", body) of the response.
    def request(self, path, size):
        try:
            with self.platform.client() as client:
                response = client.call(path, "POST", body=b"%d" % size)
                if not {"content-length", "transfer-encoding"} & set(response.fields):
                    response.body = client.file.read()
                return response.status, response.body
        except OSError:
            return "closed", b""


@table([("%s_%s_%s" % (how, framing, "beside_a_sound_one" if has_sound else "alone"), how, framing, has_sound)
        for how in ("close", "reset") for framing in FRAMINGS for has_sound in (False, True)])
def test_half_a_head_is_no_success(how, framing, has_sound):
    with HalfHeads(how, framing, has_sound) as servers:
        message = type("", (), {"fields": {"request-id": "0" * 16}})
        plain = servers.platform.servers[0]
        size = len(servers.response_head(plain, message))
        cases = [(path, cut) for path in KINDS for cut in range(1, size)]
        with concurrent.futures.ThreadPoolExecutor(8) as pool:
            results = list(pool.map(lambda case: servers.request(*case), cases))
        for (path, cut), (status, body) in zip(cases, results):
            whole = EVENTS if path in KINDS[2:] else BODY
            check(status != 200 or (has_sound and body == whole), path, cut, status, body)
        succeeded = sum(status == 200 for status, _ in results)
        check(succeeded == 0 or has_sound and succeeded > len(cases) / 4, succeeded, len(cases))


class HalfHeadTargets:
    """Stands in for an engine or a plain service of the own interface.

    cut: bytes of the head that are sent; cut_requests: number of responses that were cut."""

    def __init__(self):
        self.cut = 1
        self.cut_requests = 0
        self.how = "close"
        self.listener = Listener(self.serve)

    def head(self, attempt_id):
        return ("HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nContent-Type: text/event-stream\r\n"
                "Connection: close\r\n\r\n" % attempt_id).encode()

    def serve(self, connection):
        file = connection.makefile("rb")
        while True:
            message = Message(file)
            if "x-attempt-id" not in message.fields:
                body = b'{"inflight":0,"queued":0,"slots":16}'   # load reports
                connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
                continue
            self.cut_requests += 1
            send_part(connection, self.head(message.fields["x-attempt-id"]), self.cut, self.how)


@table([("service_close", "service", "close"), ("service_reset", "service", "reset"),
        ("engine_close", "engine", "close"), ("engine_reset", "engine", "reset")])
def test_half_a_head_is_no_success_at_the_own_interface(kind, how):
    targets = HalfHeadTargets()
    targets.how = how
    entry = {"id": "h0", "port": targets.listener.port, "leaving": False, "incarnation": 1, "slots": 16}
    with f.Fleet(routers=1, engines=1, services=1) as fleet:
        (fleet.engines if kind == "engine" else fleet.services)[:] = [entry]
        fleet.publish_vms()
        f.wait_for(lambda: '"h0"' in f.request(fleet.vms_port, "GET", "/vms")[2], "the VM list to show it")
        fleet.start()
        headers = {"Authorization": "Bearer " + fleet.key("team-0")}
        for cut in range(1, len(targets.head("0" * 32)), 3):
            targets.cut = cut
            if kind == "engine":
                status, _, body = f.request(fleet.routers[0]["port"], "POST", "/v1/chat/completions",
                                            f.chat_body("a", 5, stream=cut % 2 == 0), headers)
            else:
                order = f.order(fleet.routers[0]["port"], fleet.key("team-0"), f.order_key(), deadline_ms=800)
                status, body = order.status, order.body
            check(status != 200, kind, cut, status, body)
        check(targets.cut_requests > 20, targets.cut_requests)
    targets.listener.close()
