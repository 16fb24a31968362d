"""Targets in trouble that answer with a status code that does not exist (RFC 9110, section 15: 100 to 599)."""

import fleet as f
from platform_fake import Message, Platform
from run_all import table
from test_endless_bytes_own_interface import SERVICE, Pressure
from test_platform import check

INVALID = [(code, code) for code in ("000", "001", "099", "600", "999", "20", "0200", "2000")]


class InvalidAnswers(Pressure):
    """A router of the own interface before services that answer with a code."""

    def __init__(self, code):
        super().__init__("invalid")
        self.code = code
        self.runs = 0

    def respond(self, connection):
        message = Message(connection.makefile("rb"))
        self.runs += 1
        connection.sendall(("HTTP/1.1 %s X\r\nX-Attempt-Id: %s\r\nContent-Length: 4\r\n\r\ndone"
                            % (self.code, message.fields.get("x-attempt-id"))).encode())


@table(INVALID)
def test_an_answer_with_an_invalid_status_code_does_not_reach_the_caller(code):
    """Guards against an answer with status 000 that callers got as it was. It may have run: an unsafe call is not sent
    again, a safe one goes to another server."""
    def on_request(server, message, connection):
        server.ran.append(message.fields["request-id"])
        if message.line.startswith("GET") and len(platform.servers[0].ran) + len(platform.servers[1].ran) > 1:
            return False
        head = server.head(message, 200, "Content-Length: 4\r\n\r\n").replace(b"HTTP/1.1 200", b"HTTP/1.1 " + code.encode())
        connection.sendall(head + b"oops")
        return True

    with Platform(start=False) as platform:
        servers = [platform.add_server(on_request=on_request) for _ in range(2)]
        platform.start()
        response = platform.call("/unsafe/", "POST", body=b"x")
        check(response.status == 502 and "response-seal" not in response.fields, response.line)
        check(sum(len(server.ran) for server in servers) == 1)
        for server in servers:
            server.ran.clear()
        response = platform.call("/safe/")
        check(response.status == 200 and response.body == b"done", response.line, response.body)


@table(INVALID)
def test_an_answer_with_an_invalid_status_code_does_not_reach_a_caller_of_the_own_interface(code):
    """Guards against the same at the own interface."""
    with InvalidAnswers(code) as services:
        status, headers, body = f.request(services.router["port"], "POST", SERVICE, b"x",
                                          {"Authorization": "Bearer " + services.fleet.key("team-0")})
        check(status == 504 and headers["X-Outcome"] == "unknown" and services.runs > 0, status, headers, body)
