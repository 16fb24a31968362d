"""Peer keys, key file permissions and TLS for callers."""

import json
import os
import ssl
import subprocess
import tempfile
import http.client

import fleet as f


def peer_keys(directory, name):
    """Creates a CURVE key pair; returns the settings with the paths of its files."""
    secret, public = os.path.join(directory, name + ".key"), os.path.join(directory, name + ".pub")
    out = subprocess.run([f.program("limpetctl"), "peer-keygen", secret], capture_output=True,
                         text=True, check=True).stdout
    with open(public, "w") as file:
        file.write(out)
    return {"peer_key_file": secret, "peer_public_keys_file": public}


def alive_peers(fleet, router):
    return sorted(p["name"] for p in fleet.dump(router)["peers"]["list"] if p["alive"])


def test_only_routers_with_the_fleets_key_exchange_gossip():
    with tempfile.TemporaryDirectory() as directory:
        good, other = peer_keys(directory, "fleet"), peer_keys(directory, "other")
        with f.Fleet(routers=3, engines=1, extra_settings=good) as fleet:
            other_router = fleet.routers[2]
            fleet.extra_settings = other
            fleet.write_settings(other_router)
            fleet.start()
            f.wait_for(lambda: alive_peers(fleet, fleet.routers[0]) == ["r01"],
                       "r00 to receive gossip from r01")
            f.wait_for(lambda: alive_peers(fleet, fleet.routers[1]) == ["r00"],
                       "r01 to receive gossip from r00")
            assert alive_peers(fleet, other_router) == []
            assert fleet.counters(other_router)["digests_received_total"] == 0
            version = fleet.roll(dict(fleet.bundle(), models={f.MODEL: {}, "b": {}}))
            f.wait_for(lambda: fleet.dump(other_router)["bundle"]["version"] == version,
                       "the bundle from the log")


def test_key_files_open_to_others_are_rejected():
    with tempfile.TemporaryDirectory() as directory:
        keys = peer_keys(directory, "fleet")
        os.chmod(keys["peer_key_file"], 0o644)
        with f.Fleet(routers=1, engines=1, extra_settings=keys) as fleet:
            output = fleet.run([f.program("limpetroadd"), "--check-settings",
                                fleet.routers[0]["settings"]], 2)
            assert "peer_key_file" in output and "open to others" in output


def test_callers_over_tls():
    with tempfile.TemporaryDirectory() as directory:
        path = os.path.join(directory, "callers.pem")
        subprocess.run(["openssl", "req", "-x509", "-newkey", "rsa:2048", "-nodes", "-keyout", path,
                        "-out", path + ".crt", "-subj", "/CN=127.0.0.1", "-days", "2"], check=True,
                       capture_output=True)
        with open(path, "a") as key, open(path + ".crt") as certificate:
            key.write(certificate.read())
        os.chmod(path, 0o600)
        with f.Fleet(routers=1, engines=1) as fleet:
            router = fleet.routers[0]
            with open(router["settings"]) as file:
                settings = json.loads(file.read().split("\n", 1)[1])
            settings["callers"]["tls_certificate_file"] = path
            with open(router["settings"], "w") as file:
                json.dump(settings, file)
            fleet.version = fleet.roll(fleet.bundle())
            fleet.start_router(router, wait=False)
            f.wait_for(lambda: fleet.dump(router)["state"] == "ready", "the router", 10)
            context = ssl.create_default_context(cafile=path + ".crt")
            context.check_hostname = False
            connection = http.client.HTTPSConnection("127.0.0.1", router["port"], context=context,
                                                     timeout=20)
            connection.request("POST", "/v1/chat/completions",
                               json.dumps(f.chat_body("tag", 8)),
                               {"Authorization": "Bearer " + fleet.key("team-0")})
            tokens, done, _ = f.read_events(connection.getresponse())
            assert done and tokens == ["tag.%d" % i for i in range(8)]
            connection.close()
            try:
                status = f.request(router["port"], "GET", "/readyz")[0]
            except (OSError, http.client.HTTPException):
                status = None
            assert status != 200, "the TLS port served a plaintext request"
