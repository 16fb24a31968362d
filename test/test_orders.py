"""Orders that may not be repeated: at most once, and what callers are told is true.

The verdicts come from the ledger of the plain service."""

import json
import threading
import time

import fleet as f
from run_all import table


def order_fleet(**options):
    return f.Fleet(**{"routers": 3, "engines": 1, "services": 1, **options}).start()


def check_truth(fleet, told, latest=()):
    """told is a list of (key, answer or None); after the answers in latest nothing was sent.

    A key that was told not run may be run by a later repeat, under another attempt."""
    runs, attempts = fleet.runs(), fleet.attempts_run()
    assert all(count == 1 for count in runs.values()), "an order ran twice: %s" % runs
    for key, answer in told + list(latest):
        if answer is None:
            continue
        if answer.outcome == "not_run":
            assert answer.headers.get("X-Attempt-Id") not in attempts, \
                "told not run, but this attempt ran: %s %s" % (key, answer.body)
        if answer.outcome == "done":
            assert key in runs, "told done, but it did not run: %s" % key
    for key, answer in latest:
        if answer is not None and answer.outcome == "not_run":
            assert key not in runs, "told not run, but it ran: %s %s" % (key, answer.body)


def test_an_order_runs_and_a_repeat_gets_its_answer():
    with order_fleet() as fleet:
        key = f.order_key()
        first = f.order(fleet.routers[0]["port"], fleet.key("team-0"), key)
        assert first.status == 200 and first.outcome == "done", first.body

        def repeated():
            again = f.order(fleet.routers[1]["port"], fleet.key("team-0"), key)
            return again.outcome == "done" and again.body == first.body
        f.wait_for(repeated, "the recorded answer")
        assert fleet.runs() == {key: 1}


def test_a_key_speaks_for_its_team_and_its_request():
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
def test_bad_keys(key, status, outcome):
    with order_fleet(routers=1) as fleet:
        answer = f.order(fleet.routers[0]["port"], fleet.key("team-0"), key)
        assert (answer.status, answer.outcome) == (status, outcome), answer.body
        assert fleet.runs() == {}


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
        told = []
        for _ in range(15):
            key = f.order_key()
            calls = [lambda r=r, k=key: f.order(r["port"], fleet.key("team-0"), k)
                     for r in fleet.routers for _ in range(2)]
            answers = run_together(calls)
            assert sum(a.outcome == "done" and "X-Repeat" not in a.headers for a in answers) == 1
            told += [(key, a) for a in answers]
        check_truth(fleet, told)
        assert len(fleet.runs()) == 15


FAULTS = [
    ("log_answers_lost", lambda t: t.fault(t.log_port, lose_answers=3)),
    ("log_down", lambda t: t.fault(t.log_port, down=1)),
    ("log_slow", lambda t: t.fault(t.log_port, delay_ms=700)),
    ("log_cut_for_one_router", lambda t: t.proxy("log-r00", refuse=1, cut=1)),
    ("log_silent_for_one_router", lambda t: t.proxy("log-r00", silence=1)),
    ("log_answers_lost_by_proxy", lambda t: t.proxy("log-r01", lose_answers=4, cut=1)),
    ("log_requests_duplicated", lambda t: [t.proxy("log-" + r["id"], duplicate=4, cut=1)
                                           for r in t.routers]),
    ("log_lost_records", lambda t: t.fault(t.log_port, skip_offsets=5)),
    ("target_refuses", lambda t: t.fault(t.services[0], refuse=4)),
    ("target_answers_lost", lambda t: t.fault(t.services[0], drop_answers=4)),
    ("target_requests_lost", lambda t: t.fault(t.services[0], drop_requests=4)),
    ("target_wrong_attempt_id", lambda t: t.fault(t.services[0], wrong_ids=4)),
    ("target_slow", lambda t: t.fault(t.services[0], delay_ms=1800)),
    ("target_unreachable", lambda t: t.proxy("s00", refuse=1)),
    ("target_one_way", lambda t: t.proxy("s00", drop_down=1)),
    ("target_answers_cut", lambda t: t.proxy("s00", cut_after=40)),
    ("peers_cut", lambda t: [t.proxy(r["id"], refuse=1, cut=1) for r in t.routers]),
    ("peers_silent", lambda t: [t.proxy(r["id"], silence=1) for r in t.routers]),
    ("router_frozen", lambda t: t.routers[2]["process"].freeze()),
    ("router_killed", lambda t: t.routers[2]["process"].kill()),
    ("twice_router_killed_and_log_answers_lost",
     lambda t: (t.routers[2]["process"].kill(), t.fault(t.log_port, lose_answers=3))),
    ("twice_target_answers_lost_and_log_down",
     lambda t: (t.fault(t.services[0], drop_answers=2), t.fault(t.log_port, down=1))),
]


def heal(fleet):
    fleet.fault(fleet.log_port, down=0, lose_answers=0, delay_ms=0)
    fleet.fault(fleet.services[0], refuse=0, drop_answers=0, drop_requests=0, wrong_ids=0,
                delay_ms=0)
    for link in ["s00"] + [p + r["id"] for p in ("", "log-") for r in fleet.routers]:
        fleet.proxy(link, refuse=0, drop_down=0, drop_up=0, lose_answers=0, duplicate=0,
                    cut_after=0)
    fleet.routers[2]["process"].thaw()


@table(FAULTS)
def test_orders_under_a_fault_run_at_most_once_and_are_told_true(inject):
    options = {"proxied": ["log", "services", "peers"]}
    with order_fleet(**options) as fleet:
        team = fleet.key("team-0")
        live = fleet.routers[:2]
        keys = [f.order_key() for _ in range(12)]
        before = run_together([lambda k=k, i=i: f.order(live[i % 2]["port"], team, k, "a", 2500)
                               for i, k in enumerate(keys[:4])])
        told = list(zip(keys, before))
        inject(fleet)
        calls = [lambda k=k, i=i: f.order(live[i % 2]["port"], team, k, "a", 2500)
                 for i, k in enumerate(keys[4:])]
        check_truth(fleet, told, list(zip(keys[4:], run_together(calls))))
        repeats = [lambda k=k, i=i: f.order(live[(i + 1) % 2]["port"], team, k, "a", 2500)
                   for i, k in enumerate(keys)]
        told += list(zip(keys, run_together(repeats)))
        check_truth(fleet, told, told[-len(keys):])
        heal(fleet)
        told += list(zip(keys, run_together(repeats)))
        check_truth(fleet, told, told[-len(keys):])
        fresh = f.order_key()
        f.wait_for(lambda: f.order(live[0]["port"], team, f.order_key()).outcome == "done",
                   "orders to run again")
        f.wait_for(lambda: f.order(live[1]["port"], team, fresh).outcome == "done",
                   "a fresh order to run")
        time.sleep(0.3)
        check_truth(fleet, told)


@table([("frozen", "freeze"), ("killed", "kill")])
def test_a_router_that_stops_at_any_step_leaves_no_second_run(how):
    """The router stops after a growing time, so it stops at every step of an order."""
    with order_fleet(log_options=["--delay-ms", "15"], service_options=["--delay-ms", "20"]) as t:
        team, told = t.key("team-0"), []
        for step in range(14):
            router, other = t.routers[0], t.routers[1]
            key = f.order_key()
            thread = threading.Thread(target=lambda k=key: told.append(
                (k, f.order(router["port"], team, k, "a", 1500, timeout=4))))
            thread.start()
            time.sleep(0.006 * step)
            getattr(router["process"], how)()
            told.append((key, f.order(other["port"], team, key, "a", 1200)))
            if how == "freeze":
                router["process"].thaw()
            else:
                t.start_router(router)
            thread.join()
            told.append((key, f.order(other["port"], team, key, "a", 1200)))
        check_truth(t, told)


def test_not_run_frees_the_key_for_a_repeat():
    with order_fleet(proxied=["services"]) as fleet:
        key, team = f.order_key(), fleet.key("team-0")
        fleet.proxy("s00", refuse=1)
        fleet.services[0]["process"].freeze()
        fleet.services[0]["process"].thaw()
        fleet.fault(fleet.services[0], refuse=100)
        fleet.proxy("s00", refuse=0)
        answer = f.order(fleet.routers[0]["port"], team, key)
        assert answer.outcome == "not_run", answer.body
        fleet.fault(fleet.services[0], refuse=0)
        f.wait_for(lambda: f.order(fleet.routers[1]["port"], team, key).outcome == "done",
                   "the repeat to run")
        assert fleet.runs() == {key: 1}


def test_fencing_numbers_grow_for_a_service_that_checks_them():
    with order_fleet() as fleet:
        bundle = fleet.bundle()
        bundle["services"]["booking"]["checks_fencing"] = True
        version = fleet.roll(bundle)
        f.wait_for(lambda: all(fleet.dump(r)["bundle"]["version"] == version
                               for r in fleet.routers), "the bundle")
        answer = f.order(fleet.routers[0]["port"], fleet.key("team-0"), f.order_key())
        assert answer.outcome == "done" and json.loads(answer.body)["run"] == 1
