"""Whole-process tests under failure. Each scenario starts its own fleet."""
import json
import pathlib
import signal
import sys
import threading
import time
import traceback
from http.client import HTTPConnection

import platform_scenarios
from harness import (Fleet, certificates, http, key_now, trusting, wait_until)

KEY = {"Authorization": "Bearer key-ring"}
TICKET_LOAD = {"tickets": True, "retries": 3, "streams": 6}


def unknown_tokens(result):
    return len(result["unknown_keys"])


def check_single_runs(fleet, *results):
    """At most one run a key, and nothing called not run has run."""
    runs = fleet.runs_by_key()
    for result in results:
        for name in ("ok_keys", "unknown_keys", "not_run_keys"):
            for key in result[name]:
                assert runs.get(key, 0) <= 1, (key, runs[key])
        for key in result["not_run_keys"]:
            assert runs.get(key, 0) == 0, "called not run, but ran: " + key
        for key in result["ok_keys"]:
            assert runs.get(key, 0) == 1, "called done, but did not run"


def kill_a_daemon_under_load():
    with Fleet() as fleet:
        streams = fleet.load("words", "stream", seconds=8, streams=6, rate=60,
                             retries=20)
        sales = fleet.load("sales", seconds=8, rate=60, seed=2, **TICKET_LOAD)
        time.sleep(2)
        fleet.kill("daemon-0")
        time.sleep(2)
        fleet.kill("daemon-2")
        words, sold = streams.result(), sales.result()
        assert words["broken_answers"] == 0
        assert set(words["outcomes"]) == {"ok"}, words["outcomes"]
        check_single_runs(fleet, sold)
        fleet.assert_money("ring", words["tokens"] + sold["tokens"],
                           unknown_tokens(sold))
        fleet.assert_no_violations()


def a_paused_home_finds_itself_sealed():
    with Fleet(zones=1, daemons=3) as fleet:
        urls = ",".join(fleet.url(n) for n in ("daemon-1", "daemon-2"))
        load = fleet.load("lookups", urls=urls, seconds=18, rate=60, streams=8,
                          retries=20)
        time.sleep(3)
        fleet.signal("daemon-0", signal.SIGSTOP)
        time.sleep(8)
        fleet.signal("daemon-0", signal.SIGCONT)
        result = load.result()
        assert set(result["outcomes"]) == {"ok"}, result["outcomes"]
        fleet.assert_money("ring", result["tokens"])
        fleet.assert_no_violations()


def a_platform_outage_stops_nothing_that_has_money():
    with Fleet() as fleet:
        load = fleet.load("lookups", seconds=14, rate=60, streams=8,
                          retries=20)
        time.sleep(4)
        fleet.control(fleet.platform, outage=1)
        time.sleep(2)
        key = key_now(1)
        refused = http("POST", fleet.url("daemon-0") + "/services/sales/x",
                       "{}", {**KEY, "Idempotency-Key": key})
        assert refused.status == 503, refused.body
        assert refused.error()["kind"] == "claim_unavailable"
        assert refused.error()["ran"] == "no"
        assert int(refused.headers["Retry-After"]) > 0
        sold = http("POST", fleet.url("daemon-0") + "/services/sales/x", "{}",
                    KEY)
        assert sold.status == 200, sold.body
        time.sleep(3)
        fleet.control(fleet.platform, outage=0)
        result = load.result()
        assert set(result["outcomes"]) == {"ok"}, result["outcomes"]
        assert fleet.runs_by_key().get(key, 0) == 0
        fleet.assert_money("ring", result["tokens"] + 1)
        fleet.assert_no_violations()


def lost_answers_of_the_log_bill_once():
    with Fleet() as fleet:
        fleet.control(fleet.platform, lose_percent=40)
        load = fleet.load("lookups", seconds=8, rate=80, streams=8, retries=30)
        result = load.result()
        fleet.control(fleet.platform, lose_percent=0)
        assert set(result["outcomes"]) == {"ok"}, result["outcomes"]
        fleet.assert_money("ring", result["tokens"])
        fleet.assert_no_violations()


def claimed_keys_run_once_at_several_daemons():
    with Fleet() as fleet:
        names = list(fleet.daemons)
        outcomes = {}
        lock = threading.Lock()

        def ask(name, key):
            answer = http("POST", fleet.url(name) + "/services/sales/bid",
                          "{}", {**KEY, "Idempotency-Key": key})
            with lock:
                outcomes.setdefault(key, []).append(answer)
        keys = [key_now(n + 1) for n in range(30)]
        threads = [threading.Thread(target=ask, args=(name, key))
                   for key in keys for name in names]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        runs = fleet.runs_by_key()
        for key in keys:
            assert runs.get(key, 0) == 1, (key, runs.get(key, 0))
            kinds = [a.error()["kind"] for a in outcomes[key]
                     if a.status != 200]
            assert set(kinds) <= {"already_running"}, kinds
        fleet.assert_money("ring", len(keys))


def a_ticket_of_a_dead_daemon_is_unknown_never_not_run():
    with Fleet(zones=1) as fleet:
        ticket = http("POST", fleet.url("daemon-0") + "/v1/tickets", "",
                      KEY).json()["tickets"][0]
        headers = {**KEY, "Idempotency-Key": ticket}
        first = http("POST", fleet.url("daemon-1") + "/services/sales/x", "{}",
                     headers)
        assert first.status == 200, first.body
        again = http("POST", fleet.url("daemon-0") + "/services/sales/x", "{}",
                     headers)
        assert again.status == 200 and again.body == first.body
        assert again.headers["X-Tamarack-Repeat"] == "true"
        fleet.kill("daemon-0")
        lost = http("POST", fleet.url("daemon-1") + "/services/sales/x", "{}",
                    headers)
        assert lost.error()["kind"] == "outcome_unknown", lost.body
        assert lost.error()["ran"] == "unknown"
        assert fleet.runs_by_key()[ticket] == 1


def a_broken_answer_of_a_sale_is_unknown():
    with Fleet(zones=1) as fleet:
        for url in fleet.services:
            fleet.control(url, cut_percent=50)
        result = fleet.load("sales", seconds=5, rate=60,
                            **TICKET_LOAD).result()
        check_single_runs(fleet, result)
        assert result["unknown_keys"], "no answer was cut"
        fleet.assert_money("ring", result["tokens"])


def a_truncated_body_is_not_passed_off_as_whole():
    with Fleet(zones=1, daemons=1) as fleet:
        for url in fleet.services:
            fleet.control(url, chunk_cut_percent=100)
        lookup = http("GET", fleet.url("daemon-0") + "/services/lookups/x",
                      None, KEY)
        assert lookup.error()["kind"] == "endpoint_failed", lookup.body
        sale = http("POST", fleet.url("daemon-0") + "/services/sales/x", "{}",
                    KEY)
        assert sale.error()["kind"] == "outcome_unknown", sale.body
        fleet.assert_money("ring", 0)


def a_graceful_stop_cuts_nothing_and_returns_grants():
    with Fleet(zones=1) as fleet:
        streams = fleet.load("words", "stream", seconds=10, streams=6,
                             tokens=300, retries=20)
        time.sleep(3)
        fleet.signal("daemon-0", signal.SIGTERM)
        assert fleet.processes["daemon-0"].wait(60) == 0
        result = streams.result()
        assert set(result["outcomes"]) == {"ok"}, result["outcomes"]
        assert result["broken_answers"] == 0
        fleet.assert_money("ring", result["tokens"])
        log = (fleet.folder / "daemon-0.log").read_text()
        assert "could not be returned" not in log
        fleet.signal("daemon-1", signal.SIGTERM)
        assert fleet.processes["daemon-1"].wait(60) == 0
        row = fleet.balance("ring")
        assert row["granted"] == 0 and row["open_grants"] == 0, row


def a_leaving_endpoint_gets_no_new_work():
    with Fleet(zones=1, engines=3) as fleet:
        load = fleet.load("words", "stream", seconds=9, streams=4, rate=60,
                          retries=10)
        time.sleep(2)
        fleet.control(fleet.engines[0], leaving=1)
        result = load.result()
        assert set(result["outcomes"]) == {"ok"}, result["outcomes"]
        # A daemon learns it from the first refusal at the latest: at most one
        # request of each stream may still ask, of some 400 that follow.
        assert fleet.stats(fleet.engines[0])["refused"] <= 4


def a_drain_by_configuration_takes_effect_everywhere():
    with Fleet() as fleet:
        load = fleet.load("words", "stream", seconds=9, streams=4, rate=60,
                          retries=10)
        time.sleep(2)
        document = fleet.document()
        document["endpoints"][0]["draining"] = True
        fleet.publish(document)
        wait_until(lambda: all(fleet.status(n)["config_version"] == 2
                               for n in fleet.daemons), "version in force")
        time.sleep(1)  # For requests that had read the version before.
        runs = fleet.stats(fleet.engines[0])["runs"]
        result = load.result()
        assert set(result["outcomes"]) == {"ok"}, result["outcomes"]
        assert fleet.stats(fleet.engines[0])["runs"] == runs


def cut_streams_resume_or_fail_but_are_never_mixed():
    with Fleet(zones=1, engines=3) as fleet:
        fleet.control(fleet.engines[0], cut_after=15)
        fleet.control(fleet.engines[1], foreign=1)
        result = fleet.load("words", "stream", seconds=6, streams=6, rate=60,
                            tokens=40, retries=20).result()
        assert result["broken_answers"] == 0, result["outcomes"]
        assert result["outcomes"].get("ok", 0) > 0
        assert set(result["outcomes"]) <= {"ok", "answer_incomplete",
                                           "endpoint_failed"}
        assert fleet.stats(fleet.engines[0])["resumed"] > 0
        fleet.assert_money("ring", result["tokens"])


def a_budget_runs_out_exactly():
    tokens = {"ring": 300, "other": 1000}
    with Fleet(tokens=tokens) as fleet:
        result = fleet.load("lookups", streams=8, requests=400,
                            seconds=60).result()
        assert result["outcomes"].get("ok", 0) == 300, result["outcomes"]
        assert result["outcomes"].get("budget_exhausted", 0) == 100
        fleet.assert_money("ring", 300)
        fleet.ctl("budget", "topup", "ring", "--tokens", "50", "--id", "t1")
        fleet.ctl("budget", "topup", "ring", "--tokens", "50", "--id", "t1")
        more = fleet.load("lookups", streams=8, requests=100,
                          seconds=60).result()
        assert more["outcomes"].get("ok", 0) == 50, more["outcomes"]
        fleet.assert_money("ring", 350)


def a_reduction_below_what_is_granted_is_made_good():
    with Fleet(tokens={"ring": 5000}) as fleet:
        fleet.load("lookups", streams=4, rate=100, seconds=4).result()
        spent = fleet.balance("ring")
        fleet.ctl("budget", "reduce", "ring", "--tokens", "4900")
        wait_until(lambda: fleet.balance("ring")["pending_reduction"] == 0 or
                   fleet.balance("ring")["billed"] >= 100, "reduction")
        rest = fleet.load("lookups", streams=4, requests=300,
                          seconds=30).result()
        row = fleet.balance("ring")
        assert row["billed"] <= row["prepaid"], (spent, row, rest["outcomes"])
        fleet.assert_no_violations()


def operators_race_and_one_wins():
    with Fleet() as fleet:
        results = []
        documents = [fleet.document(services=[{"name": "lookups",
                                               "price": price}])
                     for price in (2, 3, 4, 5)]
        threads = [threading.Thread(
            target=lambda d=d: results.append(fleet.publish(d, check=False)))
            for d in documents]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        codes = sorted(done.returncode for done in results)
        assert codes.count(0) >= 1 and set(codes) <= {0, 4}, codes
        accepted = codes.count(0)
        shown = json.loads(fleet.ctl("--json", "show").stdout)
        assert shown["version"] == 1 + accepted
        wait_until(lambda: all(
            fleet.status(n)["config_digest"] == shown["digest"]
            for n in fleet.daemons), "one digest everywhere")


def a_stale_review_is_refused():
    with Fleet(daemons=1, zones=1) as fleet:
        document = fleet.document(services=[{"name": "lookups", "price": 9}])
        stale = fleet.publish(document, check=False, flags=("--base", "7"))
        assert stale.returncode == 4, stale.stderr
        wrong = fleet.publish(document, check=False, flags=("--digest", "ab"))
        assert wrong.returncode == 4, wrong.stderr
        assert fleet.status("daemon-0")["config_version"] == 1


def a_restart_without_the_platform_takes_the_peers_configuration():
    with Fleet(zones=1) as fleet:
        fleet.publish(fleet.document(services=[{"name": "lookups"}]))
        version = json.loads(fleet.ctl("--json", "show").stdout)["version"]
        wait_until(lambda: fleet.status("daemon-1")["config_version"] ==
                   version, "version in force")
        fleet.kill("daemon-0")
        fleet.control(fleet.platform, outage=1)
        peer = f"tcp://127.0.0.1:{fleet.daemons['daemon-1'][2]}"
        fleet.start_daemon("daemon-0", ["--peers", peer])
        fleet.wait_ready("daemon-0")
        assert fleet.status("daemon-0")["config_version"] == version


def a_trimmed_log_is_read_from_checkpoints():
    flags = ["--checkpoint-records", "20"]
    with Fleet(daemon_flags=flags) as fleet:
        first = fleet.load("lookups", streams=4, rate=60, seconds=12,
                           retries=10).result()
        fleet.control(fleet.platform, retain=60)
        fleet.kill("daemon-0")
        fleet.start_daemon("daemon-0")
        fleet.wait_ready("daemon-0")
        second = fleet.load("lookups", streams=4, rate=60, seconds=8, seed=2,
                            retries=20).result()
        assert set(second["outcomes"]) == {"ok"}, second["outcomes"]
        fleet.assert_money("ring", first["tokens"] + second["tokens"])
        fleet.assert_no_violations()


def bad_input_gets_a_clear_error():
    with Fleet(zones=1, daemons=1) as fleet:
        url = fleet.url("daemon-0")
        chat = url + "/v1/chat/completions"
        good = {"model": "words", "messages": [{"role": "user",
                                                "content": "x"}]}

        def kind(answer, status):
            assert answer.status == status, (answer.status, answer.body)
            return answer.error()["kind"]

        def post(body, headers=KEY, to=chat):
            return http("POST", to, body, headers)
        assert kind(post("{}", {}), 401) == "unauthorized"
        wrong = {"Authorization": "Bearer nobody"}
        assert kind(post("{}", wrong), 401) == "unauthorized"
        for body in ("", "{", "[]", "{}", "nonsense", "[" * 5000,
                     json.dumps({"model": "words", "messages": []}),
                     json.dumps({"model": "words", "messages": "x"}),
                     json.dumps({**good, "max_tokens": 0}),
                     json.dumps({**good, "max_tokens": "many"}),
                     json.dumps({**good, "max_tokens": 10 ** 30}),
                     json.dumps({**good, "n": 2}),
                     json.dumps({**good, "stream": "yes"})):
            assert kind(post(body), 400) == "invalid_request", body
        assert kind(post(json.dumps({**good, "model": "none"})),
                    404) == "unknown_model"
        assert kind(post("{}", to=url + "/services/none/x"),
                    404) == "unknown_service"
        assert kind(post("{}", to=url + "/elsewhere"), 404) == "not_found"
        assert kind(post("x" * 2_000_000), 413) == "body_too_large"
        long_key = {**KEY, "Idempotency-Key": "k" * 500}
        assert kind(post(json.dumps(good), long_key), 400) == "invalid_request"
        odd = {**KEY, "Idempotency-Key": "no time in here"}
        assert kind(post("{}", odd, url + "/services/sales/x"),
                    400) == "key_without_time"
        old = {**KEY, "Idempotency-Key": "k1-1000-1"}
        assert kind(post("{}", old, url + "/services/sales/x"),
                    409) == "key_expired"
        port = fleet.daemons["daemon-0"][1]
        kept = HTTPConnection("127.0.0.1", port, timeout=30)
        kept.request("POST", "/v1/completions", b"GET /x HTTP/1.1\r\n\r\n")
        assert kept.getresponse().read().find(b"unauthorized") > 0
        kept.request("GET", "/healthz")
        assert kept.getresponse().read() == b"ok\n"
        deadline = {**KEY, "X-Deadline-Ms": "soon"}
        assert kind(post("{}", deadline, url + "/services/lookups/x"),
                    400) == "invalid_request"
        assert post(json.dumps({**good, "max_tokens": 4})).status == 200
        fleet.assert_no_violations()


def unreadable_records_are_skipped_and_shown():
    with Fleet(zones=1, daemons=2) as fleet:
        for stream in ("ledger-0", "ledger-1", "ledger-2", "ledger-3",
                       "config"):
            http("POST", f"{fleet.platform}/log/{stream}", b"\xff\x00nonsense")
        result = fleet.load("lookups", streams=2, requests=50,
                            seconds=20).result()
        assert set(result["outcomes"]) == {"ok"}, result["outcomes"]
        shown = json.loads(fleet.ctl("--json", "show").stdout)
        assert shown["unreadable"] == 1
        assert "1 unreadable" in fleet.ctl("budget", "balance").stderr
        wait_until(lambda: sum(
            s["unreadable"] for s in fleet.status("daemon-0")["streams"]) +
            sum(s["unreadable"] for s in fleet.status("daemon-1")["streams"])
            > 0, "unreadable records in the status")


def a_limit_answers_at_once_with_when_to_come_back():
    with Fleet(zones=1, daemons=1,
               limits={"requests_per_second": 5}) as fleet:
        answers = [http("GET", fleet.url("daemon-0") + "/services/lookups/x",
                        None, KEY) for _ in range(30)]
        limited = [a for a in answers if a.status == 429]
        assert limited
        for answer in limited:
            assert answer.error()["retry_after_ms"] > 0
            assert answer.error()["ran"] == "no"


def callers_that_leave_settle_their_reservation():
    with Fleet(zones=1, daemons=1) as fleet:
        import socket
        port = fleet.daemons["daemon-0"][1]
        body = json.dumps({"model": "words", "stream": True,
                           "max_tokens": 2000, "messages": [
                               {"role": "user", "content": "x"}]})
        for _ in range(5):
            with socket.create_connection(("127.0.0.1", port)) as caller:
                caller.sendall((
                    "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n"
                    "Authorization: Bearer key-ring\r\n"
                    f"Content-Length: {len(body)}\r\n\r\n{body}").encode())
                caller.recv(200)
        wait_until(lambda: fleet.status("daemon-0")["in_flight"] == 0,
                   "requests of callers that left")
        assert fleet.stats(fleet.engines[0])["tokens"] < 5 * 2000
        fleet.signal("daemon-0", signal.SIGTERM)
        assert fleet.processes["daemon-0"].wait(60) == 0
        row = fleet.balance("ring")
        assert row["granted"] == 0, row
        assert 0 < row["billed"] < 5 * 2000, row


def links_are_encrypted_when_keys_are_set():
    import pathlib
    import tempfile
    files = certificates(pathlib.Path(tempfile.mkdtemp()))
    flags = []
    for prefix in ("peer", "http", "client"):
        flags += [f"--{prefix}-tls-cert", files["own.pem"],
                  f"--{prefix}-tls-key", files["own.key"],
                  f"--{prefix}-tls-ca", files["ca.pem"]]
    fleet = Fleet(zones=1, daemons=2)
    fleet.start_daemon = lambda name, extra=(): fleet.start(
        name, ["tamarackd", "--instance", name, "--zone",
               fleet.daemons[name][0], "--http-port",
               str(fleet.daemons[name][1]), "--peer-url",
               f"tls+tcp://127.0.0.1:{fleet.daemons[name][2]}",
               "--platform-url", fleet.platform] + flags)
    context = trusting(files["ca.pem"])
    fleet.url = lambda name: f"https://127.0.0.1:{fleet.daemons[name][1]}"

    def answers(url, status=200):
        def ready():
            try:
                return http("GET", url, context=context).status == status
            except OSError:
                return False
        wait_until(ready, url)
    plain = fleet.wait_http
    fleet.wait_http = lambda url, status=200: (
        answers(url, status) if url.startswith("https") else plain(url,
                                                                   status))
    fleet.status = lambda name: http(
        "GET", fleet.url(name) + "/admin/status", context=context).json()
    with fleet:
        for name in fleet.daemons:
            answer = http("GET", fleet.url(name) + "/services/lookups/x", None,
                          KEY, context=context)
            assert answer.status == 200, answer.body
        fleet.assert_money("ring", 2)


SCENARIOS = [
    kill_a_daemon_under_load,
    a_paused_home_finds_itself_sealed,
    a_platform_outage_stops_nothing_that_has_money,
    lost_answers_of_the_log_bill_once,
    claimed_keys_run_once_at_several_daemons,
    a_ticket_of_a_dead_daemon_is_unknown_never_not_run,
    a_broken_answer_of_a_sale_is_unknown,
    a_truncated_body_is_not_passed_off_as_whole,
    a_graceful_stop_cuts_nothing_and_returns_grants,
    a_leaving_endpoint_gets_no_new_work,
    a_drain_by_configuration_takes_effect_everywhere,
    cut_streams_resume_or_fail_but_are_never_mixed,
    a_budget_runs_out_exactly,
    a_reduction_below_what_is_granted_is_made_good,
    operators_race_and_one_wins,
    a_stale_review_is_refused,
    a_restart_without_the_platform_takes_the_peers_configuration,
    a_trimmed_log_is_read_from_checkpoints,
    bad_input_gets_a_clear_error,
    unreadable_records_are_skipped_and_shown,
    a_limit_answers_at_once_with_when_to_come_back,
    callers_that_leave_settle_their_reservation,
    links_are_encrypted_when_keys_are_set,
] + platform_scenarios.SCENARIOS


def known_red():
    """Names of the tests that KNOWN-RED.txt lists."""
    path = pathlib.Path(__file__).resolve().parents[2] / "KNOWN-RED.txt"
    if not path.exists():
        return set()
    return {line.split(":", 1)[1].strip()
            for line in path.read_text().splitlines()
            if line.startswith("test:")}


def main():
    wanted = sys.argv[1:]
    red = known_red()
    failed = []
    red_count = 0
    run = [s for s in SCENARIOS if not wanted or s.__name__ in wanted]
    for scenario in run:
        started = time.monotonic()
        try:
            scenario()
            verdict = "ok  "
        except Exception:
            traceback.print_exc()
            if scenario.__name__ in red:
                verdict = "RED "  # Listed in KNOWN-RED.txt.
                red_count += 1
            else:
                failed.append(scenario.__name__)
                verdict = "FAIL"
        print(f"{verdict} {scenario.__name__} "
              f"({time.monotonic() - started:.0f} s)", flush=True)
    if red_count:
        print(f"known red: {red_count}")
    print(f"process: {len(run) - len(failed) - red_count} passed, "
          f"{len(failed)} failed")
    sys.exit(1 if failed else 0)


main()
