"""Tests the HTTP interface for callers on a fleet of processes."""

import json

import pytest

from tools import fleet as tool

RULES = """service booking floor=1slots # Karin
route booking GET /look timeout=3s # Karin
route booking GET /slow timeout=300ms # Karin
route booking POST /home once=home timeout=3s # Jonas
route booking POST /claim once=claim timeout=3s # Jonas
route empty GET /empty # Karin
service empty floor=0slots # Karin
limit greedy rate=1/min burst=1 # Karin
"""
VMS = [tool.VmPlan("a1", "a"), tool.VmPlan("b1", "b")]
SERVERS = [tool.ServerPlan("booking", "a", 1, 2)]
NOT_RUN = "not-run"
OUTCOME_UNKNOWN = "outcome-unknown"
SLOW_S = 1.0


@pytest.fixture(scope="module")
def fleet():
    with tool.run_fleet(VMS, SERVERS, RULES) as started:
        yield started


@pytest.mark.parametrize("vm_number", [0, 1], ids=["owner", "one forward"])
@pytest.mark.parametrize(
    ("method", "path", "headers", "body", "status", "outcome"),
    [
        ("GET", "/look?day=3", {}, b"", 200, None),
        ("GET", "/missing", {}, b"", 404, NOT_RUN),
        ("POST", "/look", {}, b"", 404, NOT_RUN),
        ("POST", "/home", {}, b"x", 428, NOT_RUN),
        ("POST", "/home", {"Idempotency-Key": "no-token"}, b"x", 428, NOT_RUN),
        ("POST", "/home", {"Idempotency-Key": "z.1.1/x"}, b"x", 504, OUTCOME_UNKNOWN),
        ("POST", "/claim", {}, b"x", 428, NOT_RUN),
        ("POST", "/claim", {}, b"x" * (2 << 20), 413, NOT_RUN),
        ("GET", "/empty", {}, b"", 503, NOT_RUN),
        ("GET", "/look", {"Request-Timeout": "0.0009"}, b"", 503, NOT_RUN),
    ],
)
def test_each_answer_and_refusal_has_its_status_and_headers(
    fleet, vm_number, method, path, headers, body, status, outcome
):
    address = fleet.vms[vm_number].caller_address
    reply = tool.send_request(address, method, path, body, headers)
    assert reply.status == status
    assert reply.headers.get("burdockhitch-outcome") == outcome
    if outcome is None:
        assert json.loads(reply.body)["path"] == path
        return
    document = json.loads(reply.body)
    assert reply.headers["content-type"] == "application/problem+json"
    assert reply.headers["proxy-status"].startswith("burdockhitch; error=")
    assert (document["status"], document["outcome"]) == (status, outcome)


@pytest.mark.parametrize("vm_number", [0, 1], ids=["owner", "one forward"])
def test_a_request_answered_after_its_timeout_is_outcome_unknown(fleet, vm_number):
    [server] = fleet.servers
    slow_behaviour = {"service_time_s": SLOW_S}
    tool.put_json(server.address, "/standin/behaviour", slow_behaviour)
    reply = tool.send_request(fleet.vms[vm_number].caller_address, "GET", "/slow")
    tool.put_json(server.address, "/standin/behaviour", {"service_time_s": 0.005})
    assert reply.status == 504
    assert reply.headers["burdockhitch-outcome"] == OUTCOME_UNKNOWN


def test_an_account_over_its_rate_limit_gets_a_retry_after_header(fleet):
    headers = {"Caller-Account": "greedy"}
    address = fleet.vms[0].caller_address
    replies = [
        tool.send_request(address, "GET", "/look", None, headers) for _ in range(3)
    ]
    assert [reply.status for reply in replies] == [200, 429, 429]
    assert int(replies[1].headers["retry-after"]) > 0


@pytest.mark.parametrize("zone", ["a", "b", ""])
def test_home_tokens_of_offered_addresses_are_accepted(fleet, zone):
    path = f"/.well-known/burdockhitch/addresses/booking?zone={zone}"
    document = tool.get_json(fleet.vms[0].caller_address, path)
    zones = [offer["zone"] for offer in document["addresses"]]
    assert zones[0] == (zone or "a")
    assert document["revision"] == 1
    for offer in document["addresses"]:
        headers = {"Idempotency-Key": f"{offer['home']}/seat{zone}{offer['zone']}"}
        reply = tool.send_request(offer["address"], "POST", "/home", b"x", headers)
        assert reply.status == 200
