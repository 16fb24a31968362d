"""Orders are requests that must not run twice: each runs at most once, and the outcome that the
router reports is correct.

The ledger of the stand-in service shows which keys and attempts ran."""

import json
import threading
import time

import fleet as f
from platform_fake import Listener, Message
from run_all import table


def order_fleet(**options):
    return f.Fleet(**{"routers": 3, "engines": 1, "services": 1, **options}).start()


def check_outcomes(fleet, results, latest=()):
    """Checks that every key ran at most once and that every outcome agrees with the ledgers.

    results and latest: lists of (key, response or None). After the outcome "not_run" in results, a
    retry may have run the key as another attempt, so only the attempt of that response must not
    have run. latest holds responses after which nothing was sent: if their outcome is "not_run",
    their keys must not have run at all."""
    runs, attempts = fleet.runs(), fleet.executed_attempts()
    assert all(count == 1 for count in runs.values()), "an order ran twice: %s" % runs
    for key, response in results + list(latest):
        if response is None:
            continue
        if response.outcome == "not_run":
            assert response.headers.get("X-Attempt-Id") not in attempts, \
                "outcome not_run, but this attempt ran: %s %s" % (key, response.body)
        if response.outcome == "done":
            assert key in runs, "outcome done, but the order did not run: %s" % key
    for key, response in latest:
        if response is not None and response.outcome == "not_run":
            assert key not in runs, \
                "outcome not_run, but the order ran: %s %s" % (key, response.body)


def test_an_order_runs_and_a_retry_gets_its_response():
    with order_fleet() as fleet:
        key = f.order_key()
        first = f.order(fleet.routers[0]["port"], fleet.key("team-0"), key)
        assert first.status == 200 and first.outcome == "done", first.body

        def retried():
            again = f.order(fleet.routers[1]["port"], fleet.key("team-0"), key)
            return again.outcome == "done" and again.body == first.body
        f.wait_for(retried, "the recorded response")
        assert fleet.runs() == {key: 1}


def test_an_idempotency_key_is_scoped_to_team_and_request():
    with order_fleet() as fleet:
        key, port = f.order_key(), fleet.routers[0]["port"]
        assert f.order(port, fleet.key("team-0"), key).outcome == "done"
        other_team = f.order(port, fleet.key("team-1"), key)
        assert other_team.outcome == "done"
        other_body = f.order(port, fleet.key("team-0"), key, "release 10 gloves")
        assert other_body.status == 422 and other_body.outcome == "not_run"
        assert fleet.runs() == {key: 2}


@table([
    ("none", "", 400, "not_run"),
    ("no_time", "abcdefgh", 400, "not_run"),
    ("short", "1764800000000-abc", 400, "not_run"),
    ("letters", "1764800000000-abcdefg!", 400, "not_run"),
    ("too_old", "1600000000000-abcdefgh", 409, "unknown"),
    ("future", "9900000000000-abcdefgh", 409, "unknown"),
])
def test_invalid_idempotency_keys(key, status, outcome):
    with order_fleet(routers=1) as fleet:
        response = f.order(fleet.routers[0]["port"], fleet.key("team-0"), key)
        assert (response.status, response.outcome) == (status, outcome), response.body
        assert fleet.runs() == {}


# Runs the functions in parallel and returns their results in the same order.
def run_together(calls):
    results = [None] * len(calls)

    def run(index, call):
        results[index] = call()
    threads = [threading.Thread(target=run, args=(i, c)) for i, c in enumerate(calls)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return results


def test_one_key_at_all_routers_at_once_runs_once():
    with order_fleet() as fleet:
        results = []
        for _ in range(15):
            key = f.order_key()
            calls = [lambda r=r, k=key: f.order(r["port"], fleet.key("team-0"), k)
                     for r in fleet.routers for _ in range(2)]
            responses = run_together(calls)
            assert sum(a.outcome == "done" and "X-Repeat" not in a.headers for a in responses) == 1, \
                [(a.status, a.outcome, a.headers) for a in responses]
            results += [(key, a) for a in responses]
        check_outcomes(fleet, results)
        assert len(fleet.runs()) == 15


@table([("router_runs_on", False), ("router_starts_again", True)])
def test_a_key_whose_claim_the_log_lost_does_not_run_again(starts_again):
    """Guards against a log that comes back from a copy in which no gap shows that claims are missing."""
    with order_fleet(routers=1) as fleet:
        router, key = fleet.routers[0], f.order_key()
        first = f.order(router["port"], fleet.key("team-0"), key)
        assert first.outcome == "done", first.body
        time.sleep(1)  # so that its outcome is in the log
        if starts_again:
            router["process"].kill()
        fleet.fault(fleet.log_port, lose_newest=50)
        if starts_again:
            router["incarnation"] = 2
            fleet.publish_vms()
            fleet.start_router(router)
        f.wait_for(lambda: f.order(router["port"], fleet.key("team-0"), f.order_key()).outcome
                   == "done", "new orders to run")
        check_outcomes(fleet, [(key, f.order(router["port"], fleet.key("team-0"), key))])


FAULTS = [
    ("log_responses_lost", lambda t: t.fault(t.log_port, lose_answers=3)),
    ("log_down", lambda t: t.fault(t.log_port, down=1)),
    ("log_slow", lambda t: t.fault(t.log_port, delay_ms=700)),
    ("log_cut_for_one_router", lambda t: t.proxy("log-r00", refuse=1, cut=1)),
    ("log_silent_for_one_router", lambda t: t.proxy("log-r00", silence=1)),
    ("log_responses_lost_by_proxy", lambda t: t.proxy("log-r01", lose_answers=4, cut=1)),
    ("log_requests_duplicated", lambda t: [t.proxy("log-" + r["id"], duplicate=4, cut=1)
                                           for r in t.routers]),
    ("log_lost_records", lambda t: t.fault(t.log_port, skip_offsets=5)),
    ("target_refuses", lambda t: t.fault(t.services[0], refuse=4)),
    ("target_responses_lost", lambda t: t.fault(t.services[0], drop_answers=4)),
    ("target_requests_lost", lambda t: t.fault(t.services[0], drop_requests=4)),
    ("target_wrong_attempt_id", lambda t: t.fault(t.services[0], wrong_ids=4)),
    ("target_slow", lambda t: t.fault(t.services[0], delay_ms=1800)),
    ("target_unreachable", lambda t: t.proxy("s00", refuse=1)),
    ("target_one_way", lambda t: t.proxy("s00", drop_down=1)),
    ("target_responses_cut", lambda t: t.proxy("s00", cut_after=40)),
    ("peers_cut", lambda t: [t.proxy(r["id"], refuse=1, cut=1) for r in t.routers]),
    ("peers_silent", lambda t: [t.proxy(r["id"], silence=1) for r in t.routers]),
    ("router_frozen", lambda t: t.routers[2]["process"].freeze()),
    ("router_killed", lambda t: t.routers[2]["process"].kill()),
    ("two_faults_router_killed_and_log_responses_lost",
     lambda t: (t.routers[2]["process"].kill(), t.fault(t.log_port, lose_answers=3))),
    ("two_faults_target_responses_lost_and_log_down",
     lambda t: (t.fault(t.services[0], drop_answers=2), t.fault(t.log_port, down=1))),
]


def clear_faults(fleet):
    fleet.fault(fleet.log_port, down=0, lose_answers=0, delay_ms=0)
    fleet.fault(fleet.services[0], refuse=0, drop_answers=0, drop_requests=0, wrong_ids=0,
                delay_ms=0)
    for link in ["s00"] + [p + r["id"] for p in ("", "log-") for r in fleet.routers]:
        fleet.proxy(link, refuse=0, drop_down=0, drop_up=0, lose_answers=0, duplicate=0,
                    cut_after=0)
    fleet.routers[2]["process"].thaw()


@table(FAULTS)
def test_orders_under_a_fault_run_at_most_once_with_correct_outcomes(inject):
    options = {"proxied": ["log", "services", "peers"]}
    with order_fleet(**options) as fleet:
        team = fleet.key("team-0")
        used = fleet.routers[:2]
        keys = [f.order_key() for _ in range(12)]
        before = run_together([lambda k=k, i=i: f.order(used[i % 2]["port"], team, k, "a", 2500)
                               for i, k in enumerate(keys[:4])])
        results = list(zip(keys, before))
        inject(fleet)
        calls = [lambda k=k, i=i: f.order(used[i % 2]["port"], team, k, "a", 2500)
                 for i, k in enumerate(keys[4:])]
        check_outcomes(fleet, results, list(zip(keys[4:], run_together(calls))))
        retries = [lambda k=k, i=i: f.order(used[(i + 1) % 2]["port"], team, k, "a", 2500)
                   for i, k in enumerate(keys)]
        results += list(zip(keys, run_together(retries)))
        check_outcomes(fleet, results, results[-len(keys):])
        clear_faults(fleet)
        results += list(zip(keys, run_together(retries)))
        check_outcomes(fleet, results, results[-len(keys):])
        fresh = f.order_key()
        f.wait_for(lambda: f.order(used[0]["port"], team, f.order_key()).outcome == "done",
                   "orders to run again")
        f.wait_for(lambda: f.order(used[1]["port"], team, fresh).outcome == "done",
                   "the new order to run")
        time.sleep(0.3)
        check_outcomes(fleet, results)


@table([("frozen", "freeze"), ("killed", "kill")])
def test_a_router_frozen_or_killed_at_any_step_causes_no_second_run(how):
    """The delay from the order to the fault grows by 6 ms in each round, so that the faults cover
    every step of an order."""
    with order_fleet(log_options=["--delay-ms", "15"], service_options=["--delay-ms", "20"]) as t:
        team, results = t.key("team-0"), []
        for step in range(14):
            router, other = t.routers[0], t.routers[1]
            key = f.order_key()
            thread = threading.Thread(target=lambda k=key: results.append(
                (k, f.order(router["port"], team, k, "a", 1500, timeout=4))))
            thread.start()
            time.sleep(0.006 * step)
            getattr(router["process"], how)()
            results.append((key, f.order(other["port"], team, key, "a", 1200)))
            if how == "freeze":
                router["process"].thaw()
            else:
                t.start_router(router)
            thread.join()
            results.append((key, f.order(other["port"], team, key, "a", 1200)))
        check_outcomes(t, results)


def test_a_retry_runs_after_not_run():
    with order_fleet(proxied=["services"]) as fleet:
        key, team = f.order_key(), fleet.key("team-0")
        fleet.proxy("s00", refuse=1)
        fleet.services[0]["process"].freeze()
        fleet.services[0]["process"].thaw()
        fleet.fault(fleet.services[0], refuse=100)
        fleet.proxy("s00", refuse=0)
        response = f.order(fleet.routers[0]["port"], team, key)
        assert response.outcome == "not_run", response.body
        fleet.fault(fleet.services[0], refuse=0)
        f.wait_for(lambda: f.order(fleet.routers[1]["port"], team, key).outcome == "done",
                   "the retry to run")
        assert fleet.runs() == {key: 1}


def test_fencing_numbers_grow_for_a_service_that_checks_them():
    with order_fleet() as fleet:
        bundle = fleet.bundle()
        bundle["services"]["booking"]["checks_fencing"] = True
        version = fleet.roll(bundle)
        f.wait_for(lambda: all(fleet.dump(r)["bundle"]["version"] == version
                               for r in fleet.routers), "the bundle")
        response = f.order(fleet.routers[0]["port"], fleet.key("team-0"), f.order_key())
        assert response.outcome == "done" and json.loads(response.body)["run"] == 1


# Each row: the head of a response of a service, after its status and attempt id, and what comes of
# its body before the connection is closed.
@table([("length", "Content-Length: 20\r\n\r\n", "half"),
        ("chunks", "Transfer-Encoding: chunked\r\n\r\n", "4\r\nhalf\r\n"),
        ("close", "Connection: close\r\n\r\n", "half"),
        ("no_framing", "\r\n", "half")])
def test_a_response_that_breaks_off_is_no_success(head, body):
    """Whoever crashes closes its connection in order, too: the close proves nothing."""
    def respond(connection):
        message = Message(connection.makefile("rb"))
        connection.sendall(("HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\n%s%s"
                            % (message.fields.get("x-attempt-id"), head, body)).encode())

    with f.Fleet(routers=1, engines=0, services=0) as fleet:
        fleet.add_target(fleet.services, "s00", Listener(respond).port, slots=32)
        fleet.publish_vms()
        fleet.start()
        router = fleet.routers[0]
        f.wait_for(lambda: "peer=s00 joined" in router["process"].log_text(), "the target", 5)
        response = f.order(router["port"], fleet.key("team-0"), f.order_key())
        assert response is None or response.status >= 500, (response.status, response.body)
        assert response is None or response.outcome != "not-run", response.outcome
