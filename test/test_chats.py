"""Chats under faults: every caller gets the complete response to its own chat, or an error."""

import threading
import time

import fleet as f
from platform_fake import Listener, Message, chunk
from run_all import table


def chat_fleet(**options):
    defaults = {"routers": 2, "engines": 4, "services": 0, "proxied": ["engines", "callers"],
                "fleet": {"default_deadline_ms": 6000}}
    return f.Fleet(**dict(defaults, **options)).start()


def run_chats(fleet, count, tokens=30, port="port", routers=None):
    """Sends chats concurrently; returns (tag, response) of each. The response is None if the
    connection failed."""
    routers = routers or fleet.routers
    results = [None] * count

    def run(index):
        tag = "tag%d" % index
        try:
            results[index] = (tag, f.chat(routers[index % len(routers)][port],
                                          fleet.key("team-%d" % (index % 3)), tag, tokens,
                                          "chat-%d" % index))
        except OSError:
            results[index] = (tag, None)
    threads = [threading.Thread(target=run, args=(i,)) for i in range(count)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return results


def check_responses(results, tokens=30):
    """Checks that each response has the tokens of its own chat, from the first on without a gap,
    and that an incomplete one ends with an error; returns the number of complete responses."""
    complete_count = 0
    for tag, response in results:
        if response is None:
            continue
        assert response.tokens == ["%s.%d" % (tag, i) for i in range(len(response.tokens))], \
            response.tokens
        if response.complete:
            assert len(response.tokens) == tokens, (tag, len(response.tokens))
            complete_count += 1
        elif response.status == 200:
            assert response.error is not None, "the response is incomplete but has no error"
    return complete_count


ENGINE_FAULTS = [
    ("cut_before_first_token",
     lambda t: [t.fault(e, cut_at=0, faulty_streams=2) for e in t.engines]),
    ("cut_in_the_stream", lambda t: [t.fault(e, cut_at=11, faulty_streams=2) for e in t.engines]),
    ("token_left_out", lambda t: [t.fault(e, skip_at=7, faulty_streams=2) for e in t.engines]),
    ("stream_stalls", lambda t: [t.fault(e, stall_at=9, faulty_streams=1) for e in t.engines]),
    ("wrong_attempt_id", lambda t: [t.fault(e, wrong_ids=2) for e in t.engines]),
    ("one_engine_killed", lambda t: t.engines[0]["process"].kill()),
    ("one_engine_frozen", lambda t: t.engines[0]["process"].freeze()),
    ("one_engine_unreachable", lambda t: t.proxy("e00", refuse=1, cut=1)),
    ("one_engine_in_small_pieces", lambda t: t.proxy("e00", drip_bytes=9)),
    ("all_connections_silent", lambda t: [t.proxy(e["id"], silence=1) for e in t.engines]),
    ("one_way_partition", lambda t: t.proxy("e01", drop_down=1)),
    ("responses_cut_by_proxy", lambda t: t.proxy("e02", cut_after=900)),
    ("requests_duplicated", lambda t: [t.proxy(e["id"], duplicate=3) for e in t.engines]),
    ("two_faults_killed_and_cut", lambda t: (t.engines[0]["process"].kill(),
                                             t.fault(t.engines[1], cut_at=5, faulty_streams=3))),
]


@table(ENGINE_FAULTS)
def test_responses_are_complete_under_an_engine_fault(inject):
    with chat_fleet() as fleet:
        assert check_responses(run_chats(fleet, 12)) == 12
        inject(fleet)
        results = run_chats(fleet, 12)
        assert check_responses(results) == 12, [(t, a and (a.status, a.error))
                                                for t, a in results]


@table([
    ("killed", lambda t: t.engines[0]["process"].kill()),
    ("frozen", lambda t: t.engines[0]["process"].freeze()),
    ("connections_cut", lambda t: [t.proxy(e["id"], cut=1) for e in t.engines]),
    ("connections_silent", lambda t: [t.proxy(e["id"], silence=1) for e in t.engines]),
])
def test_running_streams_resume_on_another_engine(inject):
    with chat_fleet() as fleet:
        timer = threading.Timer(0.7, lambda: inject(fleet))
        timer.start()
        results = run_chats(fleet, 12, tokens=90)
        timer.join()
        assert check_responses(results, 90) == 12, [(t, a and (a.status, a.error))
                                                    for t, a in results]
        assert fleet.counter("stream_resumes_total") > 0


def test_running_streams_resume_only_at_the_software_version_that_began_them():
    with chat_fleet(engines=3, proxied=[], software_versions=("v1", "v1", "v2")) as fleet:
        first, _, other = fleet.engines
        running = {}

        def kill(engine):
            running.update((e["id"], fleet.stats(e)["inflight"]) for e in (engine, other))
            engine["process"].kill()

        timer = threading.Timer(0.7, kill, [first])
        timer.start()
        assert check_responses(run_chats(fleet, 12, tokens=90), 90) == 12
        timer.join()
        assert running["e00"] > 0 and fleet.stats(other)["served"] == running["e02"], running
        timer = threading.Timer(0.7, kill, [other])
        timer.start()
        assert check_responses(run_chats(fleet, 12, tokens=90), 90) == 12 - running["e02"], running
        assert running["e02"] > 0


# Returns events of a chat: the tokens tag.first to tag.last, as engines write them.
def token_events(tag, first, last):
    return b"".join(
        b'id: %d\ndata: {"choices":[{"index":0,"delta":{"content":"%s.%d "}}]}\n\n'
        % (n, tag.encode(), n) for n in range(first, last + 1))


MAX_RESUMES = 6  # of a chat, by the router
DONE = b"id: 30\ndata: [DONE]\n\n"


# Each row: the type and body of a response with status 200 to a request that resumes a chat after
# its token 9, and whether it continues the chat.
@table([("sound", "text/event-stream", token_events("tag", 10, 29) + DONE, True),
        ("json", "application/json", b'{"error":"bad"}', False),
        ("empty", "text/event-stream", b"", False),
        ("event_without_id", "text/event-stream", b"event: error\ndata: error\n\n", False),
        ("token_left_out", "text/event-stream", token_events("tag", 11, 29) + DONE, False),
        ("end_too_early", "text/event-stream", b"id: 9\ndata: [DONE]\n\n", False)])
def test_a_response_that_is_no_continuation_does_not_reach_the_caller(type, body, is_sound):
    resumed = []

    def respond(connection):
        message = Message(connection.makefile("rb"))
        head = "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nContent-Type: %s\r\n" \
            "Transfer-Encoding: chunked\r\n\r\n"
        attempt_id = message.fields.get("x-attempt-id", "")
        if "last-event-id" not in message.fields:
            connection.sendall((head % (attempt_id, "text/event-stream")).encode()
                               + chunk(token_events("tag", 0, 9)))
            time.sleep(0.1)
            return
        resumed.append(message.fields["last-event-id"])
        connection.sendall((head % (attempt_id, type)).encode() + (chunk(body) if body else b"")
                           + b"0\r\n\r\n")

    with f.Fleet(routers=1, engines=0, services=0,
                 fleet={"default_deadline_ms": 2000}) as fleet:
        for index in range(3):
            fleet.add_target(fleet.engines, "e%02d" % index, Listener(respond).port, slots=32)
        fleet.publish_vms()
        fleet.start()
        router = fleet.routers[0]
        f.wait_for(lambda: router["process"].log_text().count("joined") == 3, "the targets", 5)
        response = f.chat(router["port"], fleet.key("team-0"), "tag", 30)
        assert resumed == ["9"] * (1 if is_sound else MAX_RESUMES), resumed
        if is_sound:
            assert response.is_complete("tag", 30), response.tokens
        else:
            assert response.error["type"] == "cut", response.error
            tokens, router_error, rest = response.error["partial"].encode().partition(
                b'event: error\ndata: {"error":{"type":"')
            assert tokens == token_events("tag", 0, 9) and router_error, response.error
            assert rest.count(b"\n") == 2 and b'"request_id"' in rest, response.error


def test_a_response_cut_off_on_the_way_to_the_caller_is_not_complete():
    with chat_fleet() as fleet:
        fleet.proxy("callers-r00", cut_after=1500)
        results = run_chats(fleet, 6, port="proxied_port", routers=fleet.routers[:1])
        assert check_responses(results) == 0
        fleet.proxy("callers-r00", cut_after=0)
        assert check_responses(run_chats(fleet, 6, port="proxied_port")) == 6
        f.wait_for(lambda: all(fleet.stats(e)["inflight"] == 0 for e in fleet.engines),
                   "the engines to have no request in flight")


def test_engine_requests_are_cancelled_when_the_caller_disconnects():
    with chat_fleet(engines=1) as fleet:
        thread = threading.Thread(target=lambda: run_chats(fleet, 4, 400, "proxied_port"))
        thread.start()
        f.wait_for(lambda: fleet.stats(fleet.engines[0])["inflight"] == 4, "chats to run")
        for router in fleet.routers:
            fleet.proxy("callers-" + router["id"], cut=1)
        f.wait_for(lambda: fleet.stats(fleet.engines[0])["cancelled"] == 4, "chats to be cancelled")
        thread.join()


def test_requests_to_full_engines_are_rejected_with_retry_after():
    with chat_fleet(engines=1, engine_options=["--slots", "2", "--queue", "0"], proxied=[],
                    fleet={"queue_limit": 1, "queue_wait_ms": 100}) as fleet:
        results = run_chats(fleet, 10, 100)
        refused = [a for _, a in results if a.status == 503]
        assert refused and check_responses(results, 100) + len(refused) == 10
        for response in refused:
            assert response.error["outcome"] == "not_run" \
                and int(response.headers["Retry-After"]) >= 1
        assert fleet.stats(fleet.engines[0])["served"] == 10 - len(refused)


def test_a_chat_without_a_reachable_engine_gets_503_or_504():
    with chat_fleet(engines=1, fleet={"queue_wait_ms": 50}) as fleet:
        fleet.proxy("e00", refuse=1)
        fleet.engines[0]["process"].kill()
        response = f.chat(fleet.routers[0]["port"], fleet.key("team-0"), "a")
        assert response.status in (503, 504) and response.error["outcome"] in ("not_run", "unknown")


@table([("list", False), ("refusal", True)])
def test_a_leaving_engine_gets_no_new_requests(by_refusal):
    with chat_fleet(routers=3) as fleet:
        leaving = fleet.engines[0]
        if by_refusal:
            fleet.fault(leaving, leaving=1)
            run_chats(fleet, 12)
        else:
            leaving["leaving"] = True
            fleet.publish_vms()

        def marked_on_all_routers():
            return all(t["leaving"] for r in fleet.routers for t in fleet.dump(r)["targets"]["list"]
                       if t["id"] == leaving["id"])
        f.wait_for(marked_on_all_routers, "all routers to mark the engine as leaving")
        before = fleet.stats(leaving)
        assert check_responses(run_chats(fleet, 24)) == 24
        after = fleet.stats(leaving)
        assert after["served"] == before["served"] and after["refused"] == before["refused"]


def test_the_weight_of_a_restarted_engine_grows_in_steps():
    with chat_fleet(routers=1, proxied=[]) as fleet:
        engine = fleet.engines[0]
        weight = lambda: next(t["weight"] for t in fleet.dump(fleet.routers[0])["targets"]["list"]
                              if t["id"] == engine["id"])
        assert weight() == 1000
        engine["leaving"] = True
        fleet.publish_vms()
        f.wait_for(lambda: any(t["leaving"]
                               for t in fleet.dump(fleet.routers[0])["targets"]["list"]),
                   "the leaving mark")
        engine["leaving"], engine["incarnation"] = False, 2
        fleet.publish_vms()
        f.wait_for(lambda: weight() < 1000, "the weight to be lowered")
        f.wait_for(lambda: weight() == 1000, "the weight to be full again")


def test_chats_run_during_a_vm_list_outage():
    with chat_fleet(proxied=[]) as fleet:
        fleet.fault(fleet.vms_port, down=1)
        time.sleep(1.5)
        assert check_responses(run_chats(fleet, 8)) == 8


NESTED = [7]
for _ in range(24):
    NESTED = [NESTED]


@table([("port_out_of_range", {"port": 70000}), ("slots_too_large", {"slots": 2 ** 63}),
        ("incarnation_too_large", {"incarnation": 1e300}), ("negative", {"incarnation": -1}),
        ("no_kind", {"kind": "other"}), ("unknown_field", {"extra": 1}), ("nested", {"zone": NESTED}),
        ("long_name", {"zone": "x" * 5000}), ("text", {"port": "80"})])
def test_the_vm_list_is_followed_beside_an_odd_entry(fields):
    with chat_fleet(engines=2, proxied=[]) as fleet:
        odd = dict(fleet.vm("engine", fleet.engines[0], f.MODEL), id="odd", **fields)
        fleet.engines[0]["leaving"] = True
        fleet.publish_vms(odd=[odd])
        f.wait_for(lambda: any(t["leaving"] for t in fleet.dump(fleet.routers[0])["targets"]["list"]),
                   "the leaving mark")
        assert check_responses(run_chats(fleet, 4)) == 4


def test_a_rolling_restart_of_every_router_interrupts_no_chat():
    with chat_fleet(routers=3, proxied=[]) as fleet:
        stop, results = [], []

        def balancer_load(index):
            """Sends only to routers whose /readyz is 200, as the platform's load balancer does."""
            number = 0
            while not stop:
                number += 1
                for router in fleet.routers[index % 3:] + fleet.routers[:index % 3]:
                    try:
                        if f.request(router["port"], "GET", "/readyz")[0] == 200:
                            break
                    except OSError:
                        continue
                tag = "tag%d-%d" % (index, number)
                results.append((tag, f.chat(router["port"], fleet.key("team-0"), tag, 40)))
        threads = [threading.Thread(target=balancer_load, args=(i,)) for i in range(9)]
        for thread in threads:
            thread.start()
        for router in fleet.routers:
            time.sleep(0.5)
            assert router["process"].terminate() == 0
            fleet.start_router(router)
        stop.append(True)
        for thread in threads:
            thread.join()
        assert len(results) > 20 and check_responses(results, 40) == len(results)


def test_a_long_chat_completes_before_a_planned_stop():
    with chat_fleet(routers=1, proxied=[]) as fleet:
        results = []
        thread = threading.Thread(target=lambda: results.extend(run_chats(fleet, 1, 300)))
        thread.start()
        f.wait_for(lambda: sum(fleet.stats(e)["inflight"] for e in fleet.engines) == 1, "the start")
        assert fleet.routers[0]["process"].terminate() == 0
        thread.join()
        assert check_responses(results, 300) == 1


CHUNKED_STREAM = (b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                  b"Transfer-Encoding: chunked\r\n\r\n")


# Each row: the start of a response, and what follows it without end.
@table([("field_line", b"HTTP/1.1 200 OK\r\n", b"x" * 65536),
        ("fields", b"HTTP/1.1 200 OK\r\n", b"X-Field: 1\r\n" * 5000),
        ("interim_responses", b"", b"HTTP/1.1 102 Processing\r\n\r\n" * 2000),
        ("body", b"HTTP/1.1 200 OK\r\n\r\n", b"x" * 65536),
        ("event", CHUNKED_STREAM, chunk(b"x" * 60000)),
        ("event_lines", CHUNKED_STREAM, chunk(b"data: x\n" * 8000))])
def test_a_response_without_end(start, repeated):
    """Callers of chats and orders get a final response in time, in bounded memory."""
    requests = []

    def respond(connection):
        requests.append(Message(connection.makefile("rb")).line)
        connection.sendall(start)
        while True:
            connection.sendall(repeated)

    with f.Fleet(routers=1, engines=0, services=0,
                 fleet={"default_deadline_ms": 2000}) as fleet:
        for entries, vm_id in ((fleet.engines, "e00"), (fleet.services, "s00")):
            fleet.add_target(entries, vm_id, Listener(respond).port, slots=32)
        fleet.publish_vms()
        fleet.start()
        router = fleet.routers[0]
        f.wait_for(lambda: "peer=s00 joined" in router["process"].log_text(), "the targets", 5)
        took_s = []

        def call(index):
            started_at = time.monotonic()
            if index % 2:
                response = f.chat(router["port"], fleet.key("team-0"), "tag")
                assert not response.is_complete("tag", 16), response.status
            else:
                response = f.order(router["port"], fleet.key("team-0"), f.order_key(str(index)),
                                   deadline_ms=2000)
                assert response is None or response.status >= 500, response.status
            took_s.append(time.monotonic() - started_at)

        threads = [threading.Thread(target=call, args=(i,)) for i in range(20)]
        for thread in threads:
            thread.start()
        peak_mb = 0
        while any(thread.is_alive() for thread in threads):
            peak_mb = max(peak_mb, f.memory_mb(router["process"].popen.pid))
            time.sleep(0.01)
        assert len(requests) >= 20, requests
        assert len(took_s) == 20 and max(took_s) < 2.5, took_s
        assert peak_mb < 128, peak_mb
