"""Tests of the command ``why``."""

import json

import pytest

LOAD = {"load": [4, 9, 4], "slowness": 2.0, "slowness_age_s": 0.01}
CHOICE = {
    "zone": "z1",
    "other_zone": False,
    "servers": [3, 0],
    "expected_ms": 45.0,
    "service_ms": 30.0,
    "view": [3, 1, 4],
    "view_slowness": 1.0,
    "hedge": False,
}
END = {"servers": [3, 1], "service_ms": 30.0, "remaining_ms": 12.0, "max_attempts": 2}


def _line(time_s, node, event, **values):
    return json.dumps({"time": time_s, "node": node, "event": event, **values})


def _attempt(time_s, server, ms, **values):
    return _line(time_s, "n1", "attempt", id="a", server=server, ms=ms, **(LOAD | values))


def _refused(time_s, reason="no-room", **values):
    return _line(
        time_s,
        "n1",
        "refused",
        id="a",
        reason=reason,
        retry_after_s=0.4,
        route="r",
        service="s",
        values_age_s=0.2,
        version=7,
        **values,
    )


@pytest.fixture
def explain(run_main, tmp_path):
    """Returns a function that writes the logs of nodes and runs the command for request a.

    The function takes the lines of each log and returns the exit status, text and document.
    """

    def run(*logs):
        paths = []
        for index, lines in enumerate(logs):
            paths.append(str(tmp_path / f"{index}.log"))
            (tmp_path / f"{index}.log").write_text("\n".join(lines))
        status, text, _ = run_main("why", "a", *paths)
        _, output, _ = run_main("why", "a", *paths, "--json")
        return status, text, json.loads(output)

    return run


def test_refused_request_shows_each_attempt_with_its_figures(explain):
    """Guards against a refusal whose attempts and figures must be searched in the logs."""
    status, text, document = explain(
        [
            _attempt(10.1, "s1", 3.0, refused="overloaded", **CHOICE, retry_after_s=0.4),
            _line(10.1, "n1", "attempt", id="other", server="s9", ms=1.0, refused="slow"),
            _attempt(10.2, "s2", 4.0, refused="deadline", **(CHOICE | {"servers": [3, 1]})),
            _refused(10.2, ms=105.0, **END),
        ]
    )
    assert status == 0
    assert "s9" not in text
    assert "answer expected in 45 ms, of it work 30 ms" in text
    assert "known load 3, sent since 1, limit 4" in text
    assert "expected wait 400 ms" in text
    assert "3 servers known, 1 already tried" in text
    assert "configuration version 7" in text
    assert [step["event"] for step in document["steps"]] == ["attempt", "attempt", "refused"]
    assert document["steps"][0]["start_ms"] == 2.0
    assert document["steps"][0]["end_ms"] == 5.0
    assert document["steps"][0]["figures"]["retry_after_s"] == 0.4
    assert (document["outcome"], document["status"], document["version"]) == ("refused", 503, 7)
    assert document["sentence"] == text.splitlines()[-1]
    assert "overloaded at s1, deadline at s2" in document["sentence"]
    assert "not run" in document["sentence"]


def test_answered_request_states_choice_and_wait(explain):
    """Guards against an answer that came late without the reason for its wait."""
    _, _, document = explain(
        [
            _attempt(10.7, "s1", 600.0, status=200, work_ms=60.0, **CHOICE),
            _line(10.7, "n1", "answered", id="a", route="r", status=200, ms=601.0, version=7),
        ]
    )
    sentence = document["sentence"]
    assert "by s1 because it was expected to answer first (45 ms) of 3 servers" in sentence
    assert "spent 540.0 ms in wait and transfer, with 4 running and 9 waiting" in sentence


@pytest.mark.parametrize(
    ("reason", "event", "values", "text"),
    [
        ("zone-evacuated", "zone_evacuated", {"zone": "z1"}, "the zone was evacuated"),
        ("memory-full", "memory_full", {}, "the memory for bodies was used up"),
        ("overloaded", "share_exceeded", {"server": "s1"}, "above its share"),
        ("rate-limited", "server_cold", {"server": "s1"}, "the server was cold"),
        ("rate-limited", "rate_limit_changed", {"server": "s1", "per_s": 8}, "advertised"),
        ("server-down", "server_lost", {"server": "s1"}, "accepted no connection"),
    ],
)
def test_reason_is_explained_by_the_condition_on_another_node(
    explain, reason, event, values, text
):
    """Guards against a reason whose condition is only in the log of another node."""
    _, shown, document = explain(
        [_attempt(10.1, "s1", 3.0, refused=reason, **CHOICE), _refused(10.1)],
        [_line(9.9, "n2", event, **values)],
    )
    assert [cause["event"] for cause in document["steps"][0]["causes"]] == [event]
    assert text in document["sentence"]
    assert f"{event} on n2" in document["sentence"]
    assert "0.200 s before" in shown


@pytest.mark.parametrize(
    ("reason", "lines"),
    [
        (
            "zone-evacuated",
            [
                _line(5, "n2", "zone_evacuated", zone="z1"),
                _line(9, "n2", "zone_restored", zone="z1"),
            ],
        ),
        ("zone-evacuated", [_line(9.9, "n2", "zone_evacuated", zone="z2")]),
        (
            "rate-limited",
            [
                _line(8, "n2", "server_cold", server="s1"),
                _line(9, "n2", "server_warm", server="s1"),
            ],
        ),
        (
            "rate-limited",
            [
                _line(8, "n2", "rate_limit_changed", server="s1", per_s=8),
                _line(9, "n2", "rate_limit_changed", server="s1", per_s=None),
            ],
        ),
        ("memory-full", [_line(5, "n2", "memory_full")]),
        ("memory-full", [_line(11, "n2", "memory_full")]),
        (
            "memory-full",
            [
                _line(1, "n3", "server_changed", server="s1"),
                _line(9.9, "n2", "memory_full"),
            ],
        ),
        ("overloaded", [_line(9.9, "n2", "share_exceeded", server="s2")]),
    ],
)
def test_condition_that_did_not_hold_is_no_cause(explain, reason, lines):
    """Guards against a cause that had ended, began later or concerns another server."""
    _, _, document = explain(
        [_attempt(10.1, "s1", 3.0, refused=reason, **CHOICE), _refused(10.1)], lines
    )
    assert document["steps"][0]["causes"] == []


def test_decision_without_a_server_is_explained_by_its_own_node(explain):
    """Guards against the full memory of another node as the cause of a refusal at the first."""
    lines = [_line(9.9, "n1", "memory_full", size=1), _refused(10.1, "memory-full")]
    _, _, document = explain(lines, [_line(10.0, "n2", "memory_full", size=2)])
    assert [cause["node"] for cause in document["steps"][0]["causes"]] == ["n1"]


def test_condition_that_ended_during_the_attempt_is_a_cause(explain):
    """Guards against a lost cause when a zone is restored while a request waits there."""
    _, _, document = explain(
        [_attempt(10.1, "s1", 300.0, refused="zone-evacuated", **CHOICE), _refused(10.1)],
        [
            _line(9.0, "n2", "zone_evacuated", zone="z1"),
            _line(10.0, "n2", "zone_restored", zone="z1"),
        ],
    )
    assert len(document["steps"][0]["causes"]) == 1


def test_other_zone_is_explained_by_the_share_of_the_sender(explain):
    """Guards against traffic between zones that no line of the request explains."""
    _, text, document = explain(
        [
            _line(9.0, "n1", "zone_overflow", service="s", share=0.3),
            _line(9.5, "n1", "zone_overflow", service="other", share=0.9),
            _attempt(
                10.1, "s1", 40.0, status=200, work_ms=30.0, **(CHOICE | {"other_zone": True})
            ),
            _line(10.1, "n1", "answered", id="a", service="s", status=200, ms=41.0, version=7),
        ],
        [_line(9.9, "n2", "zone_overflow", service="s", share=0.7)],
    )
    (found,) = document["steps"][0]["causes"]
    assert found["share"] == 0.3
    assert "although it is in another zone" in document["sentence"]
    assert "zone_overflow on n1" in document["sentence"]
    assert "share=0.3" in text


def test_hedge_and_broken_response_are_shown(explain):
    """Guards against a second copy that looks like a retry, and hidden events of other nodes."""
    _, text, document = explain(
        [
            _attempt(10.4, "s1", 390.0, unknown="answer-broken"),
            _attempt(10.2, "s2", 50.0, status=200, work_ms=45.0, **(CHOICE | {"hedge": True})),
            _line(10.4, "n1", "answered", id="a", service="s", status=200, ms=400.0, version=7),
        ],
        [_line(10.39, "n2", "answer_broken", id="a", server="s1", error="cut")],
    )
    assert [step["hedge"] for step in document["steps"]] == [False, True, False, False]
    assert "answer_broken server=s1 error=cut" in text
    assert "the first attempt exceeded its expected time" in document["sentence"]
    assert "other attempts: answer-broken at s1" in document["sentence"]
    assert document["steps"][0]["causes"][0]["event"] == "answer_broken"


def test_overlapping_attempts_of_an_earlier_release_are_hedges(explain):
    """Guards against a second copy that looks like a retry in logs without the field."""
    _, _, document = explain(
        [
            _attempt(10.4, "s1", 390.0, unknown="peer-timeout"),
            _attempt(10.2, "s2", 50.0, status=200, work_ms=45.0),
        ]
    )
    assert [step["hedge"] for step in document["steps"]] == [False, True]


def test_cancelled_attempt_names_the_server_that_did_not_answer(explain):
    """Guards against a request that waited until its deadline without a word on where."""
    _, _, document = explain(
        [
            _attempt(10.4, "s1", 390.0, unknown="cancelled", **CHOICE),
            _line(10.4, "n1", "failed", id="a", status=504, reason="deadline", ms=400.0),
        ]
    )
    assert "s1 had not answered after 390 ms, expected were 45 ms" in document["sentence"]


def test_deadline_without_attempt_states_the_figures(explain):
    """Guards against a refusal at the first node without the times that it compared."""
    _, _, document = explain([_refused(10.2, "deadline", ms=1.0, **END)])
    assert "work expected 30 ms, time left 12 ms" in document["sentence"]


def test_failed_request_may_have_run(explain):
    """Guards against a failure that reads like a proof that the request was not run."""
    _, _, document = explain(
        [
            _attempt(10.4, "s1", 390.0, unknown="peer-timeout"),
            _line(10.4, "n1", "failed", id="a", status=504, reason="deadline", ms=400.0),
        ]
    )
    assert document["sentence"].startswith("Failed with 504, and may have run")
    assert "peer-timeout at s1" in document["sentence"]


def test_lines_of_an_earlier_release_are_explained(explain):
    """Guards against a command that needs the new fields of a log line."""
    status, text, _ = explain(
        [
            _line(10.1, "n1", "attempt", id="a", server="s1", ms="?", refused="slow", load=[1]),
            _line(10.2, "n1", "refused", id="a", reason="no-room", service=None),
        ]
    )
    assert status == 0
    assert "slow at s1" in text


def test_missing_final_answer_and_left_out_lines_are_stated(explain):
    """Guards against a timeline that looks complete although lines are missing."""
    _, text, document = explain(
        [
            _attempt(10.1, "s1", 3.0, refused="overloaded"),
            _line(12.0, "n1", "answered", id="b", dropped_lines=5),
        ]
    )
    assert document["outcome"] == "unfinished"
    assert document["left_out_lines"] == {"n1": 5}
    assert "n1 left out 5 lines" in text
    assert "No log has the final answer" in document["sentence"]


def test_file_passed_twice_shows_each_line_once(explain):
    """Guards against attempts that seem to have been made twice."""
    lines = [_attempt(10.1, "s1", 3.0, refused="overloaded"), _refused(10.1)]
    _, _, document = explain(lines, lines)
    assert len(document["steps"]) == 2


def test_request_in_no_log_is_an_error(run_main, tmp_path):
    """Guards against an empty timeline that looks like a request without decisions."""
    path = tmp_path / "log"
    path.write_text(_refused(10.0))
    status, output, error = run_main("why", "b", str(path), "--json")
    assert status == 1
    assert output == ""
    assert "found no event of request 'b'" in error
