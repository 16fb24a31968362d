"""Checkers of the promises: each reads what clients and servers saw, and returns violations.

Records: calls are dicts with id, path, kind ("safe", "unsafe", "stream", "resume"), router,
sent, ended, status (0: no answer), body, whole; runs are (id, server, time); arrivals are
(id, server, time), those that the server refused too. Times are of one monotonic clock.
"""

import collections

EVENTS = 8          # of each stream
DRAIN_S = 2.0       # bound for a leaving server (drain_ms)
APPLY_S = 2.0       # bound for a configuration (config_apply_ms)
MARGIN_S = 0.3      # for the clocks of threads on a busy machine
CAP_TIMES, CAP_SLACK, CAP_PART, CAP_LEAST, CAP_WINDOW_S = 2, 3, 0.03, 20, 5  # users' rule LIMIT
MISSING = (401, 404)
NOT_RUN = (408, 421, 429, 503)
LIMIT_S = 6.0       # what clients of the soak wait (Deadline-Ms)
RETRY_RATIO, RETRY_SLACK, WINDOW_S = 0.2, 58, 10
MOST_MEMORY_KB, MOST_FILES = 96 * 1024, 600


def own_whole_answers(calls):
    return ["%s got the answer %r" % (c["id"], c["body"][:60]) for c in calls
            if c["status"] == 200 and c["kind"] in ("safe", "unsafe")
            and (not c["whole"] or c["body"] != b"answer to " + c["id"].encode())]


def streams_in_order(calls):
    whole = b"".join(b"id: %d\ndata: piece %d\n\n" % (n, n) for n in range(1, EVENTS + 1))
    return ["%s got %r" % (c["id"], c["body"][-60:]) for c in calls
            if c["status"] == 200 and c["kind"] in ("stream", "resume")
            and (c["body"] != whole if c["whole"] else not whole.startswith(c["body"]))]


def at_most_once(calls, runs):
    once = {c["id"] for c in calls if c["kind"] in ("unsafe", "stream")}
    counts = collections.Counter(r[0] for r in runs if r[0] in once)
    return ["%s ran %d times" % item for item in counts.items() if item[1] > 1]


def not_run_is_true(calls, runs):
    ran = {r[0] for r in runs}
    return ["%s was told %d and ran" % (c["id"], c["status"]) for c in calls
            if c["kind"] in ("unsafe", "stream") and c["status"] in NOT_RUN and c["id"] in ran]


def leaving_servers(leaves, arrivals):
    """leaves: (server, time, calm until) of those that left while store and routers were calm."""
    return ["%s reached %s %.1f s after it said it leaves" % (i, s, t - left)
            for server, left, calm in leaves for i, s, t in arrivals
            if s == server and left + DRAIN_S + MARGIN_S < t < calm]


def configurations(versions, probes):
    """versions: (number, time, calm); probes: (number asked for, router, time, status). Each
    version has a route that only its own key opens."""
    bad = []
    newest = {}
    for asked, router, at, status in sorted(probes, key=lambda p: p[2]):
        for number, put, calm in versions:
            if calm and number == asked and status in MISSING and at > put + APPLY_S + MARGIN_S:
                bad.append("%s has not version %d after %.1f s" % (router, number, at - put))
        if status in MISSING and newest.get(router, 0) >= asked:
            bad.append("%s went back from version %d" % (router, newest[router]))
        if status == 200:
            newest[router] = max(newest.get(router, 0), asked)
    return bad


def dropped_routes(versions, probes):
    """probes: (number of a dropped version, router, time asked, status). Its key and route went
    with the version two later."""
    put = {number: at for number, at, calm in versions if calm}
    return ["%s still had version %d" % (router, asked) for asked, router, at, status in probes
            if status == 200 and asked + 2 in put
            and at > put[asked + 2] + APPLY_S + MARGIN_S]


def ready_means_serving(probes):
    """probes: (router, what a call got between two answers "ready"): its status, or None where no
    connection was taken. The route and the key that were asked for were always there."""
    return ["%s was ready and gave %s" % p for p in probes if p[1] in (None,) + MISSING]


def load_bound(sends):
    """sends: (time, requests that the engine held, mean of all engines) in calm stretches."""
    bad = []
    for start, _, _ in sends:
        window = [s for s in sends if start <= s[0] < start + CAP_WINDOW_S]
        over = sum(held > CAP_TIMES * mean + CAP_SLACK for _, held, mean in window)
        if over >= CAP_LEAST and over > CAP_PART * len(window):
            bad.append("%d of %d met an engine over the limit" % (over, len(window)))
    return bad[:1]


def repeats_within_budget(calls, arrivals):
    first = {}
    requests = sorted(c["sent"] for c in calls)
    repeats = []
    for i, _, at in sorted(arrivals, key=lambda a: a[2]):
        if i in first:
            repeats.append(at)
        first[i] = True
    bad = []
    for start in [at for at in repeats]:
        count = sum(start <= at < start + WINDOW_S for at in repeats)
        allowed = max(sum(s <= at < s + WINDOW_S for at in requests)
                      for s in (start, start - WINDOW_S, start - WINDOW_S / 2))
        if count > RETRY_RATIO * allowed + RETRY_SLACK:
            bad.append("%d repeats for %d requests from %.1f on" % (count, allowed, start))
    return bad[:1]


def deadlines(calls):
    return ["%s ended after %.1f s" % (c["id"], c["ended"] - c["sent"]) for c in calls
            if c["status"] and c["ended"] - c["sent"] > LIMIT_S + 0.5 and not c.get("frozen")]


def planned_stops(stops, calls, broken_off=(), passed_on=()):
    """stops: (router, time, calm). Requests sent within 2 s of a SIGTERM that the router read (a
    server got them, or an answer began) get an answer, unless their server broke off (not counted
    by the users' rules; seed 146)."""
    return ["%s at %s was cut by a planned stop" % (c["id"], c["router"]) for c in calls
            for router, at, calm in stops
            if calm and c["router"] == router and at - 1 < c["sent"] < at + 2
            and (c["read"] or c["id"] in passed_on)
            and not (c["status"] and c["whole"]) and c["id"] not in broken_off]


def small_processes(sizes):
    """sizes: (router, memory in KB, open files)."""
    return ["%s holds %d KB and %d files" % s for s in sizes
            if s[1] > MOST_MEMORY_KB or s[2] > MOST_FILES]


def recovery(final):
    """final: (router, requests, of these answered with 200) after the last fault."""
    return ["%s answered %d of %d after the faults" % (r, good, n) for r, n, good in final
            if good < n]
