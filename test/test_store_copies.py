"""The store comes back from a copy that lacks its newest records, and gives out their offsets again."""

import collections
import random
import signal
import subprocess
import threading
import time

import fleet as f
from platform_fake import Platform, ROUTES, route
from run_all import own_process, table
from test_crashing_parts import PartsFleet
from test_platform import check

ROUTERS = 3
APPLY_S = 2.0           # config_apply_ms and drain_ms
# In touch again this long after the store's return (stable_window_ms).
STABLE_S = 3.0
AWAY_S = 0.5
LONG_AWAY_S = 4.0
LOST_RESPONSES = 3 * ROUTERS    # of a read, and of its two repetitions, at each router
LOST_READ_S = 1.4               # until such a read has failed
LOST_S = 2.0
POLL_S = 0.05
SLOW_READS = 8
SLOW_S = 0.3            # time of each response of a slow store
ERA_METRIC = 'limpetroad_topic_era{topic="keyed.op"}'
KEPT_S = 1.5            # about the time that servers have to write their entries again
KEPT_VERSIONS = 8       # more than are written within APPLY_S
STALL_S = 0.2           # pauses of the test's process that are reported
MAX_NEWS = 30           # log lines of each router in a failure
# Log lines that tell how a router follows the store.
LOGGED_STEPS = ("step=era", "read_failed", "records_lost", "outdated_response", "caught_up",
                "state_taken", "state_refused", "announced_records_missing", "offset_not_found")


class CopiedStore(Platform):
    """Routers on a store whose records are numbered versions: each adds a route and a key and drops
    those of the version kept before it."""

    def __init__(self, routers=ROUTERS, era=1):
        super().__init__(routers=routers, start=False)
        self.store.era = era
        self.kept = 1
        self.add_server()
        self.add_server()
        self.number = 0
        self.written_at = {}
        self.start()
        self.wait_for_routers(routers)

    def write_version(self):
        self.number += 1
        kept = range(self.number - self.kept + 1, self.number + 1)
        self.configure(ROUTES + [route("new-%d" % n, "/new-%d/" % n, "safe", "plain") for n in kept],
                       keys=["key-1"] + ["key-of-%d" % n for n in kept])
        self.written_at[self.number] = time.monotonic()

    def write_versions(self, count):
        for _ in range(count):
            self.write_version()

    def write_versions_to_lose(self, count):
        """Writes versions that all routers have in force, and that a copy LOST_S old lacks."""
        settle_before_losses()
        self.write_versions(count)
        self.wait_for_version()

    def wait_for_version(self, limit_s=APPLY_S):
        for router in range(len(self.routers)):
            f.wait_for(lambda: self.metric("limpetroad_configuration_version", router)
                       == self.version, "the version at router %d" % router, limit_s)

    def wrong_answers(self, router, number):
        """Returns the answers of a router that another version than number decided."""
        wrong = []
        with self.client(router) as client:
            for path, key, wanted in (("/new-%d/" % number, "key-1", 200),
                                      ("/safe/", "key-of-%d" % number, 200),
                                      ("/new-%d/" % (number - self.kept), "key-1", 404),
                                      ("/safe/", "key-of-%d" % (number - self.kept), 401)):
                status = client.call(path, key=key).status
                if status != wanted:
                    wrong.append((router, path, key, status))
        return wrong

    def check_newest_is_in_force(self):
        wrong = [answer for router in range(len(self.routers))
                 for answer in self.wrong_answers(router, self.number)]
        check(not wrong, wrong)

    def use_all_servers(self, router):
        """Sends a router so many requests that all its servers get some."""
        with self.client(router) as client:
            for _ in range(20):
                client.call("/safe/")


def settle_before_losses():
    """Lets what was written so far be older than the copy."""
    time.sleep(LOST_S + 0.1)


@table([("%s_%d_lost_%d_written_again" % (name, lost, new), era, lost, new)
        for name, era in (("eras", 1), ("no_eras", None))
        for lost, new in ((1, 0), (1, 1), (2, 0), (2, 1), (3, 1), (3, 2), (4, 4))])
def test_versions_at_offsets_given_out_again_come_into_force(era, lost, new):
    """Guards against routers that skip records at offsets that they had read before the loss."""
    with CopiedStore(era=era) as platform:
        platform.write_version()
        platform.wait_for_version()
        settle_before_losses()
        platform.write_versions(lost)
        platform.wait_for_version()
        # Without eras, a router notices only if a read of its own fails.
        platform.store.play_drill(LOST_S, AWAY_S if era else 1.5,
                                  write=lambda: platform.write_versions(new))
        time.sleep(STABLE_S)
        platform.check_newest_is_in_force()


@table([("beyond_22_bits", 2 ** 22 - 1), ("unix_seconds", 1765000000), ("unix_milliseconds", 1765000000000)])
def test_versions_come_into_force_however_large_the_era_is(era):
    """Guards against a restoration that is not noticed since its era is beyond what a position holds."""
    with CopiedStore(era=era) as platform:
        platform.write_version()
        platform.wait_for_version()
        settle_before_losses()
        platform.write_versions(2)
        platform.wait_for_version()
        platform.store.play_drill(LOST_S, AWAY_S, write=lambda: platform.write_versions(1))
        time.sleep(STABLE_S)
        platform.check_newest_is_in_force()


@table([("refused", AWAY_S), ("not_seen", 0)])
def test_versions_come_into_force_after_a_short_absence_without_eras(away_s):
    """Guards against a loss that shows at no failed read of the configuration."""
    with CopiedStore(era=None) as platform:
        platform.write_version()
        platform.wait_for_version()
        settle_before_losses()
        platform.write_versions(2)
        platform.wait_for_version()
        platform.store.play_drill(LOST_S, away_s, write=lambda: platform.write_versions(1))
        time.sleep(STABLE_S)
        platform.check_newest_is_in_force()


@table([("%s_%s" % (how, time_of), how, time_of)
        for how in ("draining", "removed") for time_of in ("before", "after")])
def test_servers_that_leave_around_a_loss_get_no_requests(how, time_of):
    """Guards against a leaving that a router skips, or forgets because the copy lacks it."""
    with CopiedStore() as platform:
        leaving = platform.servers[0]
        settle_before_losses()
        for _ in range(3):
            platform.add_server()
        # Appended records that are lost, but for the newest of each server.
        for server in platform.servers[1:]:
            for _ in range(2):
                server.write("ready")
        for router in range(ROUTERS):
            f.wait_for(lambda: platform.metric('limpetroad_topic_end{topic="keyed.servers"}', router)
                       == len(platform.store.topics["keyed.servers"]), "the entries", APPLY_S)

        def leave():
            if how == "draining":
                leaving.write("draining")
            else:
                leaving.remove()

        if time_of == "before":
            leave()
            time.sleep(APPLY_S)
        written_again = ("keyed.op",) if time_of == "before" else ("keyed.op", "keyed.servers")
        platform.store.play_drill(APPLY_S + LOST_S, AWAY_S, written_again)
        if time_of == "after":
            leave()
            for server in platform.servers[1:] * 2:
                server.write("ready")
            time.sleep(STABLE_S)
        ran = len(leaving.ran)
        for router in range(ROUTERS):
            platform.use_all_servers(router)
        check(len(leaving.ran) == ran, len(leaving.ran), ran)


def test_a_server_that_the_copy_lacks_serves_on():
    """Guards against dropping a server whose entry is not written again yet."""
    with CopiedStore() as platform:
        settle_before_losses()
        newest = platform.add_server("sound")
        platform.configure([route("newest", "/newest/", "safe", "sound")])
        platform.wait_for_version()
        for router in range(ROUTERS):
            f.wait_for(lambda: platform.call("/newest/", router=router).status == 200,
                       "the server to be in use", APPLY_S)
        platform.store.play_drill(LOST_S, AWAY_S, ("keyed.op",))
        back_at = time.monotonic()
        statuses = set()
        while True:
            statuses.update(platform.call("/newest/", router=router).status
                            for router in range(ROUTERS))
            if time.monotonic() > back_at + KEPT_S:
                break  # the last answers may have come later
            check(statuses == {200}, statuses)
            time.sleep(POLL_S)
        newest.write("ready", newest.sequence)  # the same entry again
        time.sleep(STABLE_S)
        check(platform.call("/newest/").status == 200)


@table([("missing", None), ("negative", -4), ("not_a_number", "second"), ("empty", ""),
        ("lower", 2), ("too_large", 10 ** 30), ("fraction", "8.5")])
def test_an_odd_era_keeps_no_router_from_following(value):
    """Guards against routers that wait for ever, or end, because of an era that is none."""
    with CopiedStore(era=7) as platform:
        platform.write_version()
        platform.wait_for_version()
        platform.store.era = value
        for _ in range(3):
            platform.write_version()
            platform.wait_for_version()
        platform.store.era = 9
        platform.write_version()
        platform.wait_for_version()
        platform.check_newest_is_in_force()


@table([("reads_only", lambda path: "/log-read" in path),
        ("not_in_appends", lambda path: "/log-append" not in path),
        ("one_topic_only", lambda path: "topic=keyed.op" in path)])
def test_an_era_that_only_some_responses_name_is_no_series_of_losses(is_named):
    """Guards against a new era, reads and writes of all routers with each change of the kind of call."""
    with CopiedStore(era=7) as platform:
        platform.write_version()
        platform.wait_for_version()
        platform.store.names_era = is_named
        platform.store.era = 8
        time.sleep(LOST_S)  # one restoration, and the first response without an era, may be noticed
        began = [platform.metric("limpetroad_store_restorations_total", router)
                 for router in range(ROUTERS)]
        calls = len(platform.store.requested_paths)
        time.sleep(5)
        calls = len(platform.store.requested_paths) - calls
        ended = [platform.metric("limpetroad_store_restorations_total", router)
                 for router in range(ROUTERS)]
        check(ended == began, began, ended, calls)


def test_a_router_that_starts_in_a_drill_follows():
    """Guards against a state of before the loss that a router takes from another one."""
    with CopiedStore() as platform:
        platform.write_version()
        platform.wait_for_version()
        platform.write_versions_to_lose(3)
        drill = threading.Thread(target=platform.store.play_drill, args=(LOST_S, 1.0),
                                 kwargs={"write": lambda: platform.write_versions(2)})
        drill.start()
        platform.add_router(wait=False)
        drill.join()
        time.sleep(STABLE_S)
        platform.check_newest_is_in_force()


def test_routers_that_all_start_in_a_drill_follow():
    """Guards against a fleet that starts on the copy and stays with it."""
    with CopiedStore() as platform:
        platform.write_versions_to_lose(3)
        drill = threading.Thread(target=platform.store.play_drill, args=(LOST_S, 1.0),
                                 kwargs={"write": lambda: platform.write_versions(2)})
        drill.start()
        for router in platform.routers:
            router["process"].kill()
        platform.routers.clear()
        for _ in range(ROUTERS):
            platform.add_router(wait=False)
        drill.join()
        time.sleep(STABLE_S)
        platform.check_newest_is_in_force()
        platform.write_version()
        platform.wait_for_version()


def test_a_history_that_is_dropped_in_a_drill_is_no_loss_more():
    """Guards against a 410 that hides the new era."""
    with CopiedStore() as platform:
        platform.write_versions_to_lose(3)

        def write_and_drop():
            platform.write_versions(2)
            for topic in ("keyed.op", "keyed.servers"):
                platform.store.drop_history(topic)

        platform.store.play_drill(LOST_S, AWAY_S, write=write_and_drop)
        time.sleep(STABLE_S)
        platform.check_newest_is_in_force()


def test_a_lost_response_after_an_absence_is_soon_asked_for_again():
    """Guards against pauses of retries that go on growing after the store's return."""
    with CopiedStore() as platform:
        platform.write_version()
        platform.wait_for_version()

        def write():
            platform.write_version()
            platform.store.faulty_topic = "keyed.op"
            platform.store.faults = ["lost"] * LOST_RESPONSES

        platform.store.play_drill(LOST_S, LONG_AWAY_S, write=write)
        platform.wait_for_version(LOST_READ_S + 0.8)


def test_two_drills_in_a_row_are_followed():
    """Guards against a second loss while routers catch up after the first one."""
    with CopiedStore() as platform:
        platform.write_version()
        platform.wait_for_version()
        platform.write_versions_to_lose(3)
        platform.store.play_drill(LOST_S, AWAY_S)
        platform.write_versions(2)
        time.sleep(0.3)
        platform.store.play_drill(0.4, 0.2, write=lambda: platform.write_versions(1))
        time.sleep(STABLE_S)
        platform.check_newest_is_in_force()


def test_a_late_response_to_a_read_of_the_old_era_is_no_second_loss():
    """Guards against a read from an offset of the old era whose response, of the new one, counts as lost
    records because the state of another router was taken meanwhile."""
    with CopiedStore(routers=1) as platform:
        slow = platform.add_store()
        slow.era, slow.appended = platform.store.era, platform.store.appended
        platform.add_router(store=slow)
        platform.wait_for_routers(2)
        settle_before_losses()
        for server in platform.servers * 2:
            server.write("ready")
        platform.write_versions(2)
        platform.wait_for_version()
        slow.delay_s = 0.7
        time.sleep(1)  # reads that await their responses all the time
        platform.store.play_drill(LOST_S + 1.5, AWAY_S)
        slow.era = platform.store.era
        time.sleep(STABLE_S)
        eras = [platform.metric('limpetroad_topic_era{topic="keyed.op"}', router)
                for router in range(2)]
        check(eras == 2 * [platform.store.era], eras, platform.store.era)


def test_routers_register_again_after_their_records_were_lost():
    """Guards against routers that nobody finds any more after a loss."""
    with CopiedStore() as platform:
        f.wait_for(lambda: len(platform.store.topics.get("keyed.routers", ())) >= ROUTERS,
                   "the routers to register")
        platform.store.play_drill(60, AWAY_S)
        f.wait_for(lambda: {key for key, _ in platform.store.topics.get("keyed.routers", ())}
                   >= {"r%d" % router for router in range(ROUTERS)},
                   "the routers to register again")


def test_a_quarantined_part_is_known_after_a_loss_and_a_restart_of_all_routers():
    """Guards against records of the routers that are lost with the store's newest ones."""
    with PartsFleet() as fleet:
        platform = fleet.platform
        fleet.play(5)
        platform.store.play_drill(60, AWAY_S)
        f.wait_for(lambda: any(key.startswith("part:")
                               for key, _ in platform.store.topics.get("keyed.routers", ())),
                   "the record to be written again")
        for router in platform.routers:
            router["process"].kill()
        platform.routers.clear()
        for _ in range(ROUTERS):
            platform.add_router()
        time.sleep(STABLE_S)
        restarted_at = time.monotonic()
        fleet.play(5)
        check(fleet.arrivals_after(restarted_at) <= 3, fleet.arrivals_after(restarted_at))


def test_a_record_written_again_does_not_replace_a_newer_one():
    """Guards against an outdated record of a router that overwrites the one which was to replace it."""
    result = subprocess.run([f.program("test_liblimpetroad"), "--record-writer"],
                            capture_output=True, text=True, errors="replace")
    check(result.returncode == 0, result.stdout)


class DrillSeries:
    """Versions and servers that change, while the store comes back from copies again and again."""

    def __init__(self, platform, seed, lost_s, away_s, every_s=7, drills=3):
        self.platform, self.rng = platform, random.Random(seed)
        self.lost_s, self.away_s, self.every_s, self.drills = lost_s, away_s, every_s, drills
        platform.kept = KEPT_VERSIONS
        self.end = threading.Event()
        self.back_at = float("-inf")
        self.is_away = False
        self.right, self.wrong = 0, []
        self.not_judged = collections.Counter()  # polls by the reason why their answers do not count
        self.unanswered = []
        self.longest_poll_s = 0
        self.began_at = time.monotonic()
        self.polls = collections.Counter()  # by the second in which they ended
        self.stalls = []  # (seconds after the store's return, duration) of pauses of this process
        self.left = []  # (server, time when its leaving was acknowledged)
        self.runs_at_left = []
        self.disturbed = {}  # router → time from which it is in touch again

    def write(self):
        next_server_at = time.monotonic()
        while not self.end.wait(self.rng.uniform(0.35, 1.5)):
            if self.is_away:
                continue
            self.platform.write_version()
            if time.monotonic() > next_server_at:
                next_server_at = time.monotonic() + 1.1
                self.replace_server()

    def replace_server(self):
        """A server says that it leaves; it goes when the next one has left. Another one comes."""
        server = self.platform.servers[-2]
        self.platform.add_server()
        server.write("draining")
        if self.left:
            self.left[-1][0].remove()
        if not self.is_away:
            self.left.append((server, time.monotonic()))

    def is_in_touch(self, router, at):
        return (not self.is_away and at > self.back_at + STABLE_S
                and at > self.disturbed.get(router, 0))

    def poll(self, router):
        """Counts the answers of a router while all are in touch: each must be one that a version
        allows which was the newest at some time in the APPLY_S before."""
        versions = self.platform.written_at
        while not self.end.wait(POLL_S):
            began_at = time.monotonic()
            number = max((n for n, at in list(versions.items()) if at < began_at - APPLY_S), default=0)
            left = [(server, len(server.ran)) for server, at in list(self.left)
                    if at > self.back_at + STABLE_S and began_at > at + APPLY_S]
            try:
                wrong = self.platform.wrong_answers(router, number)
            except OSError as error:
                self.unanswered.append((router, round(began_at - self.back_at, 2), error))
                continue
            self.longest_poll_s = max(self.longest_poll_s, time.monotonic() - began_at)
            self.polls[int(time.monotonic() - self.began_at)] += 1
            is_kept = self.platform.number < number + self.platform.kept
            if not number or not is_kept or not self.are_all_in_touch(began_at):
                self.not_judged["not in touch" if number and is_kept else "versions dropped"] += 1
                continue
            self.runs_at_left += [(server.id, began_at - self.back_at) for server, ran in left
                                  if len(server.ran) > ran]
            self.right += 4 - len(wrong)
            self.wrong += [(began_at - self.back_at,) + answer for answer in wrong]

    def watch_stalls(self):
        last = time.monotonic()
        while not self.end.wait(POLL_S):
            now = time.monotonic()
            if now - last > STALL_S:
                self.stalls.append((round(now - self.back_at, 2), round(now - last, 2)))
            last = now

    def are_all_in_touch(self, at):
        return all(self.is_in_touch(router, at) for router in range(len(self.platform.routers)))

    def play(self, disturb=None):
        """disturb: is called again and again in a thread of its own."""
        threads = [threading.Thread(target=self.write), threading.Thread(target=self.watch_stalls)]
        threads += [threading.Thread(target=self.poll, args=(router,))
                    for router in range(len(self.platform.routers))]
        if disturb:
            threads.append(threading.Thread(target=disturb, args=(self,)))
        for thread in threads:
            thread.start()
        try:
            for _ in range(self.drills):
                time.sleep(self.every_s)
                self.is_away = True
                self.platform.store.play_drill(self.lost_s, self.away_s)
                self.back_at = time.monotonic()
                self.is_away = False
            time.sleep(self.every_s)
        finally:
            self.end.set()
            for thread in threads:
                thread.join()
        if not self.right or self.wrong or self.runs_at_left or self.unanswered:
            raise AssertionError(self.summary())

    def summary(self):
        """What tells a fault of the routers from one of this process."""
        at_routers = collections.defaultdict(list)
        for answer in self.wrong:
            at_routers[answer[1]].append(round(answer[0], 2))
        lines = ["%d right, %d wrong: %s" % (self.right, len(self.wrong), self.wrong[:5]),
                 "%d runs at servers that had left: %s" % (len(self.runs_at_left), self.runs_at_left[:5]),
                 "%d polls without an answer: %s" % (len(self.unanswered), self.unanswered[:5]),
                 "wrong answers (router: count, first and last, seconds after the return): %s"
                 % {router: (len(ages), min(ages), max(ages)) for router, ages in at_routers.items()},
                 "not judged: %s, longest poll %.2f s, stalls of this process: %s"
                 % (dict(self.not_judged), self.longest_poll_s, self.stalls),
                 "polls in each second: %s" % [self.polls[second] for second in range(max(self.polls) + 1)]]
        for number, router in enumerate(self.platform.routers):
            news = [line[16:] for line in self.platform.log(number).splitlines()
                    if any(step in line for step in LOGGED_STEPS)]
            lines.append("router %d, exit status %s, %d lines, the last ones:\n%s"
                         % (number, router["process"].popen.poll(), len(news), "\n".join(news[-MAX_NEWS:])))
        return "\n".join(lines)


def stand_still(series):
    """Stops the routers in turn, each for a moment."""
    while not series.end.wait(series.rng.uniform(0.05, 0.2)):
        process = series.rng.choice(series.platform.routers)["process"]
        process.signal(signal.SIGSTOP)
        time.sleep(series.rng.uniform(0.1, 0.5))
        process.signal(signal.SIGCONT)


@own_process
@table([("lost_6_s_away_2_s", 1, 6, 2, 1, None), ("lost_3_s_away_3_s", 2, 3, 3, 1, None),
        ("routers_that_stand_still", 3, 6, 2, 1, stand_still),
        ("no_eras", 4, 6, 2, None, None), ("slow_store", 5, 6, 2, 1, None, SLOW_S),
        ("no_eras_slow_store", 6, 6, 2, None, None, SLOW_S)])
def test_routers_follow_a_series_of_drills(seed, lost_s, away_s, era, disturb, delay_s=0):
    """Guards against what the other cases do not time: records that are lost, written again and added
    while the routers read and change."""
    with CopiedStore(routers=6, era=era) as platform:
        platform.store.delay_s = delay_s
        DrillSeries(platform, seed, lost_s, away_s).play(disturb)


def test_a_read_across_a_restoration_counts_no_further_era():
    """Guards against taking a response for one of the era that other routers told of during the read."""
    with CopiedStore() as platform:
        slow = platform.add_store()
        slow.era, slow.delay_s = platform.store.era, 0.6
        platform.add_router(store=slow)
        platform.wait_for_routers(ROUTERS + 1)
        for _ in range(SLOW_READS):
            platform.write_version()
            platform.wait_for_version(STABLE_S)
            platform.store.mode = "busy"  # so that the router with the slow store reads
            settle_before_losses()
            platform.write_versions(4)
            time.sleep(random.uniform(0.3, 1))
            with slow.lock:
                lost = platform.store.lose_newest(LOST_S)
                slow.era = platform.store.era
            for key, value in lost["keyed.op"]:
                platform.store.put("keyed.op", key, value)
            platform.store.mode = "ok"
            for router in range(ROUTERS + 1):
                f.wait_for(lambda: platform.metric(ERA_METRIC, router) >= platform.store.era,
                           "the era at router %d" % router, STABLE_S)
            platform.write_version()
            platform.wait_for_version(STABLE_S)
            for router in range(ROUTERS + 1):
                era = platform.metric(ERA_METRIC, router)
                check(era == platform.store.era, router, era, platform.store.era)
