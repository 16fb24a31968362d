"""A faulty server writes an earlier refusal once more on a kept connection."""

import time

from platform_fake import Platform, route
from run_all import table
from test_platform import check, stream_events

NOT_RUN = (408, 421, 429, 503)  # statuses that promise that the call did not run


# Returns a refusal; request_id: of the call that it names, None for a refusal without one.
def refusal(request_id, status=503):
    name = "Request-Id: %s\r\n" % request_id if request_id else ""
    return ("HTTP/1.1 %d X\r\n%sNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
            % (status, name)).encode()


class RefusingServers:
    """A router and two servers of each service, which refuse the first request on a connection.

    During the second one they write a refusal again, which names the first call or none, and
    run the second call. repeat(connection, data) writes the refusal."""

    def __init__(self, names_call, status, repeat):
        self.names_call = names_call
        self.status = status
        self.repeat = repeat
        self.refused = {}  # id of the call that was refused on each connection
        self.platform = Platform(
            routes=[route("safe", "/safe/", "safe", "plain", max_attempts=3),
                    route("unsafe", "/unsafe/", "unsafe", "plain", max_attempts=3),
                    route("stream", "/stream/", "streaming", "model", max_attempts=3)],
            start=False)

    def __enter__(self):
        self.servers = [self.platform.add_server(service, on_request=self.on_request)
                        for service in ("plain", "plain", "model", "model")]
        self.platform.start()
        return self

    def __exit__(self, *error):
        self.platform.__exit__(*error)

    def on_request(self, server, message, connection):
        request_id = message.fields["request-id"]
        if connection not in self.refused:
            self.refused[connection] = request_id
            connection.sendall(refusal(request_id))
            return True
        server.ran.append(request_id)
        self.repeat(connection, refusal(self.refused[connection] if self.names_call else None,
                                        self.status))
        time.sleep(0.1)
        if "stream" in message.line:
            stream_events(server, connection, message, 1, 3)
        else:
            server.reply(connection, message)
        return True

    def call_twice(self, path):
        """Returns the status of a call that is refused and of the next one, which runs, and how
        often the latter ran."""
        first = self.platform.call(path, "POST", body=b"")
        time.sleep(0.5)  # until the router tries the servers again
        second = self.platform.call(path, "POST", body=b"")
        runs = sum(server.ran.count(second.fields["request-id"]) for server in self.servers)
        return first.status, second.status, runs


def at_once(connection, data):
    connection.sendall(data)


def in_pieces(connection, data):
    for position in range(0, len(data), 20):
        connection.sendall(data[position:position + 20])
        time.sleep(0.005)


REPEATS = [("%s_%s_%s_%d" % (kind, name, repeat.__name__, status), "/%s/" % kind, name == "named",
            status, repeat)
           for kind in ("safe", "unsafe", "stream") for name in ("named", "unnamed")
           for repeat in (at_once, in_pieces) for status in (503, 421)]


@table(REPEATS)
def test_a_repeated_refusal_is_not_taken_for_the_refusal_of_the_next_call(path, names_call, status,
                                                                          repeat):
    with RefusingServers(names_call, status, repeat) as servers:
        first, second, runs = servers.call_twice(path)
        check(first == 503, first)
        check(runs > 0)
        check(second not in NOT_RUN, second)
        check(runs == 1 or path == "/safe/", runs)
        if names_call:
            check(second == 200, second)


@table([("503", 503), ("421", 421)])
def test_a_refusal_without_an_id_on_a_new_connection_counts(status):
    def on_request(server, message, connection):
        connection.sendall(refusal(None, status))
        return True

    with Platform(start=False) as platform:
        platform.add_server(on_request=on_request)
        platform.start()
        check(platform.call("/unsafe/", "POST", body=b"").status == 503)
