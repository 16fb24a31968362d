"""make demo: runs a small fleet, sends chats of several turns and stops it in order.

Prints how many of the later turns found at least half of their prompt in the engine's cache.
"""

import sys

import fleet as f


def main():
    with f.Fleet(routers=3, engines=4, services=1, idempotent=True) as fleet:
        fleet.start()
        print("3 routers, 4 engines, 1 plain service; bundle version %d is in force"
              % fleet.version)
        later_turns, cached, turns = 0, 0, 4
        for number in range(12):
            history = ""
            for turn in range(turns):
                router = fleet.routers[(number + turn) % 3]
                tag = "chat%d-%d" % (number, turn)
                response = f.chat(router["port"], fleet.key("team-0"), tag, 24, "chat-%d" % number,
                                  history)
                assert response.is_complete(tag, 24), response.error
                if number == 0 and turn == 0:
                    print("answer: " + " ".join(response.tokens))
                if turn > 0:
                    later_turns += 1
                    prompt = int(response.headers["X-Prompt-Tokens"])
                    cached += int(response.headers["X-Cached-Tokens"]) >= prompt // 2
                history += tag + " " + " ".join(response.tokens) + " "
        print("later turns that found their prompt prefix in a cache: %d of %d"
              % (cached, later_turns))
        served = [fleet.stats(e)["served"] for e in fleet.engines]
        print("requests per engine: %s" % served)
        status, _, body = f.request(fleet.routers[0]["port"], "POST", "/v1/services/booking/free",
                                    {"kit": "gloves"},
                                    {"Authorization": "Bearer " + fleet.key("team-0")})
        print("plain service: %d %s" % (status, body))
        codes = [r["process"].terminate() for r in fleet.routers]
        print("routers stopped; exit codes %s" % codes)
        return 0 if codes == [0, 0, 0] else 1


if __name__ == "__main__":
    sys.exit(main())
