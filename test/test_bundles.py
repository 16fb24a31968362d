"""Bundles: approval, concurrent rolls, distribution to all routers, no return to older versions."""

import json
import threading
import time

import fleet as f
from run_all import table


def versions(fleet, routers=None):
    return [fleet.dump(r)["bundle"]["version"] for r in routers or fleet.routers]


def check_versions_only_increase(fleet):
    """Checks that the versions that each router recorded as applied only increase."""
    for router in fleet.routers:
        taken = [t["version"] for t in fleet.dump(router)["bundle"]["taken"]]
        assert taken == sorted(set(taken)), taken


def bundle_with_share(fleet, share):
    bundle = fleet.bundle()
    bundle["teams"]["team-0"]["share"] = share
    return bundle


def test_a_rolled_bundle_is_in_force_on_all_routers():
    with f.Fleet(routers=3, engines=1).start() as fleet:
        version = fleet.roll(bundle_with_share(fleet, 20))
        f.wait_for(lambda: versions(fleet) == [version] * 3, "the new version")
        check_versions_only_increase(fleet)


def test_the_second_of_two_concurrent_rolls_is_rejected():
    with f.Fleet(routers=2, engines=1).start() as fleet:
        drafts = []
        for share in (20, 30):
            path = fleet.write_bundle(bundle_with_share(fleet, share), "b%d.json" % share)
            draft = json.loads(fleet.limpetctl("--json",
                                               "--author", "baraka", "draft", path))["draft"]
            fleet.limpetctl("--key", fleet.approver["path"], "approve", draft)
            drafts.append(draft)
        fleet.limpetctl("--by", "wanjiru", "roll", drafts[1])
        output = fleet.limpetctl("--by", "baraka", "roll", drafts[0], code=3)
        assert "in force" in output
        record = json.dumps({"type": "roll", "draft": drafts[0], "by": "baraka"})
        f.request(fleet.log_port, "POST", "/streams/bundles/records", record)
        f.wait_for(lambda: fleet.counter("bundle_rejected_total") == 2,
                   "the second roll to be rejected")
        history = json.loads(fleet.limpetctl("--json", "history"))
        assert history[-1]["rolled_by"] == "wanjiru"
        f.wait_for(lambda: len(set(versions(fleet))) == 1, "one version")
        assert versions(fleet)[0] == history[-1]["version"]


def test_an_author_cannot_approve_their_own_draft():
    with f.Fleet(routers=1, engines=1).start() as fleet:
        path = fleet.write_bundle(bundle_with_share(fleet, 20))
        draft = json.loads(fleet.limpetctl("--json", "--author", "amina", "draft", path))["draft"]
        assert "may not approve" in fleet.limpetctl("--key", fleet.approver["path"], "approve",
                                                    draft, code=1)
        assert "no valid approval" in fleet.limpetctl("--by", "amina", "roll", draft, code=1)


def test_an_unlisted_key_cannot_approve():
    with f.Fleet(routers=1, engines=1).start() as fleet:
        unlisted = fleet.make_key("stranger")
        forged = fleet.make_key("forged")
        with open(forged["path"]) as file:
            key = json.load(file)
        with open(forged["path"], "w") as file:
            json.dump(dict(key, name="amina"), file)
        path = fleet.write_bundle(bundle_with_share(fleet, 20))
        draft = json.loads(fleet.limpetctl("--json", "--author", "baraka", "draft", path))["draft"]
        assert "not an approver" in fleet.limpetctl("--key", unlisted["path"], "approve", draft,
                                                    code=1)
        assert "does not fit" in fleet.limpetctl("--key", forged["path"], "approve", draft, code=1)
        before = versions(fleet)
        assert "no valid approval" in fleet.limpetctl("--by", "baraka", "roll", draft, code=1)
        assert versions(fleet) == before


BAD_BUNDLES = [
    ("unknown_key", lambda b: b["fleet"].update(load_bond_percent=125), 'fleet.load_bond_percent: '
     'unknown key; did you mean "load_bound_percent"'),
    ("range", lambda b: b["fleet"].update(load_bound_percent=90), "fleet.load_bound_percent: 90"),
    ("type", lambda b: b["fleet"].update(queue_limit="9"), "fleet.queue_limit: must be a whole"),
    ("policy", lambda b: b["fleet"].update(policy="best"), "fleet.policy"),
    ("missing_hash", lambda b: b["teams"].update(x={}), "team/x.key_hash: is missing"),
    ("bad_hash", lambda b: b["teams"].update(x={"key_hash": "12"}), "team/x.key_hash"),
    ("same_key", lambda b: b["teams"].update(x=dict(b["teams"]["team-0"])), "is also the key of"),
    ("no_fleet", lambda b: b.pop("fleet"), "bundle.fleet: is missing"),
    ("bad_name", lambda b: b["teams"].update({"a/b": {}}), "no slash"),
    ("service", lambda b: b["services"].update(x={}), "service/x.idempotent: is missing"),
]


def test_invalid_bundles_are_rejected_with_the_path():
    with f.Fleet(routers=1, engines=1) as fleet:
        for name, make_invalid, text in BAD_BUNDLES:
            bundle = fleet.bundle()
            make_invalid(bundle)
            output = fleet.run([f.program("limpetctl"), "check", fleet.write_bundle(bundle)], 1)
            assert text in output, (name, output)
        path = fleet.write_bundle({})
        with open(path, "w") as file:
            file.write('{\n "fleet": {},\n "models": \n}')
        assert "bundle.json:4" in fleet.run([f.program("limpetctl"), "check", path], 1)


def test_an_invalid_bundle_in_the_log_changes_nothing():
    with f.Fleet(routers=2, engines=1).start() as fleet:
        before = versions(fleet)
        for record in ("nonsense", "{}", '{"type":"roll"}', '{"type":"draft","parent":3}',
                       '{"type":"checkpoint","version":999999,"parent":1,"root":"%s","author":"a",'
                       '"approver":"amina","signature":"00","changes":[]}' % ("0" * 64)):
            f.request(fleet.log_port, "POST", "/streams/bundles/records", record)
        f.wait_for(lambda: fleet.counter("bundle_rejected_total") >= 10, "the rejections")
        assert versions(fleet) == before


def test_rollback_is_a_new_version():
    with f.Fleet(routers=1, engines=1).start() as fleet:
        first = fleet.version
        fleet.roll(bundle_with_share(fleet, 77))
        draft = json.loads(fleet.limpetctl("--json",
                                           "--author", "baraka", "rollback", first))["draft"]
        fleet.limpetctl("--key", fleet.approver["path"], "approve", draft)
        version = json.loads(fleet.limpetctl("--json", "--by", "baraka", "roll", draft))["offset"]
        shown = json.loads(fleet.limpetctl("--json", "show"))
        assert shown["version"] == version > first and shown["parts"]["team/team-0"]["share"] == 10


def test_a_router_that_cannot_read_the_log_gets_bundles_from_peers():
    with f.Fleet(routers=3, engines=1, proxied=["log"]).start() as fleet:
        cut = fleet.routers[2]
        fleet.proxy("log-" + cut["id"], refuse=1, cut=1)
        version = fleet.roll(bundle_with_share(fleet, 20))
        f.wait_for(lambda: versions(fleet) == [version] * 3,
                   "the disconnected router to get the bundle")
        assert fleet.counters(cut)["bundle_from_peer_total"] >= 1
        newer = fleet.roll(bundle_with_share(fleet, 21))
        f.wait_for(lambda: versions(fleet) == [newer] * 3, "the changes to arrive")
        fleet.proxy("log-" + cut["id"], refuse=0)
        last = fleet.roll(bundle_with_share(fleet, 22))
        f.wait_for(lambda: versions(fleet) == [last] * 3, "the log to be read again")
        check_versions_only_increase(fleet)


def test_a_router_reads_a_long_log_on_a_slow_link():
    """The transfer takes about 3 s, longer than the log may be silent."""
    with f.Fleet(routers=1, engines=1, proxied=["log"]).start() as fleet:
        router = fleet.routers[0]
        router["process"].kill()
        for _ in range(60):
            f.request(fleet.log_port, "POST", "/streams/bundles/records", "x" * 10000)
        version = fleet.roll(bundle_with_share(fleet, 20))
        fleet.proxy("log-" + router["id"], drip_bytes=2000)
        fleet.start_router(router, wait=False)
        f.wait_for(lambda: versions(fleet) == [version], "the bundle", 10)


def test_a_replaced_router_is_ready_only_with_the_bundle_in_force():
    with f.Fleet(routers=3, engines=1, proxied=["log"]).start() as fleet:
        version = fleet.roll(bundle_with_share(fleet, 20))
        replaced = fleet.routers[2]
        replaced["process"].kill()
        fleet.proxy("log-" + replaced["id"], refuse=1)
        for router in fleet.routers[:2]:
            router["process"].freeze()
        fleet.start_router(replaced, wait=False)
        f.wait_for(lambda: fleet.dump(replaced)["state"] == "starting", "the start")
        response = f.chat(replaced["port"], fleet.key("team-0"), "a")
        assert response.status == 503 and response.error["outcome"] == "not_run"
        for router in fleet.routers[:2]:
            router["process"].thaw()
        fleet.wait_ready(replaced)
        assert versions(fleet, [replaced]) == [version]


def test_the_bundle_survives_record_expiry_and_a_restart_of_all_routers():
    with f.Fleet(routers=2, engines=1, retention_ms=6000).start() as fleet:
        version = fleet.version
        f.wait_for(lambda: fleet.counter("bundle_checkpoints_total") >= 2, "checkpoints")
        time.sleep(6.5)
        first = f.get_json(fleet.log_port, "/streams/bundles/records?from=1")["first"]
        assert first > version, "the first records should have expired"
        for router in fleet.routers:
            router["process"].kill()
        fleet.start_routers()
        assert versions(fleet) == [version] * 2
        newer = fleet.roll(bundle_with_share(fleet, 20))
        f.wait_for(lambda: versions(fleet) == [newer] * 2, "the next version")


def test_all_routers_replaced_while_the_log_is_down():
    with f.Fleet(routers=2, engines=1).start() as fleet:
        fleet.fault(fleet.log_port, down=1)
        for router in fleet.routers:
            router["process"].kill()
            fleet.start_router(router, wait=False)
        f.wait_for(lambda: fleet.dump(fleet.routers[1])["state"] == "starting", "the start")
        fleet.fault(fleet.log_port, down=0)
        for router in fleet.routers:
            fleet.wait_ready(router)
        assert versions(fleet) == [fleet.version] * 2


def test_a_starting_router_applies_only_the_newest_version():
    """The log that the router reads also contains older versions, which it must not apply."""
    with f.Fleet(routers=2, engines=1).start() as fleet:
        for i in range(6):
            last = fleet.roll(bundle_with_share(fleet, 20 + i))
        router = fleet.routers[1]
        router["process"].kill()
        fleet.start_router(router)
        f.wait_for(lambda: versions(fleet) == [last] * 2, "the last version")
        dump = json.loads(f.request(router["operators"], "GET", "/dump")[2])
        taken = [entry["version"] for entry in dump["bundle"]["taken"]]
        assert taken == [last], taken


# The fault of a row is injected before each of the rolls 1 to 6 (i) and, with i = 0, after them.
# Rows that use i begin a fault at an odd i and end it at an even i.
@table([
    ("log_outages", lambda t, i: t.fault(t.log_port, down=i % 2)),
    ("log_responses_lost", lambda t, i: t.fault(t.log_port, lose_answers=1)),
    ("one_router_cut_off", lambda t, i: t.proxy("log-r01", refuse=i % 2, cut=1)),
    ("one_router_frozen", lambda t, i: (t.routers[2]["process"].freeze() if i % 2 else
                                        t.routers[2]["process"].thaw())),
    ("one_router_replaced", lambda t, i: (t.routers[2]["process"].kill(),
                                          t.start_router(t.routers[2], wait=False))),
    ("peers_cut", lambda t, i: [t.proxy(r["id"], refuse=i % 2, cut=1) for r in t.routers]),
])
def test_no_router_reverts_to_an_older_version(inject):
    with f.Fleet(routers=3, engines=1, proxied=["log", "peers"]).start() as fleet:
        seen, stop = {r["id"]: [] for r in fleet.routers}, []

        def watch():
            while not stop:
                for router in fleet.routers:
                    try:
                        version = json.loads(f.request(router["operators"], "GET", "/dump",
                                                       timeout=0.5)[2])["bundle"]["version"]
                    except (OSError, ValueError):
                        continue
                    if version > 0:
                        seen[router["id"]].append(version)
                time.sleep(0.01)
        thread = threading.Thread(target=watch)
        thread.start()
        last = fleet.version
        for i in range(1, 7):
            inject(fleet, i)
            try:
                last = fleet.roll(bundle_with_share(fleet, 20 + i))
            except AssertionError:
                pass
            time.sleep(0.2)
        inject(fleet, 0)
        fleet.fault(fleet.log_port, down=0, lose_answers=0)
        fleet.routers[2]["process"].thaw()
        last = fleet.roll(bundle_with_share(fleet, 99))
        f.wait_for(lambda: versions(fleet) == [last] * 3, "the last version")
        stop.append(True)
        thread.join()
        for router, taken in seen.items():
            assert taken == sorted(taken), (router, taken)
