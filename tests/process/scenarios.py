"""Tests with real processes and injected faults.

Each function of SCENARIOS is one test, starts its own fleet, and says in its
name what must hold. usage: scenarios.py [SCENARIO...]
"""
import json
import pathlib
import signal
import sys
import threading
import time
import traceback
from http.client import HTTPConnection

import answer_scenarios
import brittle_scenarios
import broken_answer_scenarios
import broken_daemon_answer_scenarios
import broken_store_answer_scenarios
import broken_stream_scenarios
import configuration_scenarios
import crowd_scenarios
import delayed_stop_scenarios
import drain_scenarios
import drill_scenarios
import entry_scenarios
import evacuation_scenarios
import limit_scenarios
import old_list_scenarios
import platform_scenarios
import pool_scenarios
import prompt_scenarios
import recover_scenarios
import release_scenarios
import request_scenarios
import shutdown_scenarios
import statement_scenarios
import version_scenarios
from harness import (Fleet, client_tls_context, create_certificates, http,
                     new_request_key, wait_until)

AUTHORIZATION = {"Authorization": "Bearer key-ring"}
TICKET_OPTIONS = {"tickets": True, "retries": 3, "streams": 6}


def possibly_billed_tokens(result):
    """Returns the tokens of sales with unknown outcome, one token each."""
    return len(result["unknown_keys"])


def assert_executed_as_reported(fleet, *results):
    """Compares the executions of sales with what the callers were told.

    No sale may be executed twice. Sales reported as not executed must not be
    executed, successful ones exactly once.
    """
    executions = fleet.executions_by_key()
    for result in results:
        for name in ("ok_keys", "unknown_keys", "not_run_keys"):
            for key in result[name]:
                assert executions.get(key, 0) <= 1, (key, executions[key])
        for key in result["not_run_keys"]:
            assert executions.get(key, 0) == 0, (
                "reported as not executed, but was executed: " + key)
        for key in result["ok_keys"]:
            assert executions.get(key, 0) == 1, (
                "reported as successful, but was not executed once: " + key)


def kill_a_daemon_under_load():
    """Two of four daemons are killed during streams and sales.

    Guards against incomplete streams, sales executed twice or reported
    wrongly, and bills that are lost with a killed daemon.
    """
    with Fleet() as fleet:
        streams = fleet.load("words", "stream", seconds=8, streams=6, rate=60,
                             retries=20)
        sales = fleet.load("sales", seconds=8, rate=60, seed=2,
                           **TICKET_OPTIONS)
        time.sleep(2)
        fleet.kill("daemon-0")
        time.sleep(2)
        fleet.kill("daemon-2")
        stream_result, sales_result = streams.result(), sales.result()
        assert stream_result["broken_answers"] == 0
        assert set(stream_result["outcomes"]) == {"ok"}, (
            stream_result["outcomes"])
        assert_executed_as_reported(fleet, sales_result)
        fleet.assert_billed("ring",
                            stream_result["tokens"] + sales_result["tokens"],
                            possibly_billed_tokens(sales_result))
        fleet.assert_no_violations()


def a_paused_home_finds_itself_sealed():
    """A home is paused for 8 s, so that its witness seals its grants.

    Guards against a resumed home that still spends the sealed grants, which
    would be overspend, or drops bills.
    """
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
        fleet.assert_billed("ring", result["tokens"])
        fleet.assert_no_violations()


def a_platform_outage_stops_nothing_that_has_money():
    """Requests continue on open grants while the platform is unavailable.

    Only a sale with a request key of the caller is refused, because the key
    must be claimed in the log first. Guards against requests that wait for
    the log, and against such a sale that is executed without a claim.
    """
    with Fleet() as fleet:
        load = fleet.load("lookups", seconds=14, rate=60, streams=8,
                          retries=20)
        time.sleep(4)
        fleet.control(fleet.platform, outage=1)
        time.sleep(2)
        key = new_request_key(1)
        refused = http("POST", fleet.url("daemon-0") + "/services/sales/x",
                       "{}", {**AUTHORIZATION, "Idempotency-Key": key})
        assert refused.status == 503, refused.body
        assert refused.error()["kind"] == "claim_unavailable"
        assert refused.error()["ran"] == "no"
        assert int(refused.headers["Retry-After"]) > 0
        sale = http("POST", fleet.url("daemon-0") + "/services/sales/x", "{}",
                    AUTHORIZATION)
        assert sale.status == 200, sale.body
        time.sleep(3)
        fleet.control(fleet.platform, outage=0)
        result = load.result()
        assert set(result["outcomes"]) == {"ok"}, result["outcomes"]
        assert fleet.executions_by_key().get(key, 0) == 0
        fleet.assert_billed("ring", result["tokens"] + 1)
        fleet.assert_no_violations()


def lost_answers_of_the_log_bill_once():
    """The log stores each record, but 40 % of its responses are lost.

    Guards against billing twice when a daemon appends a batch again.
    """
    with Fleet() as fleet:
        fleet.control(fleet.platform, lose_percent=40)
        load = fleet.load("lookups", seconds=8, rate=80, streams=8, retries=30)
        result = load.result()
        fleet.control(fleet.platform, lose_percent=0)
        assert set(result["outcomes"]) == {"ok"}, result["outcomes"]
        fleet.assert_billed("ring", result["tokens"])
        fleet.assert_no_violations()


def claimed_keys_run_once_at_several_daemons():
    """All daemons get sales with the same request keys concurrently.

    Guards against two daemons that both execute one key. The others must
    return the stored response or "already_running".
    """
    with Fleet() as fleet:
        names = list(fleet.daemons)
        answers_by_key = {}
        lock = threading.Lock()

        def send_sale(name, key):
            answer = http("POST", fleet.url(name) + "/services/sales/bid",
                          "{}", {**AUTHORIZATION, "Idempotency-Key": key})
            with lock:
                answers_by_key.setdefault(key, []).append(answer)
        keys = [new_request_key(n + 1) for n in range(30)]
        threads = [threading.Thread(target=send_sale, args=(name, key))
                   for key in keys for name in names]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        executions = fleet.executions_by_key()
        for key in keys:
            assert executions.get(key, 0) == 1, (key, executions.get(key, 0))
            kinds = [a.error()["kind"] for a in answers_by_key[key]
                     if a.status != 200]
            assert set(kinds) <= {"already_running"}, kinds
        fleet.assert_billed("ring", len(keys))


def a_ticket_of_a_dead_daemon_is_unknown_never_not_run():
    """A request with a ticket of a killed daemon has an unknown outcome.

    Only the daemon that issued a ticket knows its executions. Guards against
    another daemon that reports "not run" for a sale that was executed, and
    against a second execution while the issuer still runs.
    """
    with Fleet(zones=1) as fleet:
        ticket = http("POST", fleet.url("daemon-0") + "/v1/tickets", "",
                      AUTHORIZATION).json()["tickets"][0]
        headers = {**AUTHORIZATION, "Idempotency-Key": ticket}
        first = http("POST", fleet.url("daemon-1") + "/services/sales/x", "{}",
                     headers)
        assert first.status == 200, first.body
        duplicate = http("POST", fleet.url("daemon-0") + "/services/sales/x",
                         "{}", headers)
        assert duplicate.status == 200 and duplicate.body == first.body
        assert duplicate.headers["X-Tamarack-Repeat"] == "true"
        fleet.kill("daemon-0")
        lost = http("POST", fleet.url("daemon-1") + "/services/sales/x", "{}",
                    headers)
        assert lost.error()["kind"] == "outcome_unknown", lost.body
        assert lost.error()["ran"] == "unknown"
        assert fleet.executions_by_key()[ticket] == 1


def a_broken_answer_of_a_sale_is_unknown():
    """The services disconnect during half of their responses to sales.

    Guards against reporting such a sale as not executed, and against sending
    it to a second endpoint.
    """
    with Fleet(zones=1) as fleet:
        for url in fleet.services:
            fleet.control(url, cut_percent=50)
        result = fleet.load("sales", seconds=5, rate=60,
                            **TICKET_OPTIONS).result()
        assert_executed_as_reported(fleet, result)
        assert result["unknown_keys"], "no answer was cut"
        fleet.assert_billed("ring", result["tokens"])


def a_truncated_body_is_not_passed_off_as_whole():
    """The services disconnect in the middle of chunked bodies.

    Guards against forwarding a truncated body as a complete response, and
    against billing it.
    """
    with Fleet(zones=1, daemons=1) as fleet:
        for url in fleet.services:
            fleet.control(url, chunk_cut_percent=100)
        lookup = http("GET", fleet.url("daemon-0") + "/services/lookups/x",
                      None, AUTHORIZATION)
        assert lookup.error()["kind"] == "endpoint_failed", lookup.body
        sale = http("POST", fleet.url("daemon-0") + "/services/sales/x", "{}",
                    AUTHORIZATION)
        assert sale.error()["kind"] == "outcome_unknown", sale.body
        fleet.assert_billed("ring", 0)


def a_graceful_stop_cuts_nothing_and_returns_grants():
    """Daemons that get SIGTERM complete their streams and return all grants.

    Guards against streams that break at the stop, and against tokens that
    stay in the grants of stopped daemons.
    """
    with Fleet(zones=1) as fleet:
        streams = fleet.load("words", "stream", seconds=10, streams=6,
                             tokens=300, retries=20)
        time.sleep(3)
        fleet.signal("daemon-0", signal.SIGTERM)
        assert fleet.processes["daemon-0"].wait(60) == 0
        result = streams.result()
        assert set(result["outcomes"]) == {"ok"}, result["outcomes"]
        assert result["broken_answers"] == 0
        fleet.assert_billed("ring", result["tokens"])
        log = (fleet.folder / "daemon-0.log").read_text()
        assert "could not be returned" not in log
        fleet.signal("daemon-1", signal.SIGTERM)
        assert fleet.processes["daemon-1"].wait(60) == 0
        row = fleet.balance("ring")
        assert row["granted"] == 0 and row["open_grants"] == 0, row


def a_leaving_endpoint_gets_no_new_work():
    """An endpoint starts to refuse requests because it is leaving.

    Guards against daemons that go on sending requests to the endpoint.
    """
    with Fleet(zones=1, engines=3) as fleet:
        load = fleet.load("words", "stream", seconds=9, streams=4, rate=60,
                          retries=10)
        time.sleep(2)
        fleet.control(fleet.engines[0], leaving=1)
        result = load.result()
        assert set(result["outcomes"]) == {"ok"}, result["outcomes"]
        # A daemon knows that the endpoint is leaving after the first refusal
        # at the latest. So at most one request of each of the 4 concurrent
        # streams may still be refused, of some 400 requests that follow.
        assert fleet.stats(fleet.engines[0])["refused"] <= 4


def a_drain_by_configuration_takes_effect_everywhere():
    """An endpoint is marked as draining in the configuration under load.

    Guards against a daemon that still chooses the endpoint although it uses
    the new version.
    """
    with Fleet() as fleet:
        load = fleet.load("words", "stream", seconds=9, streams=4, rate=60,
                          retries=10)
        time.sleep(2)
        document = fleet.document()
        document["endpoints"][0]["draining"] = True
        fleet.publish(document)
        wait_until(lambda: all(fleet.status(n)["config_version"] == 2
                               for n in fleet.daemons), "version in force")
        time.sleep(1)  # Requests that began with the old version are sent.
        executions = fleet.stats(fleet.engines[0])["runs"]
        result = load.result()
        assert set(result["outcomes"]) == {"ok"}, result["outcomes"]
        assert fleet.stats(fleet.engines[0])["runs"] == executions


def cut_streams_resume_or_fail_but_are_never_mixed():
    """One engine disconnects in streams, one sends events of another stream.

    Guards against streams that are passed on with missing, duplicate or
    foreign events: each must be completed by resumption or end in an error.
    """
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
        fleet.assert_billed("ring", result["tokens"])


def a_budget_runs_out_exactly():
    """Four daemons spend one budget to the last token.

    Guards against overspend, against requests refused while another daemon
    holds unspent tokens, and against a topup that counts twice when the
    operator retries it with the same id.
    """
    tokens = {"ring": 300, "other": 1000}
    with Fleet(tokens=tokens) as fleet:
        result = fleet.load("lookups", streams=8, requests=400,
                            seconds=60).result()
        assert result["outcomes"].get("ok", 0) == 300, result["outcomes"]
        assert result["outcomes"].get("budget_exhausted", 0) == 100
        fleet.assert_billed("ring", 300)
        fleet.ctl("budget", "topup", "ring", "--tokens", "50", "--id", "t1")
        fleet.ctl("budget", "topup", "ring", "--tokens", "50", "--id", "t1")
        after_topup = fleet.load("lookups", streams=8, requests=100,
                                 seconds=60).result()
        assert after_topup["outcomes"].get("ok", 0) == 50, (
            after_topup["outcomes"])
        fleet.assert_billed("ring", 350)


def a_reduction_below_what_is_granted_is_made_good():
    """A budget is reduced while daemons hold grants for most of it.

    Guards against overspend from grants that were opened before: no more may
    be billed than is prepaid after the reduction.
    """
    with Fleet(tokens={"ring": 5000}) as fleet:
        fleet.load("lookups", streams=4, rate=100, seconds=4).result()
        before = fleet.balance("ring")
        fleet.ctl("budget", "reduce", "ring", "--tokens", "4900")
        wait_until(lambda: fleet.balance("ring")["pending_reduction"] == 0 or
                   fleet.balance("ring")["billed"] >= 100, "reduction")
        result = fleet.load("lookups", streams=4, requests=300,
                            seconds=30).result()
        row = fleet.balance("ring")
        assert row["billed"] <= row["prepaid"], (before, row,
                                                 result["outcomes"])
        fleet.assert_no_violations()


def operators_race_and_one_wins():
    """Four operators publish different configurations concurrently.

    Guards against two changes that are both accepted for one version: each
    change is accepted as the next version or refused with exit status 4, and
    all daemons end with the same configuration.
    """
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
    """A change with another base version or digest than reviewed is refused.

    Guards against publishing something else than the operator has reviewed.
    """
    with Fleet(daemons=1, zones=1) as fleet:
        document = fleet.document(services=[{"name": "lookups", "price": 9}])
        stale = fleet.publish(document, check=False, flags=("--base", "7"))
        assert stale.returncode == 4, stale.stderr
        wrong = fleet.publish(document, check=False, flags=("--digest", "ab"))
        assert wrong.returncode == 4, wrong.stderr
        assert fleet.status("daemon-0")["config_version"] == 1


def a_restart_without_the_platform_takes_the_peers_configuration():
    """A daemon restarts while the platform is unavailable.

    Guards against a daemon that becomes ready only with the platform, or
    with an older configuration than its peer.
    """
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
    """A daemon restarts after the log has dropped its oldest records.

    Guards against a ledger state that lacks the dropped records: the daemon
    must start from a checkpoint.
    """
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
        fleet.assert_billed("ring", first["tokens"] + second["tokens"])
        fleet.assert_no_violations()


def bad_input_gets_a_clear_error():
    """Invalid requests get the error kind that names the mistake.

    Guards against crashes, wrong error kinds, and a rejected body that is
    taken for the next request on its connection.
    """
    with Fleet(zones=1, daemons=1) as fleet:
        url = fleet.url("daemon-0")
        chat = url + "/v1/chat/completions"
        good = {"model": "words", "messages": [{"role": "user",
                                                "content": "x"}]}

        def kind(answer, status):
            """Checks the status and returns the error kind."""
            assert answer.status == status, (answer.status, answer.body)
            return answer.error()["kind"]

        def post(body, headers=AUTHORIZATION, to=chat):
            return http("POST", to, body, headers)
        assert kind(post("{}", {}), 401) == "unauthorized"
        unknown = {"Authorization": "Bearer nobody"}
        assert kind(post("{}", unknown), 401) == "unauthorized"
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
        long_key = {**AUTHORIZATION, "Idempotency-Key": "k" * 500}
        assert kind(post(json.dumps(good), long_key), 400) == "invalid_request"
        without_time = {**AUTHORIZATION, "Idempotency-Key": "no time in here"}
        assert kind(post("{}", without_time, url + "/services/sales/x"),
                    400) == "key_without_time"
        expired = {**AUTHORIZATION, "Idempotency-Key": "k1-1000-1"}
        assert kind(post("{}", expired, url + "/services/sales/x"),
                    409) == "key_expired"
        port = fleet.daemons["daemon-0"][1]
        connection = HTTPConnection("127.0.0.1", port, timeout=30)
        connection.request("POST", "/v1/completions",
                           b"GET /x HTTP/1.1\r\n\r\n")
        assert connection.getresponse().read().find(b"unauthorized") > 0
        connection.request("GET", "/healthz")
        assert connection.getresponse().read() == b"ok\n"
        deadline = {**AUTHORIZATION, "X-Deadline-Ms": "soon"}
        assert kind(post("{}", deadline, url + "/services/lookups/x"),
                    400) == "invalid_request"
        assert post(json.dumps({**good, "max_tokens": 4})).status == 200
        fleet.assert_no_violations()


def unreadable_records_are_skipped_and_shown():
    """Each stream of the log contains a record that cannot be decoded.

    Guards against daemons that stop at such a record, and against a record
    that is skipped without being counted.
    """
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
    """Requests above the rate limit are refused with the time to retry after.

    Guards against refusals that do not say when a retry can succeed, or do
    not say that the request was not executed.
    """
    with Fleet(zones=1, daemons=1,
               limits={"requests_per_second": 5}) as fleet:
        answers = [http("GET", fleet.url("daemon-0") + "/services/lookups/x",
                        None, AUTHORIZATION) for _ in range(30)]
        limited = [a for a in answers if a.status == 429]
        assert limited
        for answer in limited:
            assert answer.error()["retry_after_ms"] > 0
            assert answer.error()["ran"] == "no"


def callers_that_leave_settle_their_reservation():
    """Callers disconnect in the middle of streams.

    Guards against generation that continues without a caller, and against
    reservations that are never settled: after the stop no tokens may stay
    granted, and only generated tokens are billed.
    """
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
    """Daemons serve requests with TLS towards callers and peers.

    Guards against TLS settings that are accepted but prevent daemons from
    serving callers or from reaching their peers.
    """
    import pathlib
    import tempfile
    files = create_certificates(pathlib.Path(tempfile.mkdtemp()))
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
    context = client_tls_context(files["ca.pem"])
    fleet.url = lambda name: f"https://127.0.0.1:{fleet.daemons[name][1]}"

    def wait_https(url, status=200):
        def responds():
            try:
                return http("GET", url, context=context).status == status
            except OSError:
                return False
        wait_until(responds, url)
    wait_plain_http = fleet.wait_http
    fleet.wait_http = lambda url, status=200: (
        wait_https(url, status) if url.startswith("https")
        else wait_plain_http(url, status))
    fleet.status = lambda name: http(
        "GET", fleet.url(name) + "/admin/status", context=context).json()
    with fleet:
        for name in fleet.daemons:
            answer = http("GET", fleet.url(name) + "/services/lookups/x", None,
                          AUTHORIZATION, context=context)
            assert answer.status == 200, answer.body
        fleet.assert_billed("ring", 2)


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
] + (platform_scenarios.SCENARIOS + shutdown_scenarios.SCENARIOS
     + delayed_stop_scenarios.SCENARIOS + prompt_scenarios.SCENARIOS
     + limit_scenarios.SCENARIOS + request_scenarios.SCENARIOS
     + drill_scenarios.SCENARIOS + configuration_scenarios.SCENARIOS
     + version_scenarios.SCENARIOS + statement_scenarios.SCENARIOS
     + entry_scenarios.SCENARIOS + pool_scenarios.SCENARIOS
     + answer_scenarios.SCENARIOS + evacuation_scenarios.SCENARIOS
     + crowd_scenarios.SCENARIOS + broken_answer_scenarios.SCENARIOS
     + broken_stream_scenarios.SCENARIOS
     + broken_store_answer_scenarios.SCENARIOS
     + broken_daemon_answer_scenarios.SCENARIOS
     + drain_scenarios.SCENARIOS + recover_scenarios.SCENARIOS
     + brittle_scenarios.SCENARIOS + old_list_scenarios.SCENARIOS
     + release_scenarios.SCENARIOS)


def read_known_red():
    """Returns the names of the tests that KNOWN-RED.txt lists."""
    path = pathlib.Path(__file__).resolve().parents[2] / "KNOWN-RED.txt"
    if not path.exists():
        return set()
    return {line.split(":", 1)[1].strip()
            for line in path.read_text().splitlines()
            if line.startswith("test:")}


def main():
    names = sys.argv[1:]
    unknown = set(names) - {s.__name__ for s in SCENARIOS}
    if unknown:
        sys.exit(f"no such scenario: {', '.join(sorted(unknown))}")
    known_red = read_known_red()
    failed = []
    known_red_count = 0
    selected = [s for s in SCENARIOS if not names or s.__name__ in names]
    for scenario in selected:
        started = time.monotonic()
        try:
            scenario()
            verdict = "ok  "
        except Exception:
            traceback.print_exc()
            if scenario.__name__ in known_red:
                verdict = "RED "  # Listed in KNOWN-RED.txt.
                known_red_count += 1
            else:
                failed.append(scenario.__name__)
                verdict = "FAIL"
        print(f"{verdict} {scenario.__name__} "
              f"({time.monotonic() - started:.0f} s)", flush=True)
    if known_red_count:
        print(f"known red: {known_red_count}")
    print(f"process: {len(selected) - len(failed) - known_red_count} passed, "
          f"{len(failed)} failed")
    sys.exit(1 if failed else 0)


main()
