"""Routers on the users' platform, against stand-ins for its store, servers and clients."""

import signal
import socket
import threading
import time

import fleet as f
from platform_fake import Message, ROUTES, World, chunk, event, reset, route
from run_all import table


def check(condition, *told):
    if not condition:
        raise AssertionError(told)


def stream_events(server, connection, message, first, last, end=True):
    connection.sendall(server.head(message, 200, "Content-Type: text/event-stream\r\n"
                                   "Transfer-Encoding: chunked\r\n\r\n"))
    for number in range(first, last + 1):
        connection.sendall(chunk(event(number)))
        time.sleep(0.002)
    if end:
        connection.sendall(b"0\r\n\r\n")


def test_the_quiet_path():
    with World(start=False) as world:
        plain, engine = world.add_server(), world.add_server("model")
        engine.behave = lambda s, m, c: stream_events(s, c, m, 1, 5) or True
        world.start()
        with world.client() as client:
            for path, method, body in (("/safe/a?b=c", "GET", None), ("/unsafe/x", "POST", b"12"),
                                       ("/open/y", "GET", None)):
                answer = client.call(path, method, body=body,
                                     fields=[("Tenant", "mine"), ("X-Own", "kept")])
                check(answer.status == 200 and answer.body == b"done", answer.line)
                check(answer.fields["response-seal"] == "seal-" + plain.id)
                sent = plain.seen[-1]
                check(sent.line == "%s %s HTTP/1.1\r\n" % (method, path), sent.line)
                check(sent.body == (body or b""), sent.body)
                check(sent.fields["tenant"] == "team-1", sent.fields)
                check("authorization" not in sent.fields, sent.fields)
                check(sent.fields["x-own"] == "kept")
                check(sent.fields["expect-instance"] == plain.id)
                check(0 < int(sent.fields["deadline-ms"]) <= 5000)
            answer = client.call("/stream/z", "POST", body=b"p",
                                 fields=[("Prompt-Prefix", "aa:100,bb:9")])
            check(answer.body == b"".join(event(n) for n in range(1, 6)), answer.body)
        check(world.call("/none/").status == 404)
        check(world.call("/safe/", key="other").status == 401)
        check(world.call("/safe/", key=None).status == 401)
        check(world.call("/open/", key=None).status == 200)


@table([("503", 503, "", 502, 1), ("429", 429, "", 502, 1),
        ("503_not_run", 503, "Not-Executed: 1\r\n", 503, 1),
        ("500", 500, "", 500, 1), ("400", 400, "", 400, 1)])
def test_failures_of_an_unsafe_call(status, extra, expected, runs):
    """Only a server's own word proves that a call did not run."""
    def behave(server, message, connection):
        server.ran.append(message.fields["request-id"])
        connection.sendall(server.head(message, status, extra + "Content-Length: 0\r\n\r\n"))
        return True

    routes = [route("unsafe", "/unsafe/", "unsafe", "plain", max_attempts=1)]
    with World(routes=routes, start=False) as world:
        server = world.add_server(behave=behave)
        world.start()
        answer = world.call("/unsafe/", "POST", body=b"")
        check(answer.status == expected, answer.line)
        check(len(server.ran) == runs, server.ran)
        check(("retry-after" in answer.fields) == (expected == 503), answer.fields)


@table([("reset", "reset"), ("close", "close"), ("half", "half"), ("other_id", "other"),
        ("no_seal", "no_seal"), ("encoded", "encoded"), ("garbage", "garbage")])
def test_a_broken_answer(how):
    """An unsafe call is sent once and its outcome told as unknown; a safe one is repeated."""
    def behave(server, message, connection):
        server.ran.append(message.fields["request-id"])
        if len(server.ran) > 1 and message.line.startswith("GET"):
            server.reply(connection, message)
            return True
        if how == "reset":
            reset(connection)
        elif how == "half":
            connection.sendall(server.head(message, 200, "Content-Length: 9\r\n\r\n") + b"ab")
        elif how == "other":
            connection.sendall(b"HTTP/1.1 200 X\r\nRequest-Id: else\r\nResponse-Seal: s\r\n"
                               b"Content-Length: 1\r\n\r\nx")
        elif how == "no_seal":
            connection.sendall(b"HTTP/1.1 200 X\r\nContent-Length: 1\r\n\r\nx")
        elif how == "encoded":
            connection.sendall(server.head(message, 200, "Content-Encoding: gzip\r\n"
                                           "Content-Length: 1\r\n\r\n") + b"x")
        elif how == "garbage":
            connection.sendall(b"\x00\x01not http\r\n\r\n")
        raise OSError("closed")

    with World(start=False) as world:
        servers = [world.add_server(behave=behave), world.add_server(behave=behave)]
        world.start()
        answer = world.call("/unsafe/", "POST", body=b"")
        check(answer.status == 502 and "response-seal" not in answer.fields, answer.line)
        check(sum(len(s.ran) for s in servers) == 1)
        for server in servers:
            server.ran = ["earlier"] if server.ran else []
        answer = world.call("/safe/")
        check(answer.status == 200 and answer.body == b"done", answer.line)


def test_a_reset_of_an_idle_connection():
    """The call on it may have run for all the router knows: it is not sent again."""
    with World(start=False) as world:
        server = world.add_server()
        world.start()
        check(world.call("/unsafe/", "POST", body=b"").status == 200)
        for connection in server.listener.connections:
            try:
                reset(connection)
            except OSError:
                pass
        answer = world.call("/unsafe/", "POST", body=b"")
        check(answer.status in (200, 502), answer.line)
        check(len(server.ran) <= 2, server.ran)


def test_an_answer_before_the_body_is_read():
    """The rest of the body goes to the server that answered early, and nothing else."""
    rest = []

    def behave(server, message, connection):
        return False

    def early(connection):
        got = connection.recv(200)
        server.ran.append("early")
        request_id = got.split(b"Request-Id: ")[1].split(b"\r\n")[0]
        connection.sendall(b"HTTP/1.1 200 X\r\nRequest-Id: " + request_id
                           + b"\r\nResponse-Seal: s\r\nContent-Length: 2\r\n\r\nok")
        connection.settimeout(1)
        while True:
            try:
                part = connection.recv(65536)
            except OSError:
                break
            if not part:
                break
            got += part
        rest.append(got)

    with World(start=False) as world:
        server = world.add_server(behave=behave)
        server.listener.handle = early
        world.start()
        body = b"0123456789" * 9000
        answer = world.call("/unsafe/", "POST", body=body)
        check(answer.status == 200 and answer.body == b"ok", answer.line)
        f.wait_for(lambda: rest, "the rest of the body")
        check(rest[0].split(b"\r\n\r\n", 1)[1] == body, len(rest[0]))


def test_bytes_after_an_answer_belong_to_nobody():
    def behave(server, message, connection):
        server.ran.append(message.fields["request-id"])
        connection.sendall(server.head(message, 200, "Content-Length: 2\r\n\r\n") + b"ok"
                           + b"HTTP/1.1 200 X\r\nResponse-Seal: x\r\nContent-Length: 3\r\n\r\nbad")
        return True

    with World(start=False) as world:
        world.add_server(behave=behave)
        world.start()
        with world.client() as client:
            for _ in range(5):
                check(client.call("/unsafe/", "POST", body=b"").body == b"ok")


@table([("closed", False), ("reset", True)])
def test_an_answer_without_a_length(by_reset):
    """It is passed on without one: no length of ours claims that it is whole."""
    def behave(server, message, connection):
        connection.sendall(server.head(message, 200, "\r\n") + b"part")
        if by_reset:
            time.sleep(0.1)
            reset(connection)
        raise OSError("closed")

    with World(start=False) as world:
        world.add_server(behave=behave)
        world.start()
        with world.client() as client:
            client.send("/unsafe/", "POST", body=b"")
            answer = client.read()
            if by_reset:
                check(answer.status == 502, answer.line)
            else:
                check(answer.status == 200 and "content-length" not in answer.fields,
                      answer.fields)
                check(client.file.read() == b"part")


@table([("safe", "/safe/", True), ("stream", "/stream/", True), ("unsafe", "/unsafe/", False)])
def test_a_caller_that_leaves(path, cancels):
    """Work that may be repeated and streams end within half a second; the rest runs on."""
    def behave(server, message, connection):
        server.ran.append(message.fields["request-id"])
        if path == "/stream/":
            stream_events(server, connection, message, 1, 3, end=False)
        server.wait_closed(connection, message, 1.5)
        return True

    with World(start=False) as world:
        server = world.add_server("model" if path == "/stream/" else "plain", behave=behave)
        world.start()
        client = world.client()
        client.send(path, "POST", body=b"")
        f.wait_for(lambda: server.ran, "the call to run")
        left = time.monotonic()
        client.close()
        time.sleep(0.6)
        check(bool(server.closed) == cancels, server.closed)
        check(not cancels or server.closed[0][1] - left < 0.5)


@table([("draining", False), ("removed", True)])
def test_a_server_that_leaves(removed):
    """It gets nothing new 2 s after the store knows; late entries do not bring it back."""
    with World(start=False) as world:
        leaving, staying = world.add_server(), world.add_server()
        world.start()
        leaving.remove() if removed else leaving.write("draining")
        if not removed:
            leaving.write("ready", sequence=1)
        time.sleep(2)
        count = len(leaving.seen)
        for _ in range(20):
            check(world.call("/safe/").status == 200)
        check(len(leaving.seen) == count, len(leaving.seen), count)
        check(len(staying.ran) >= 20)


def test_the_store_is_down_at_the_start():
    """Not ready, and 503 rather than 404 or 401, until a configuration is known."""
    with World(start=False) as world:
        world.add_server()
        world.store.mode = "busy"
        router = world.add_router(wait=False)
        f.wait_for(lambda: "step=start" in world.log(), "the start")
        time.sleep(0.3)
        check(not world.is_ready(router))
        answer = world.call("/safe/")
        check(answer.status == 503 and float(answer.fields["retry-after"]) > 0, answer.line)
        world.store.mode = "ok"
        f.wait_for(lambda: world.is_ready(router), "ready after the store is back")
        check(world.call("/safe/").status == 200)


@table([("busy", "busy"), ("silent", "silent"), ("reset", "reset")])
def test_the_store_goes_down_later(mode):
    """Requests go on; what changed meanwhile is in force soon after the store is back."""
    with World(start=False) as world:
        world.add_server()
        world.start()
        world.store.mode = mode
        for _ in range(15):
            check(world.call("/safe/").status == 200)
            time.sleep(0.1)
        world.configure(ROUTES + [route("new", "/new/", "safe", "plain")])
        world.store.mode = "ok"
        back = time.monotonic()
        f.wait_for(lambda: world.call("/new/").status == 200, "the new route")
        check(time.monotonic() - back < 4, time.monotonic() - back)


def test_a_lost_answer_of_the_store():
    with World(start=False) as world:
        world.add_server()
        world.start()
        world.store.lose = 2
        time.sleep(1)
        world.configure(ROUTES + [route("new", "/new/", "safe", "plain")])
        f.wait_for(lambda: world.call("/new/").status == 200, "the new route", 5)


def test_a_forgotten_history():
    with World(start=False) as world:
        first = world.add_server()
        world.start()
        world.store.mode = "busy"
        time.sleep(0.2)
        world.configure(ROUTES + [route("new", "/new/", "safe", "plain")])
        second = world.add_server()
        first.remove()
        world.store.forget("keyed.op")
        world.store.forget("keyed.servers")
        world.store.mode = "ok"
        f.wait_for(lambda: world.call("/new/").status == 200, "the new route", 5)
        time.sleep(1.5)
        count = len(first.seen)
        for _ in range(10):
            check(world.call("/safe/").status == 200)
        check(len(first.seen) == count and second.ran)


def test_malformed_entries_name_no_server():
    with World(start=False) as world:
        server = world.add_server()
        for key, value in (("i-x", "\xff{"), ("i-y", {"service": 1}), ("i-z", "[]"),
                           ("i-w", {"service": "plain", "address": "nowhere", "state": "ready"})):
            world.store.put("keyed.servers", key, value)
        world.store.put("keyed.servers", "i-x", "again")
        world.start()
        for _ in range(10):
            check(world.call("/safe/").status == 200)
        check(len(server.ran) == 10)
        check(world.log().count("peer=i-x entry ignored") == 1, world.log())


def test_a_configuration_while_requests_run():
    """It is in force within 2 s; the request under way ends as it began; none reverts."""
    def behave(server, message, connection):
        if "slow" in message.line:
            time.sleep(1)
        return False

    with World(start=False) as world:
        world.add_server(behave=behave)
        world.start()
        with world.client() as client:
            client.send("/unsafe/slow", "POST", body=b"")
            time.sleep(0.1)
            world.configure([r for r in ROUTES if r["name"] != "unsafe"], keys=("key-2",))
            check(client.read().status == 200)
        time.sleep(1.2)
        check(world.call("/unsafe/", key="key-2").status == 404)
        check(world.call("/safe/").status == 401)
        check(world.call("/safe/", key="key-2").status == 200)
        world.store.put("keyed.op", "config", '{"version":1,"routes":[]}')
        time.sleep(1.5)
        check(world.call("/safe/", key="key-2").status == 200)


def test_a_planned_stop_under_load():
    """Not ready at once; what arrives until the balancer has noticed is served whole."""
    def behave(server, message, connection):
        time.sleep(0.05)
        return False

    with World(start=False) as world:
        for _ in range(2):
            world.add_server(behave=behave, slots=20)
        world.start()
        router = world.routers[0]
        stop = threading.Event()
        lost = []
        served = []

        def load():
            client = world.client()
            while not stop.is_set():
                try:
                    client.send("/unsafe/", "POST", body=b"x")
                    answer = client.read()
                except OSError:
                    if not stopped.is_set():
                        lost.append(client.id)
                    return
                (served if answer.status == 200 else lost).append(client.id)
                if answer.fields.get("connection") == "close":
                    client.close()
                    client = world.client()

        stopped = threading.Event()
        threads = [threading.Thread(target=load, daemon=True) for _ in range(8)]
        for thread in threads:
            thread.start()
        time.sleep(0.5)
        router["process"].signal(signal.SIGTERM)
        time.sleep(0.2)
        check(not world.is_ready(router))
        time.sleep(1.8)
        stopped.set()
        stop.set()
        for thread in threads:
            thread.join()
        check(not lost, lost)
        check(len(served) > 100, len(served))
        check(router["process"].popen.wait(8) == 0)


def test_settings_change_without_a_cut():
    with World(start=False) as world:
        world.add_server()
        world.start()
        with world.client() as client:
            check(client.call("/safe/").status == 200)
            with open(world.routers[0]["settings"], "a") as file:
                file.write("\n")
            f.wait_for(lambda: "step=reload peer=- cause=file" in world.log(), "the reload")
            world.routers[0]["process"].signal(signal.SIGHUP)
            f.wait_for(lambda: "cause=SIGHUP" in world.log(), "the second reload")
            with open(world.routers[0]["settings"], "w") as file:
                file.write("{broken")
            f.wait_for(lambda: "the old settings stay" in world.log(), "the refusal")
            check(client.call("/safe/").status == 200)


def test_a_stream_goes_on_at_another_server():
    """Events come once and in order, under the head of the first server."""
    def behave(server, message, connection):
        server.ran.append(message.fields.get("last-event-id"))
        if "last-event-id" in message.fields:
            first = int(message.fields["last-event-id"]) + 1
            stream_events(server, connection, message, first, 12)
            return True
        stream_events(server, connection, message, 1, 6, end=False)
        connection.sendall(b"20\r\nid: 7\nda")  # in the middle of an event
        time.sleep(0.05)
        reset(connection)
        raise OSError("closed")

    with World(start=False) as world:
        servers = [world.add_server("model", behave=behave) for _ in range(3)]
        world.start()
        answer = world.call("/resume/", "POST", body=b"p")
        check(answer.body == b"".join(event(n) for n in range(1, 13)), answer.body)
        first = [s for s in servers if s.ran == [None]][0]
        check(answer.fields["response-seal"] == "seal-" + first.id)
        check([s.ran for s in servers].count(["6"]) == 1, [s.ran for s in servers])


def test_a_stream_that_may_not_go_on_ends_visibly():
    def behave(server, message, connection):
        server.ran.append(1)
        stream_events(server, connection, message, 1, 3, end=False)
        time.sleep(0.05)
        reset(connection)
        raise OSError("closed")

    with World(start=False) as world:
        servers = [world.add_server("model", behave=behave) for _ in range(2)]
        world.start()
        with world.client() as client:
            client.send("/stream/", "POST", body=b"p")
            try:
                Message(client.file)
                raise AssertionError("the answer looks complete")
            except (OSError, ValueError):
                pass
        check(sum(len(s.ran) for s in servers) == 1)


def test_failures_that_are_not_in_a_row_rest_no_server():
    """Found on the booking service: every seventh answer of a sound server is a failure."""
    def behave(server, message, connection):
        server.ran.append(1)
        if len(server.ran) % 3 == 0:
            server.reply(connection, message, b"failed", 500)
            return True
        return False

    with World(start=False) as world:
        servers = [world.add_server(behave=behave) for _ in range(2)]
        world.start()
        with world.client() as client:
            for _ in range(60):
                check(client.call("/unsafe/", "POST", body=b"").status in (200, 500))
                check(world.metric("limpetroad_target_open") == 2)
        check(all(len(s.ran) > 15 for s in servers), [len(s.ran) for s in servers])


def test_a_timeout_gets_its_final_answer():
    def behave(server, message, connection):
        server.ran.append(1)
        time.sleep(2)
        return True

    with World(start=False) as world:
        server = world.add_server(behave=behave)
        world.start()
        start = time.monotonic()
        answer = world.call("/short/", "POST", body=b"")
        check(answer.status == 504, answer.line)
        check(0.35 < time.monotonic() - start < 0.9)
        check(int(server.seen[0].fields["deadline-ms"]) <= 400)


def test_a_full_service_is_refused_at_once():
    """With every slot taken and no end in sight, a call waits for its goal at the most."""
    def behave(server, message, connection):
        server.ran.append(1)
        time.sleep(3)
        return True

    with World(start=False) as world:
        world.add_server(behave=behave, slots=1)
        world.start()
        with world.client() as busy:
            busy.send("/unsafe/", "POST", body=b"")
            time.sleep(0.1)
            start = time.monotonic()
            answer = world.call("/unsafe/", "POST", body=b"")
            check(answer.status == 503 and "retry-after" in answer.fields, answer.line)
            check(time.monotonic() - start < 0.9)


def raw(world, data, wait_s=1.5):
    with world.client() as client:
        client.socket.sendall(data)
        client.socket.settimeout(wait_s)
        try:
            return client.socket.recv(4000)
        except socket.timeout:
            return b"nothing"
        except OSError:
            return b"reset"


HEAD = b"POST /unsafe/ HTTP/1.1\r\nHost: a.example\r\nRequest-Id: r1\r\n" \
       b"Authorization: Token key-1\r\n"


@table([
    ("two_lengths", HEAD + b"Content-Length: 1\r\nContent-Length: 2\r\n\r\nab", b"400"),
    ("length_and_chunks",
     HEAD + b"Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", b"400"),
    ("bare_line_feed", HEAD + b"A: b\n\r\n", b"400"),
    ("space_before_colon", HEAD + b"Content-Length : 1\r\n\r\na", b"400"),
    ("bad_chunk", HEAD + b"Transfer-Encoding: chunked\r\n\r\nzz\r\n", b"400"),
    ("other_coding", HEAD + b"Transfer-Encoding: gzip\r\n\r\n", b"400"),
    ("long_head", HEAD + b"A: " + b"x" * 9000 + b"\r\n\r\n", b"431"),
    ("long_body", HEAD + b"Content-Length: 200000\r\n\r\n", b"413"),
    ("long_chunked_body", HEAD + b"Transfer-Encoding: chunked\r\n\r\n30000\r\n" + b"x" * 0x30000,
     b"413"),
    ("no_host", b"GET /safe/ HTTP/1.1\r\nRequest-Id: r\r\nAuthorization: Token key-1\r\n\r\n",
     b"400"),
    ("no_path", b"GET safe HTTP/1.1\r\nHost: a.example\r\n\r\n", b"400"),
    ("not_http", b"\x16\x03\x01\x02\x00\x01\x00\x01", b"400"),
    ("slow_head", b"GET /safe/ HT", b"408"),
])
def test_bad_requests(data, expected):
    """Each is refused with its status, and the router serves on."""
    with World(start=False) as world:
        server = world.add_server()
        world.start()
        got = raw(world, data)
        check(got.startswith(b"HTTP/1.1 " + expected), got[:80])
        check(not server.ran, server.ran)
        check(world.call("/safe/").status == 200)


def test_routers_read_the_store_for_each_other():
    """Four routers cost few more reads than one, and all know a change within 2 s."""
    with World(start=False, routers=4) as world:
        world.add_server()
        world.start()
        f.wait_for(lambda: all(world.metric("limpetroad_routers", i) == 4 for i in range(4)),
                   "the routers to know each other")
        before = world.store.count("log-read")
        time.sleep(6)
        reads = world.store.count("log-read") - before
        check(reads < 2 * 6 / 0.7 + 8, reads)  # each for itself: 2 topics, 4 routers, 1.2 s
        late = world.add_server()
        world.servers[0].write("draining")
        world.configure(ROUTES + [route("new", "/new/", "safe", "plain")])
        time.sleep(2)
        for i in range(4):
            check(world.call("/new/", router=i).status == 200)
        check(len(late.ran) == 4, late.ran)


def test_a_start_reads_each_topic_once():
    """The list of a topic is a read of it: the next one is due when news grow old."""
    with World(start=False) as world:
        world.add_server()
        world.start()
        time.sleep(0.3)  # of the 0.7 s after which a read is due
        check(world.store.count("log-read") == 0, world.store.calls)


def test_a_router_cut_from_the_store_tries_seldom():
    """It hears from others that there is more to read, but its pauses grow all the same."""
    with World(start=False) as world:
        world.add_server()
        way = world.add_store()
        world.add_router()
        world.add_router(store=way)
        f.wait_for(lambda: all(world.metric("limpetroad_routers", i) == 2 for i in range(2)),
                   "the routers to know each other")
        way.mode = "reset"
        world.configure(ROUTES + [route("new", "/new/", "safe", "plain")])
        f.wait_for(lambda: world.call("/new/").status == 200, "the new route")
        before = way.count("topic=keyed.op")
        time.sleep(4)
        tries = way.count("topic=keyed.op") - before
        check(tries <= 12, tries)  # pauses of 100 ms to 800 ms, of which half is drawn
        way.mode = "ok"
        f.wait_for(lambda: world.call("/new/", router=1).status == 200, "the new route", 2)


def test_a_router_that_was_cut_catches_up_in_time():
    """In a large fleet pauses grow to many seconds; hearing that it lacks records shortens the
    pause under way, so that a configuration is in force within its bound after the cut."""
    with World(start=False) as world:
        for n in range(120):  # names that nobody answers to count as routers for 8 s
            world.store.put("keyed.routers", "n%d" % n, "127.251.0.%d" % (n + 1))
        world.add_server()
        way = world.add_store()
        world.add_router()
        world.add_router(store=way)
        f.wait_for(lambda: all(world.metric("limpetroad_routers", i) > 100 for i in range(2)),
                   "the routers to know the others")
        way.mode = "reset"
        tries = way.count("log-read")
        f.wait_for(lambda: way.count("log-read") >= tries + 6, "pauses of some seconds", 20)
        world.configure(ROUTES + [route("new", "/new/", "safe", "plain")])
        f.wait_for(lambda: world.call("/new/").status == 200, "the new route")
        way.mode = "ok"
        f.wait_for(lambda: world.call("/new/", router=1).status == 200, "the new route", 3)


def test_a_failed_request_can_be_explained_by_its_id():
    """The log tells the tries and the outcome of a request by its id."""
    def behave(server, message, connection):
        reset(connection)
        raise OSError("closed")

    with World(start=False) as world:
        server = world.add_server(behave=behave)
        world.start()
        with world.client() as client:
            answer = client.call("/unsafe/", "POST", body=b"", request_id="look-for-me")
            check(answer.status == 502)
        f.wait_for(lambda: "id=look-for-me outcome=broken status=502" in world.log(), "the line")
        lines = [line for line in world.log().splitlines() if "look-for-me" in line]
        check(any("step=try peer=%s" % server.id in line and "failed=broken" in line
                  for line in lines), lines)
        check(world.metric('limpetroad_call_total_ms_count{kind="unsafe"}') == 1)
