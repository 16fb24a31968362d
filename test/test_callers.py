"""The HTTP interface for callers, tested with Python's own HTTP client."""

import json

import fleet as f
from run_all import table


def small_fleet(**options):
    return f.Fleet(routers=1, engines=2, services=1, **options).start()


BAD_CHATS = [
    ("not_json", "{", 400, "body:1"),
    ("not_object", "[1]", 400, "body: must be an object"),
    ("no_model", {"messages": [{"content": "a"}]}, 400, "model: must be a string"),
    ("other_model", {"model": "x", "messages": [{"content": "a"}]}, 404, "no model"),
    ("no_messages", {"model": f.MODEL}, 400, "messages"),
    ("empty_messages", {"model": f.MODEL, "messages": []}, 400, "messages"),
    ("message_without_content", {"model": f.MODEL, "messages": [{}]}, 400, "messages[0].content"),
    ("max_tokens_text", {"model": f.MODEL, "messages": [{"content": "a"}], "max_tokens": "9"}, 400,
     "max_tokens"),
    ("max_tokens_zero", {"model": f.MODEL, "messages": [{"content": "a"}], "max_tokens": 0}, 400,
     "max_tokens"),
    ("stream_text", {"model": f.MODEL, "messages": [{"content": "a"}], "stream": "yes"}, 400,
     "stream"),
    ("deep", "[" * 40 + "]" * 40, 400, "nesting"),
    ("too_long", "x" * (1024 * 1024 + 1), 413, "longer than"),
]


def test_invalid_chats_are_rejected_with_the_field():
    with small_fleet() as fleet:
        port = fleet.routers[0]["port"]
        good = {"Authorization": "Bearer " + fleet.key("team-0")}
        for name, body, code, text in BAD_CHATS:
            status, headers, response = f.request(port, "POST", "/v1/chat/completions", body, good)
            assert status == code, (name, status, response)
            error = json.loads(response)["error"]
            assert text in error["message"], (name, error)
            assert error["outcome"] == "not_run" and headers["X-Outcome"] == "not_run", name
        assert sum(fleet.stats(e)["served"] for e in fleet.engines) == 0


@table([("no_key", None), ("wrong_key", "Bearer nobody"), ("basic", "Basic a2V5")])
def test_requests_without_a_teams_key_are_rejected(header):
    with small_fleet() as fleet:
        headers = {"Authorization": header} if header else {}
        status, _, response = f.request(fleet.routers[0]["port"], "POST", "/v1/chat/completions",
                                        f.chat_body("a"), headers)
        assert status == 401 and json.loads(response)["error"]["type"] == "unauthorized"


def test_a_chat_without_streaming():
    with small_fleet() as fleet:
        status, headers, response = f.request(
            fleet.routers[0]["port"], "POST", "/v1/chat/completions",
            f.chat_body("tag", 20, stream=False),
            {"Authorization": "Bearer " + fleet.key("team-0")})
        message = json.loads(response)["choices"][0]["message"]["content"]
        assert status == 200 and message.split() == ["tag.%d" % i for i in range(20)]
        assert int(headers["X-Prompt-Tokens"]) > 0


def test_models_health_and_counters():
    with small_fleet() as fleet:
        router = fleet.routers[0]
        headers = {"Authorization": "Bearer " + fleet.key("team-0")}
        models = json.loads(f.request(router["port"], "GET", "/v1/models", headers=headers)[2])
        assert [m["id"] for m in models["data"]] == [f.MODEL]
        assert f.request(router["port"], "GET", "/healthz")[0] == 200
        assert f.request(router["port"], "GET", "/readyz")[0] == 200
        assert fleet.counters(router)["chats_total"] == 0
        assert fleet.dump(router)["state"] == "ready"
