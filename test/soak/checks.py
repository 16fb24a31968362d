"""Checks of the guarantees: each takes records of clients and servers and returns violations.

calls: dicts with id, kind ("safe", "unsafe", "stream", "resume"), router, sent, ended, status
(0: no response), body, whole (the body is complete), read (a response began) and is_reset (a
reset ended a response without a length). runs: (id,
server, time) of each request that a server ran. arrivals: the same of each request that a server
received, including those that it rejected. Times are in seconds of one monotonic clock.
"""

import collections

EVENTS = 8          # number of events of each stream
DRAIN_S = 2.0       # time after which a server marked as leaving gets no new request (drain_ms)
APPLY_S = 2.0       # time within which a configuration applies (config_apply_ms)
STABLE_S = 3.0      # time after which a store that returned is stable (stable_window_ms)
MARGIN_S = 0.3      # scheduling delays of the test threads on a busy machine
# Rule LIMIT of the users: in any 5 s at most 3 % of the requests may meet an engine that holds more
# than 2 times the mean of all engines plus 3. Fewer than 20 such requests are not reported.
LOAD_CAP_FACTOR, LOAD_CAP_SLACK, LOAD_CAP_MAX_SHARE, LOAD_CAP_MIN_COUNT, \
    LOAD_CAP_WINDOW_S = 2, 3, 0.03, 20, 5
UNKNOWN_STATUSES = (401, 404)  # the router lacks the key or the route
NOT_RUN = (408, 421, 429, 503)  # statuses which state that the request did not run
CLIENT_TIMEOUT_S = 6.0       # time limit of the soak's clients
# In any RETRY_WINDOW_S there may be RETRY_SLACK retries and RETRY_RATIO times the requests.
RETRY_RATIO, RETRY_SLACK, RETRY_WINDOW_S = 0.2, 58, 10
# Limits of a router process: resident memory and number of open files.
MAX_MEMORY_KB, MAX_FILES = 96 * 1024, 600


# A safe or unsafe call with status 200 got the complete response to its own request.
def complete_own_responses(calls):
    return ["%s got the response %r" % (c["id"], c["body"][:60]) for c in calls
            if c["status"] == 200 and c["kind"] in ("safe", "unsafe") and not c.get("is_reset")
            and (not c["whole"] or c["body"] != b"answer to " + c["id"].encode())]


# A stream has its events once and in order; an incomplete one has a prefix of them.
def streams_in_order(calls):
    whole = b"".join(b"id: %d\ndata: piece %d\n\n" % (n, n) for n in range(1, EVENTS + 1))
    return ["%s got %r" % (c["id"], c["body"][-60:]) for c in calls
            if c["status"] == 200 and c["kind"] in ("stream", "resume")
            and (c["body"] != whole if c["whole"] else not whole.startswith(c["body"]))]


def streams_of_one_version(runs):
    """Checks that a stream goes on only at the software version that sent the events before.

    runs: id of the request, version, and first and last event of each run that was started."""
    return ["%s goes on at %s after %s" % (r["id"], r["version"], [
        (b["version"], b["last"]) for b in runs if b["id"] == r["id"] and b is not r])
        for r in runs if r["first"] > 1
        and not any(b["id"] == r["id"] and b["version"] == r["version"]
                    and b["first"] < r["first"] <= b["last"] + 1 for b in runs)]


# Unsafe calls and streams that may not resume run at most once.
def at_most_once(calls, runs):
    once = {c["id"] for c in calls if c["kind"] in ("unsafe", "stream")}
    counts = collections.Counter(r[0] for r in runs if r[0] in once)
    return ["%s ran %d times" % item for item in counts.items() if item[1] > 1]


# A call whose status states that it did not run has not run at any server.
def not_run_outcomes(calls, runs):
    ran = {r[0] for r in runs}
    return ["%s got status %d but ran" % (c["id"], c["status"]) for c in calls
            if c["kind"] in ("unsafe", "stream") and c["status"] in NOT_RUN and c["id"] in ran]


def binding_times(at, drills, bound_s):
    """Returns the times from which an acknowledgement of the store at a time (at) binds, as pairs
    (time, drill): it binds at once, and its bound (bound_s) ends again STABLE_S after each later
    return of the store from a copy, in which the record was written again. drills: (begin, return).
    """
    return [(at, None)] + [(max(at, drill[1] + STABLE_S - bound_s), drill) for drill in drills
                           if at < drill[1] + STABLE_S]


def leaving_servers(leaves, arrivals):
    """Checks that a leaving server gets no new request after DRAIN_S.

    leaves: (server, time when it was marked as leaving, end of the check), only those during which
    no fault affected the store or a router."""
    return ["%s reached %s %.1f s after the server was marked as leaving" % (i, s, t - left)
            for server, left, end in leaves for i, s, t in arrivals
            if s == server and left + DRAIN_S + MARGIN_S < t < end]


def configurations(versions, probes):
    """Checks that configurations apply in time and that no router returns to an older one.

    versions: (number, time, undisturbed); probes: (number of the requested version, router, time,
    status). Each version has a route of its own, which only the key of that version may use."""
    violations = []
    newest = {}
    for asked, router, at, status in sorted(probes, key=lambda p: p[2]):
        for number, published_at, undisturbed in versions:
            if undisturbed and number == asked and status in UNKNOWN_STATUSES \
                    and at > published_at + APPLY_S + MARGIN_S:
                violations.append("%s lacks version %d after %.1f s"
                                  % (router, number, at - published_at))
        if status in UNKNOWN_STATUSES and newest.get(router, 0) >= asked:
            violations.append("%s reverted from version %d" % (router, newest[router]))
        if status == 200:
            newest[router] = max(newest.get(router, 0), asked)
    return violations


def dropped_routes(versions, probes):
    """Checks that routers stop serving the route and key of version N once version N + 2, which
    removes them, applies. probes: (N, router, time of the request, status)."""
    published_at = {}
    for number, at, undisturbed in versions:
        if undisturbed:
            published_at[number] = min(at, published_at.get(number, at))
    return ["%s still served version %d" % (router, asked) for asked, router, at, status in probes
            if status == 200 and asked + 2 in published_at
            and at > published_at[asked + 2] + APPLY_S + MARGIN_S]


def ready_means_serving(probes):
    """Checks that a ready router accepts connections and has the configuration.

    probes: (router, status) of a call between two successful readiness checks; the status is
    None if the router accepted no connection. Every configuration has the route and the key."""
    return ["%s was ready but the call got %s" % p for p in probes
            if p[1] in (None,) + UNKNOWN_STATUSES]


def load_bound(sends):
    """Checks rule LIMIT of the users (see LOAD_CAP_FACTOR).

    sends: (time, requests in flight at the chosen engine, mean of all engines) of requests that
    arrived while no fault was active."""
    violations = []
    for start, _, _ in sends:
        window = [s for s in sends if start <= s[0] < start + LOAD_CAP_WINDOW_S]
        over = sum(inflight > LOAD_CAP_FACTOR * mean + LOAD_CAP_SLACK
                   for _, inflight, mean in window)
        if over >= LOAD_CAP_MIN_COUNT and over > LOAD_CAP_MAX_SHARE * len(window):
            violations.append("%d of %d requests met an engine over the load cap"
                              % (over, len(window)))
    return violations[:1]


# Every arrival of a request at a server after its first arrival counts as a retry. The retries in a
# window are compared with the largest number of requests in one of three windows of the same
# length: the same window, one RETRY_WINDOW_S / 2 earlier and one RETRY_WINDOW_S earlier.
def retries_within_budget(calls, arrivals):
    first = {}
    requests = sorted(c["sent"] for c in calls)
    retries = []
    for i, _, at in sorted(arrivals, key=lambda a: a[2]):
        if i in first:
            retries.append(at)
        first[i] = True
    violations = []
    for start in [at for at in retries]:
        count = sum(start <= at < start + RETRY_WINDOW_S for at in retries)
        request_count = max(sum(s <= at < s + RETRY_WINDOW_S for at in requests)
                      for s in (start, start - RETRY_WINDOW_S, start - RETRY_WINDOW_S / 2))
        if count > RETRY_RATIO * request_count + RETRY_SLACK:
            violations.append("%d retries for %d requests from time %.1f on"
                              % (count, request_count, start))
    return violations[:1]


# A call that got a response got it within its time limit. Calls that a fault of the store or of a
# router may have delayed (marked as frozen) are exempt.
def deadlines(calls):
    return ["%s ended after %.1f s" % (c["id"], c["ended"] - c["sent"]) for c in calls
            if c["status"] and c["ended"] - c["sent"] > CLIENT_TIMEOUT_S + 0.5
            and not c.get("frozen")]


def planned_stops(stops, calls, aborted_by_server=(), reached_server=()):
    """stops: (router, time of SIGTERM, undisturbed).

    Requests sent from 1 s before to 2 s after a SIGTERM must get a complete response if the router
    read them, that is if a response began (read) or a server received them (reached_server).
    Requests whose server closed the connection (aborted_by_server) are exempt, since the users'
    rules do not count them (seen with seed 146)."""
    return ["%s at %s was interrupted by a planned stop" % (c["id"], c["router"]) for c in calls
            for router, at, undisturbed in stops
            if undisturbed and c["router"] == router and at - 1 < c["sent"] < at + 2
            and (c["read"] or c["id"] in reached_server)
            and not (c["status"] and c["whole"]) and c["id"] not in aborted_by_server]


def small_processes(sizes):
    """sizes: (router, resident memory in KB, number of open files)."""
    return ["%s uses %d KB and %d open files" % s for s in sizes
            if s[1] > MAX_MEMORY_KB or s[2] > MAX_FILES]


def recovery(final):
    """final: (router, requests, responses with status 200), all sent after the last fault."""
    return ["%s served %d of %d requests after the faults" % (r, succeeded, n)
            for r, n, succeeded in final if succeeded < n]
