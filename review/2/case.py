"""Routers are killed while they pass on streams that have no length; see claim.txt."""

import os
import signal
import socket
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "lib"))
import standins as s

EVENTS = 40        # of each stream
EVENT_GAP_S = 0.1  # the routes of the sheets allow pauses of 200 ms and more
UNFRAMED = 20      # one answer in so many has no length: the share 0.05 of `garble` (unframed)
STREAMS = 40       # at each router


def event(number):
    return b"id: %d\ndata: piece %d of the answer\n\n" % (number, number)


def case(deployment, trouble):
    lock = threading.Lock()
    arrivals = []   # ids of all requests that servers run
    unframed = {}   # id of a request whose answer has no length -> number of events sent
    router_of = {}  # id of a request -> its router

    def stream(server, message, connection):
        """Sends EVENTS events, in chunks or, for one answer in UNFRAMED, without a length."""
        with lock:
            arrivals.append(message.id)
            has_length = len(arrivals) % UNFRAMED != 0
            if not has_length:
                unframed[message.id] = 0
        connection.sendall(server.head(
            message, "Content-Type: text/event-stream\r\n"
            + ("Transfer-Encoding: chunked\r\n" if has_length else "Connection: close\r\n")))
        for number in range(1, EVENTS + 1):
            data = event(number)
            connection.sendall(s.chunk(data) if has_length else data)
            if not has_length:
                unframed[message.id] = number
            time.sleep(EVENT_GAP_S)
        deployment.record.line("server %s has sent all of %s" % (server.id, message.id))
        if has_length:
            connection.sendall(b"0\r\n\r\n")
            return
        connection.shutdown(socket.SHUT_WR)
        raise OSError("the answer ends with the connection")

    def client(router, answer):
        request_id = s.new_id()
        router_of[request_id] = router
        answer.text = request_id
        try:
            with socket.create_connection(router.front, 1) as connection:
                deployment.record.line("client sends %s to %s" % (request_id, router.name))
                connection.sendall(s.request_head(
                    "POST", "/lohu930/x", request_id, 15000, b"prompt",
                    [("Model", "m"), ("Token-Usage", "1460,400"),
                     ("Prompt-Prefix", "5c1e07a2:800,%x:410,%s:250" % (hash(request_id) % 20,
                                                                       request_id[:8]))]))
                s.read_answer(connection, answer)
        except OSError as error:
            answer.end = "reset"
            deployment.record.line("client %s: %s" % (request_id, error))
        deployment.record.line(
            "client %s at %s: status %d, framing %s, %d of %d pieces, the answer is: %s"
            % (request_id, router.name, answer.status, answer.framing,
               answer.body.count(b"\n\n"), EVENTS, answer.end))

    for _ in range(18):
        deployment.add_server("model", stream, is_engine=True)
    deployment.configure([s.route("r-2yhvz3p", "/lohu930/", "streaming", "model")])
    time.sleep(0.5)
    deployment.start_routers()
    answers, threads = [], []
    for _ in range(STREAMS):
        for router in deployment.routers:
            answers.append(s.Answer())
            threads.append(threading.Thread(target=client, args=(router, answers[-1]),
                                            daemon=True))
            threads[-1].start()
            time.sleep(0.005)
    time.sleep(1)
    if not unframed:
        raise s.Broken("no stream without a length is under way")
    # One router of six, which passes on such a stream.
    victim = router_of[sorted(unframed)[0]]
    if trouble:
        victim.signal(signal.SIGKILL)
    for thread in threads:
        thread.join(30)
    whole = b"".join(event(number) for number in range(1, EVENTS + 1))
    sound = sum(a.status == 200 and a.end == "whole" and a.body == whole for a in answers)
    deployment.record.line("%d of %d streams were served, %d had no length"
                           % (sound, len(answers), len(unframed)))
    if sound < len(answers) - (STREAMS if trouble else 0):
        raise s.Broken("only %d of %d streams were served" % (sound, len(answers)))
    return ["%s: status 200 with seal, %d of %d pieces, and complete by its framing (%s)"
            % (a.text, a.body.count(b"\n\n"), EVENTS, a.framing) for a in answers
            if a.status == 200 and a.end == "whole" and a.body != whole
            and "response-seal" in a.fields]


case.routers = 6
s.run_case(case, FOLDER)
