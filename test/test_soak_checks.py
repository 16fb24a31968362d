"""Each check of the soak test reports its violation and accepts correct records."""

import os

import fleet as f
from run_all import table
from soak import checks


# Returns the record of an unsafe call with status 200; fields replace its values.
def call(**fields):
    base = {"id": "a", "kind": "unsafe", "router": "r", "status": 200, "whole": True,
            "body": b"answer to a", "sent": 10.0, "ended": 10.1, "read": True}
    return dict(base, **fields)


COMPLETE_STREAM = b"".join(b"id: %d\ndata: piece %d\n\n" % (n, n)
                           for n in range(1, checks.EVENTS + 1))
DRILL = (11, 13)
# Version 3 was lost and written again; version 4 has an offset that version 2 had before the drill.
VERSIONS = [(number, start, True) for number, at in ((3, 10), (4, 13.1))
            for start, drill in checks.binding_times(at, [DRILL], checks.APPLY_S) if drill]
LEAVES = [("s", start, 20) for start, drill in checks.binding_times(10, [DRILL], checks.DRAIN_S)
          if drill]
FIFTY_CALLS = [call(id="c%d" % n, sent=10 + n * 0.01) for n in range(50)]


@table([
    ("own_response", checks.complete_own_responses, ([call()],), ([call(body=b"answer to b")],)),
    ("complete_response", checks.complete_own_responses, ([call()],), ([call(whole=False)],)),
    ("stream", checks.streams_in_order, ([call(kind="stream", body=COMPLETE_STREAM)],),
     ([call(kind="stream", body=COMPLETE_STREAM[:-9])],)),
    ("incomplete_stream", checks.streams_in_order,
     ([call(kind="resume", body=COMPLETE_STREAM[:40], whole=False)],),
     ([call(kind="resume", body=COMPLETE_STREAM[:20] + COMPLETE_STREAM, whole=False)],)),
    ("one_version", checks.streams_of_one_version,
     ([{"id": "a", "version": "v1", "first": 1, "last": 3},
       {"id": "a", "version": "v1", "first": 4, "last": 9}],),
     ([{"id": "a", "version": "v1", "first": 1, "last": 3},
       {"id": "a", "version": "v2", "first": 4, "last": 9}],)),
    ("once", checks.at_most_once, ([call()], [("a", "s", 1)]),
     ([call()], [("a", "s", 1), ("a", "t", 2)])),
    ("not_run", checks.not_run_outcomes, ([call(status=503)], [("b", "s", 1)]),
     ([call(status=503)], [("a", "s", 1)])),
    ("leaving", checks.leaving_servers, ([("s", 10, 20)], [("a", "s", 11.9)]),
     ([("s", 10, 20)], [("a", "s", 12.5)])),
    ("version_late", checks.configurations, ([(3, 10, True)], [(3, "r", 11, 404)]),
     ([(3, 10, True)], [(3, "r", 12.5, 404)])),
    ("version_reverted", checks.configurations, ([], [(3, "r", 11, 200), (3, "r", 12, 200)]),
     ([], [(3, "r", 11, 200), (3, "r", 12, 404)])),
    ("key_late", checks.configurations, ([(3, 10, True)], [(3, "r", 11, 401)]),
     ([(3, 10, True)], [(3, "r", 12.5, 401)])),
    ("version_after_a_drill", checks.configurations, (VERSIONS, [(3, "r", 16.2, 404)]),
     (VERSIONS, [(3, "r", 16.4, 404)])),
    ("old_offset_after_a_drill", checks.configurations,
     (VERSIONS, [(3, "r", 13.5, 200), (4, "r", 16.2, 404), (4, "r", 16.4, 200)]),
     (VERSIONS, [(3, "r", 13.5, 200), (4, "r", 16.2, 404), (4, "r", 16.4, 404)])),
    ("dropped_after_a_drill", checks.dropped_routes, (VERSIONS, [(2, "r", 16.2, 200)]),
     (VERSIONS, [(2, "r", 16.4, 200)])),
    ("leaving_after_a_drill", checks.leaving_servers, (LEAVES, [("a", "s", 16.2)]),
     (LEAVES, [("a", "s", 16.4)])),
    ("dropped", checks.dropped_routes, ([(5, 10, True)], [(3, "r", 11.9, 200), (3, "r", 13, 401)]),
     ([(5, 10, True)], [(3, "r", 12.5, 200)])),
    ("ready", checks.ready_means_serving, ([("r", 200), ("r", 503)],), ([("r", None)],)),
    ("load", checks.load_bound, ([(10 + n / 99, 5, 1) for n in range(99)],),
     ([(10 + n / 99, 6, 1) for n in range(99)],)),
    ("retries", checks.retries_within_budget, (FIFTY_CALLS, [("c1", "s", 10)] * 60),
     (FIFTY_CALLS, [("c1", "s", 10)] * 80)),
    ("deadline", checks.deadlines, ([call()],), ([call(ended=17)],)),
    ("stop", checks.planned_stops, ([("r", 9.5, True)], [call()]),
     ([("r", 9.5, True)], [call(status=0)])),
    ("stop_after_server_received", checks.planned_stops,
     ([("r", 9.5, True)], [call(status=0, read=False)], (), ()),
     ([("r", 9.5, True)], [call(status=0, read=False)], (), ("a",))),
    ("size", checks.small_processes, ([("r", 1000, 10)],), ([("r", 1000, 1000)],)),
    ("recovery", checks.recovery, ([("r", 20, 20)],), ([("r", 20, 19)],)),
])
def test_a_check_finds_violations_only(check, correct, violating):
    assert not check(*correct), check(*correct)
    assert check(*violating)


def test_a_short_soak():
    """Runs one seed for 8 s; longer soaks are run by hand."""
    result = f.subprocess.run(
        [f.sys.executable, os.path.join(f.ROOT, "test", "soak", "soak.py"), "--seed", "1",
         "--seconds", "8"], capture_output=True, text=True, timeout=150)
    assert result.returncode == 0, result.stdout + result.stderr
