"""Prints the tables of docs/MEASURES.md, one function for each measurement.

Usage: measure.py [NAME…], all measurements by default. A measurement loads every policy with the
same requests and seed. LIMPET_POLICIES names the policies, separated by spaces. LIMPET_BUILDS and
LIMPET_ROUTERS name the build directories and the numbers of routers for store_copy."""

import concurrent.futures
import json
import multiprocessing
import os
import socket
import subprocess
import sys
import threading
import time

import fleet as f
from platform_fake import Message, ROUTES, route
from test_fleet_starts import SeededFleet

POLICIES = os.environ.get("LIMPET_POLICIES", "bounded rendezvous least_loaded random").split()
ENGINE = ["--slots", "16", "--queue", "4", "--step-ms", "25", "--prefill-tokens", "512"]
SEED = 11
BUILDS = os.environ.get("LIMPET_BUILDS", f.BUILD).split()
ROUTER_COUNTS = [int(n) for n in os.environ.get("LIMPET_ROUTERS", "9 85").split()]


def make_fleet(policy="bounded", routers=6, engines=20, engine=None, workers=400, **fleet_settings):
    settings = dict({"policy": policy}, **fleet_settings)
    return f.Fleet(routers=routers, engines=engines, services=0, teams=4, fleet=settings,
                   engine_options=engine or ENGINE, workers=workers).start()


# Starts limpetbench against all engines and the given routers, by default all routers.
def bench_process(fleet, *options, team="team-0", routers=None):
    arguments = [f.program("limpetbench"), "--key", fleet.key(team)]
    for router in routers or fleet.routers:
        arguments += ["--router", str(router["port"])]
    for engine in fleet.engines:
        arguments += ["--engine", str(engine["port"])]
    return subprocess.Popen(arguments + [str(o) for o in options], stdout=subprocess.PIPE)


def bench(fleet, *options, **keywords):
    out, _ = bench_process(fleet, *options, **keywords).communicate()
    return json.loads(out)


def row(*cells):
    print("| " + " | ".join(str(c) for c in cells) + " |")
    sys.stdout.flush()


def header(*cells):
    row(*cells)
    row(*["---"] * len(cells))


def percent(part, whole):
    return "%.1f %%" % (100.0 * part / whole) if whole else "-"


def start_timer(delay_s, action):
    """Calls action in another thread after delay_s seconds."""
    timer = threading.Timer(delay_s, action)
    timer.start()
    return timer


# Returns the control traffic per router in bytes per second; before: counters read seconds ago.
def control_byte_rates(fleet, seconds, before):
    names = ["peer_sent_bytes_total", "log_sent_bytes_total", "probe_sent_bytes_total",
             "peer_received_bytes_total", "log_received_bytes_total",
             "probe_received_bytes_total"]
    after = {n: fleet.counter(n) for n in names}
    return {n: (after[n] - before[n]) / seconds / len(fleet.routers) for n in names}


# Returns the sums of the control traffic counters over all routers.
def control_byte_counters(fleet):
    return {n: fleet.counter(n) for n in
            ["peer_sent_bytes_total", "log_sent_bytes_total", "probe_sent_bytes_total",
             "peer_received_bytes_total", "log_received_bytes_total",
             "probe_received_bytes_total"]}


def measure_bound():
    """Ratio of the highest engine load to the mean, sampled at the engines."""
    header("policy", "routers", "samples", "mean load", "mean of largest ratio",
           "largest ratio", "largest excess over 1.25 x mean", "samples over + 1",
           "returning with cached prefix")
    runs = [("bounded", n) for n in (9, 1)] + [(p, 9) for p in POLICIES[1:]]
    for policy, routers in runs:
        with make_fleet(policy, routers, long_tokens=100000) as fleet:
            r = bench(fleet, "--rate", 28, "--tokens", 300, "--seconds", 30, "--warmup", 10,
                      "--chats", 900, "--seed", SEED)
            load = r["load"]
            row(policy, routers, load["samples"], "%.1f" % load["mean_load"],
                "%.2f" % load["mean_ratio"], "%.2f" % load["highest_ratio"],
                "%.1f" % load["highest_excess"], load["over"],
                percent(r["met_prefix"], r["returning"]))


def measure_crest():
    """Chats completed within their deadline while demand steps from 0.5 to 3 times capacity. A
    crest means an overload."""
    # Chats per second: 20 engines with 16 slots; a chat takes 22 steps of 25 ms, times 1.15.
    capacity = 20 * 16 / (22 * 0.025 * 1.15)
    header("policy", "sent", "done in deadline", "of capacity", "late", "refused",
           "p99 refusal ms", "unknown", "cut", "short p99 first ms")
    for policy in POLICIES:
        with make_fleet(policy) as fleet:
            base = bench(fleet, "--rate", capacity * 0.9, "--tokens", 20, "--seconds", 8,
                         "--warmup", 3, "--chats", 4000, "--seed", SEED, "--deadline-ms", 1000)
            full = base["done"] / 5.0
            r = bench(fleet, "--rate", capacity * 0.5, "--step-rate", capacity * 3, "--step-at",
                      4, "--step-until", 12, "--seconds", 12, "--warmup", 4, "--tokens", 20,
                      "--chats", 6000, "--seed", SEED + 1, "--deadline-ms", 1000)
            row(policy, r["sent"], r["in_deadline"],
                percent(r["in_deadline"], capacity * 8) + " (model %.0f/s, at 0.9 %.0f/s)" %
                (capacity, full), r["late"], r["refused"],
                "%.0f" % r["refused_ms"].get("p99", 0), r["unknown"], r["cut"],
                "%.0f" % r["short_first_ms"].get("p99", 0))


def measure_blocking():
    """p99 time to the first token of short chats, without and with 5 % very long chats."""
    header("policy", "p99 without long ms", "p99 with 5 % long ms", "ratio", "refused with long",
           "long done")
    for policy in POLICIES:
        with make_fleet(policy) as fleet:
            options = ["--rate", 150, "--tokens", 20, "--seconds", 20, "--warmup", 5, "--chats",
                       3000, "--long-tokens", 600, "--seed", SEED]
            without = bench(fleet, *options)
            with_long = bench(fleet, *options, "--long-percent", 5)
            a = without["short_first_ms"]["p99"]
            b = with_long["short_first_ms"]["p99"]
            row(policy, "%.0f" % a, "%.0f" % b, "%.2f" % (b / a), with_long["refused"],
                with_long["long_first_ms"]["count"])


def slow_engines_in_turn(fleet, count, seconds):
    """Slows count engines tenfold for the given seconds, then other engines, three times in all."""
    def run():
        for first in range(0, 3 * count, count):
            chosen = [fleet.engines[(first * 3 + i) % len(fleet.engines)] for i in range(count)]
            for engine in chosen:
                fleet.fault(engine, slow=10)
            time.sleep(seconds)
            for engine in chosen:
                fleet.fault(engine, slow=1)
    thread = threading.Thread(target=run)
    thread.start()
    return thread


def measure_slow():
    """p99 of short chats while some engines are slowed tenfold for 4 s at a time."""
    header("engines", "slowed", "policy", "p99 first ms, none slowed", "p99 first, slowed",
           "ratio", "p99 complete response, none", "p99 complete response, slowed", "ratio",
           "hedges, retries and resumes of attempts")
    for engines, slowed, rate, routers in ((20, 2, 150, 6), (10, 1, 75, 6)):
        for policy in POLICIES:
            with make_fleet(policy, routers, engines) as fleet:
                options = ["--rate", rate, "--tokens", 20, "--seconds", 20, "--warmup", 5,
                           "--chats", 2000, "--seed", SEED]
                baseline = bench(fleet, *options)
                before = [fleet.counter(n) for n in
                         ("hedges_total", "retries_total", "stream_resumes_total",
                          "attempts_total")]
                timer = start_timer(6, lambda: slow_engines_in_turn(fleet, slowed, 4))
                slow = bench(fleet, *options)
                timer.join()
                after = [fleet.counter(n) for n in
                       ("hedges_total", "retries_total", "stream_resumes_total",
                        "attempts_total")]
                increases = [n - e for n, e in zip(after, before)]
                a, b = baseline["short_first_ms"]["p99"], slow["short_first_ms"]["p99"]
                c, d = baseline["short_total_ms"]["p99"], slow["short_total_ms"]["p99"]
                print("<!-- hedges, retries, resumes, attempts: %s; retry budget exhausted %d "
                      "times, %d marked as slow -->" %
                      (increases, fleet.counter("retry_budget_exhausted_total"),
                       fleet.counter("slow_marks_total")))
                row(engines, slowed, policy, "%.0f" % a, "%.0f" % b, "%.2f" % (b / a), "%.0f" % c,
                    "%.0f" % d, "%.2f" % (d / c), percent(sum(increases[:3]), increases[3]))


def measure_surge():
    """p99 time to the first token of the other teams while one team sends ten times its share."""
    header("policy", "others' p99 alone ms", "others' p99 in the surge ms", "ratio",
           "others refused", "surging team refused")
    for policy in ("bounded",):
        with make_fleet(policy) as fleet:
            baseline = ["--rate", 90, "--tokens", 20, "--seconds", 16, "--warmup", 4,
                        "--chats", 2000, "--seed", SEED]
            alone = bench(fleet, *baseline, team="team-1")
            surging = bench_process(fleet, "--rate", 1300, "--tokens", 20, "--seconds", 16,
                                    "--chats", 8000, "--seed", SEED + 1, team="team-0")
            with_surge = bench(fleet, *baseline, team="team-1")
            surge = json.loads(surging.communicate()[0])
            print("<!-- queued %d, target refusals %d, retries %d, hedges %d -->" % tuple(
                fleet.counter(n) for n in ("admission_queued_total", "target_refusals_total",
                                           "retries_total", "hedges_total")))
            a, b = alone["short_first_ms"]["p99"], with_surge["short_first_ms"]["p99"]
            row(policy, "%.0f" % a, "%.0f" % b, "%.2f" % (b / a), with_surge["refused"],
                surge["refused"])


def measure_reuse():
    """Returning chats that find their cached prefix while one engine joins and one leaves."""
    header("policy", "returning", "with cached prefix", "possible", "of the possible",
           "largest load ratio", "control bytes sent per second and router",
           "control bytes received")
    for policy in POLICIES:
        with make_fleet(policy, engines=22) as fleet:
            spare = fleet.engines[20:]
            fleet.engines = fleet.engines[:20]
            fleet.publish_vms()
            time.sleep(2.5)
            changed = [0]

            def churn():
                for i in range(2):
                    leaving = fleet.engines[i]
                    leaving["leaving"] = True
                    fleet.publish_vms()
                    fleet.engines.append(spare[i])
                    fleet.publish_vms()
                    changed[0] += 2
                    time.sleep(10)
            before = control_byte_counters(fleet)
            timer = start_timer(5, lambda: threading.Thread(target=churn).start())
            r = bench(fleet, "--rate", 150, "--tokens", 30, "--seconds", 25, "--warmup", 4,
                      "--chats", 700, "--turns", 12, "--seed", SEED)
            timer.join()
            rate = control_byte_rates(fleet, 25, before)
            # Each change moves the chats of one of 20 engines; a moved chat misses the cache once.
            possible = 1 - changed[0] / 20.0 * 700 / max(1, r["returning"])
            hit_rate = r["met_prefix"] / max(1, r["returning"])
            row(policy, r["returning"], percent(r["met_prefix"], r["returning"]),
                "%.1f %%" % (100 * possible), "%.1f %%" % (100 * hit_rate / possible),
                "%.2f" % r["load"]["highest_ratio"],
                "%.0f" % sum(v for n, v in rate.items() if "sent" in n),
                "%.0f" % sum(v for n, v in rate.items() if "received" in n))


def measure_speed():
    """Latency and cost of one router, compared with a client that calls the engines directly."""
    engine = ["--slots", "700", "--queue", "0", "--step-ms", "66", "--prefill-tokens", "100000",
              "--threads", "1400"]
    options = ["--rate", 30, "--tokens", 300, "--seconds", 30, "--warmup", 12, "--chats", 4000,
               "--long-tokens", 100000]
    with make_fleet("bounded", 1, 2, engine, 1024, long_tokens=100000) as fleet:
        router = fleet.routers[0]
        direct = json.loads(subprocess.run(
            [f.program("limpetbench"), "--direct", "--key", "x"]
            + [x for e in fleet.engines for x in ("--router", str(e["port"]))]
            + [str(o) for o in options], capture_output=True).stdout)
        pid = router["process"].popen.pid
        before, cpu = fleet.counters(router)["tokens_total"], cpu_seconds(pid)
        timer = start_timer(24, lambda: peak.append(f.memory_mb(pid)))
        peak = []
        routed = bench(fleet, *options, "--seed", SEED)
        timer.join()
        tokens = fleet.counters(router)["tokens_total"] - before
        cpu = cpu_seconds(pid) - cpu
        header("quantity", "direct", "through a router", "difference or ratio")
        for q in ("p50", "p99"):
            a, b = direct["short_first_ms"][q], routed["short_first_ms"][q]
            row("first token %s ms" % q, "%.1f" % a, "%.1f" % b, "%.1f ms" % (b - a))
        a, b = direct["short_gap_ms"]["p95"], routed["short_gap_ms"]["p95"]
        row("between tokens p95 ms", "%.1f" % a, "%.1f" % b, "%.2f times" % (b / a))
        row("tokens per second", "-", "%.0f" % (tokens / 50.0), "-")
        row("processor time per token, us", "-", "%.1f" % (cpu / tokens * 1e6),
            "%.0f tokens/s per core" % (tokens / cpu))
        row("memory with about 600 streams, MB", "-", "%.0f" % peak[0], "-")


# Returns the processor time (user and system) that a process has used.
def cpu_seconds(pid):
    with open("/proc/%d/stat" % pid) as file:
        fields = file.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def measure_slopes():
    """Control traffic, processor time and memory of an idle router and the time until a bundle is
    in force on all routers, by fleet size."""
    header("routers", "engines", "peer bytes sent per second", "log bytes sent", "probe bytes sent",
           "all received", "processor, % of a core", "memory MB",
           "bundle in force on all routers after ms")
    for routers, engines in ((3, 10), (9, 10), (9, 40)):
        with make_fleet("bounded", routers, engines) as fleet:
            time.sleep(4)
            before = control_byte_counters(fleet)
            cpu = sum(cpu_seconds(r["process"].popen.pid) for r in fleet.routers)
            time.sleep(10)
            rate = control_byte_rates(fleet, 10, before)
            cpu = sum(cpu_seconds(r["process"].popen.pid) for r in fleet.routers) - cpu
            memory = max(f.memory_mb(r["process"].popen.pid) for r in fleet.routers)
            bundle = fleet.bundle()
            bundle["teams"]["team-0"]["share"] = 77
            version = fleet.roll(bundle)
            f.wait_for(lambda: all(fleet.dump(r)["bundle"]["version"] == version
                                   for r in fleet.routers), "the roll")
            taken = [t["time_ms"] for r in fleet.routers
                     for t in fleet.dump(r)["bundle"]["taken"] if t["version"] == version]
            records = f.get_json(fleet.log_port, "/streams/bundles/records?from=%d" % version)
            at = records["records"][0]["time_ms"]
            row(routers, engines, "%.0f" % rate["peer_sent_bytes_total"],
                "%.0f" % rate["log_sent_bytes_total"], "%.0f" % rate["probe_sent_bytes_total"],
                "%.0f" % sum(v for n, v in rate.items() if "received" in n),
                "%.2f" % (cpu / 10 / routers * 100), "%.0f" % memory, max(taken) - at)


def measure_orders():
    """Latency of an order, which needs a claim in the log, compared with one append and one read of
    the log, and the appends per second."""
    header("routers", "orders per second", "done", "p50 ms", "p99 ms", "one append and read ms",
           "log appends per second", "most runs of one order")
    for routers, rate in ((9, 50), (9, 150)):
        with f.Fleet(routers=routers, engines=1, services=2, log_options=["--delay-ms", "5"],
                     ).start() as fleet:
            time.sleep(4)
            start = time.monotonic()
            for _ in range(20):
                offset = json.loads(f.request(fleet.log_port, "POST", "/streams/probe/records",
                                              "x")[2])["offset"]
                f.request(fleet.log_port, "GET", "/streams/probe/records?from=%d" % offset)
            append_read_ms = (time.monotonic() - start) / 20 * 1000
            before = f.get_json(fleet.log_port, "/fake/stats")["appends"]
            times, done, lock = [], [0], threading.Lock()

            def send(index):
                begin = time.monotonic()
                response = f.order(fleet.routers[index % routers]["port"], fleet.key("team-0"),
                                   f.order_key())
                with lock:
                    times.append((time.monotonic() - begin) * 1000)
                    done[0] += response is not None and response.outcome == "done"
            threads = []
            for index in range(rate * 8):
                thread = threading.Thread(target=send, args=(index,))
                thread.start()
                threads.append(thread)
                time.sleep(1.0 / rate)
            for thread in threads:
                thread.join()
            time.sleep(1)
            appends = f.get_json(fleet.log_port, "/fake/stats")["appends"] - before
            times.sort()
            row(routers, rate, "%d of %d" % (done[0], rate * 8), "%.0f" % times[len(times) // 2],
                "%.0f" % times[int(len(times) * 0.99)], "%.0f" % append_read_ms,
                "%.0f" % (appends / 8.0), max(fleet.runs().values()))


def measure_entries():
    """Cost of one router by the number of synthetic targets, peers and teams, up to the fleet
    size that the users asked for. All targets but two are further ids of these two; the peers never
    respond."""
    header("targets", "peers listed", "teams", "processor idle, % of a core", "memory MB",
           "first token p50 ms", "one new bundle: processor ms", "in force after ms",
           "draft record bytes")
    for targets, peers, teams in ((10, 0, 10), (520, 75, 2600), (2600, 379, 2600)):
        with f.Fleet(routers=1, engines=2, services=0, teams=4, engine_options=ENGINE,
                     workers=1024) as fleet:
            router = fleet.routers[0]
            for i in range(targets - 2):
                fleet.engines.append(dict(fleet.engines[i % 2], id="x%04d" % i))
            real_routers = [router]
            fleet.routers = real_routers + [dict(router, id="p%03d" % i, peers=9)
                                            for i in range(peers)]
            fleet.publish_vms()
            fleet.routers = real_routers
            bundle = fleet.bundle()
            for i in range(teams - 4):
                bundle["teams"]["t%04d" % i] = {"key_hash": "%064x" % (i + 1), "share": 10}
            fleet.version = fleet.roll(bundle)
            fleet.start_routers()
            time.sleep(3)
            pid = router["process"].popen.pid
            cpu = cpu_seconds(pid)
            time.sleep(10)
            idle_percent = (cpu_seconds(pid) - cpu) * 10
            all_engines = fleet.engines
            fleet.engines = fleet.engines[:2]
            r = bench(fleet, "--rate", 20, "--tokens", 10, "--seconds", 6, "--warmup", 1, "--seed",
                      SEED)
            fleet.engines = all_engines
            cpu, rolls, apply_ms = cpu_seconds(pid), 5, []
            for share in range(rolls):
                bundle["teams"]["team-0"]["share"] = 20 + share
                version = fleet.roll(bundle)
                f.wait_for(lambda: fleet.dump(router)["bundle"]["version"] == version, "the roll")
                records = f.get_json(fleet.log_port, "/streams/bundles/records?from=%d" % version)
                taken = [t["time_ms"] for t in fleet.dump(router)["bundle"]["taken"]
                         if t["version"] == version]
                apply_ms.append(taken[0] - records["records"][0]["time_ms"])
            cpu = (cpu_seconds(pid) - cpu) / rolls * 1000
            record = f.get_json(fleet.log_port,
                                "/streams/bundles/records?from=%d" % (version - 2))["records"][0]
            row(targets, peers, teams, "%.2f" % idle_percent, "%.0f" % f.memory_mb(pid),
                "%.1f" % r["short_first_ms"]["p50"], "%.0f" % cpu, max(apply_ms),
                len(record["data"]))


class TimedPaths(list):
    """Paths of requests, and the times at which they were received."""

    def __init__(self):
        super().__init__()
        self.times = []

    def append(self, path):
        super().append(path)
        self.times.append((time.monotonic(), path))

    def between(self, start, end):
        return [(at, path) for at, path in list(self.times) if start <= at < end]


class DrilledFleet(SeededFleet):
    """Routers and 12 servers on a store that comes back from a copy."""

    LOST_S = 5
    AWAY_S = 1
    SERVERS = 12
    WRITE_PERIOD_S = 1.2
    IDLE_ROUTES = 250

    def __init__(self, routers):
        super().__init__(routers, self.IDLE_ROUTES)
        network = self.ips[0].split(".")[1]
        self.ips = ["127.%s.%d.%d" % (network, n // 250, n % 250 + 1) for n in range(routers)]
        self.seeds = self.ips[:3]
        self.store.era = 1
        self.store.requested_paths = TimedPaths()
        for _ in range(self.SERVERS - 1):
            self.add_server()
        self.writes = threading.Event()
        self.writes.set()
        self.is_ended = False
        threading.Thread(target=self.write_entries, daemon=True).start()

    def __exit__(self, *unused):
        self.is_ended = True
        super().__exit__()

    def write_entries(self):
        while not self.is_ended:
            for server in self.servers:
                self.writes.wait()
                server.write("ready")
                time.sleep(self.WRITE_PERIOD_S / self.SERVERS)

    def start_all(self):
        for ip in self.ips:
            self.add_router(wait=False, ip=ip, seeds=self.seeds)
        for router in self.routers:
            f.wait_for(lambda: self.is_ready(router), "a router to be ready", 90)

    def write_version(self):
        self.configure(self.routes[:-1]
                       + [route("new", "/new-%d/" % self.version, "safe", "plain")])

    def drill(self):
        """Returns the time of the store's return."""
        returned = []

        def write():
            self.write_version()
            returned.append(time.monotonic())
        time.sleep(self.LOST_S)
        for _ in range(2):
            self.write_version()
            time.sleep(1.5)
        self.writes.clear()
        self.store.play_drill(self.LOST_S, self.AWAY_S, write=write)
        self.writes.set()
        return returned[0]


def router_metrics(ip):
    """Returns (version in force, least era of the topics read) of a router."""
    with socket.create_connection((ip, 9464), 2) as connection:
        connection.sendall(b"GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n")
        text = Message(connection.makefile("rb")).body.decode()
    values = {}
    for line in text.splitlines():
        name, _, value = line.rpartition(" ")
        values[name] = value
    eras = [int(values.get('limpetroad_topic_era{topic="%s"}' % topic, -1))
            for topic in ("keyed.op", "keyed.servers")]
    return int(values["limpetroad_configuration_version"]), min(eras)


def watch_routers(ips, version, era, seconds):
    """Returns for each quantity (version in force, era known) the routers that have it and the time
    at which the last of them was seen to; and the longest time between two looks at a router."""
    ends = [dict(), dict()]
    waiting = list(ips)
    longest_pass = 0
    until = time.monotonic() + seconds
    while waiting and time.monotonic() < until:
        started = time.monotonic()
        for ip in list(waiting):
            has = [known >= wanted for known, wanted in zip(router_metrics(ip), (version, era))]
            for known, end in zip(has, ends):
                if known:
                    end.setdefault(ip, time.monotonic())
            if all(has):
                waiting.remove(ip)
        time.sleep(0.05)
        longest_pass = max(longest_pass, time.monotonic() - started)
    return [(len(end), max(end.values(), default=0)) for end in ends] + [longest_pass]


def by_topic(values):
    return ", ".join("%s %s" % (topic.replace("keyed.", ""), "{:,}".format(value))
                     for topic, value in sorted(values.items()) if value)


def count_by_topic(calls):
    counts = {}
    for _, path in calls:
        topic = path.split("topic=")[1].split("&")[0]
        counts[topic] = counts.get(topic, 0) + 1
    return counts


def most_in_a_second(calls):
    times = sorted(at for at, _ in calls)
    return max((sum(start <= at < start + 1 for at in times) for start in times), default=0)


def measure_store_copy():
    """Calls and bytes of a store that comes back from a copy 5 s old after 1 s (12 servers, 55 KB a
    configuration, two versions lost, one new), and the time until all routers have the newest."""
    header("build", "routers", "MB a router", "calls in 5 s before", "calls in 5 s after the return",
           "bytes sent in these 5 s", "most calls in a second",
           "newest version in force, routers and last after s",
           "newest era known, routers and last after s", "s between looks at most",
           "stand-in's processor s in the 5 s")
    for routers in ROUTER_COUNTS:
        for build in BUILDS:
            f.BUILD = os.path.join(f.ROOT, build)
            row(build, routers, *store_copy_figures(routers))


def store_copy_figures(routers):
    watched_s = 20
    context = multiprocessing.get_context("spawn")
    with concurrent.futures.ProcessPoolExecutor(1, context) as pool, \
            DrilledFleet(routers) as fleet:
        pool.submit(int).result()
        fleet.start_all()
        fleet.wait_for_routers(routers)
        memory = max(f.memory_mb(r["process"].popen.pid) for r in fleet.routers)
        paths, store = fleet.store.requested_paths, fleet.store
        returned = fleet.drill()
        sent, processor_s = dict(store.sent_bytes), time.process_time()
        watch = pool.submit(watch_routers, fleet.ips, fleet.version, store.era, watched_s)
        time.sleep(max(0, returned + 5 - time.monotonic()))
        sent = {topic: size - sent.get(topic, 0) for topic, size in store.sent_bytes.items()}
        processor_s = time.process_time() - processor_s
        in_force, known, longest_pass = watch.result()
        gone = returned - DrilledFleet.AWAY_S
        calls = paths.between(returned, returned + 5)
        ends = ["%d, %.1f" % (count, last - returned) if count else "none in %d s" % watched_s
                for count, last in (in_force, known)]
        return ("%.1f" % memory, by_topic(count_by_topic(paths.between(gone - 5, gone))),
                by_topic(count_by_topic(calls)), by_topic(sent), most_in_a_second(calls), *ends,
                "%.2f" % longest_pass, "%.2f" % processor_s)


# Returns the measurement functions by the names that the command line takes.
def measure_names():
    return {n[len("measure_"):]: v for n, v in globals().items() if n.startswith("measure_")
            and n != "measure_names"}


def main():
    names = measure_names()
    for name in sys.argv[1:] or names:
        print("\n## %s\n\n%s Seed %d.\n" % (name, names[name].__doc__, SEED))
        start = time.monotonic()
        names[name]()
        print("\n(%.0f s)" % (time.monotonic() - start))


if __name__ == "__main__":
    main()
