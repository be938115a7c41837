"""Checks the rules of the platform's protocol on what the parties of a trial observed.

Times are seconds of the system's Unix clock, as the parties read it.
"""

from __future__ import annotations

from dataclasses import dataclass, field

# An answer up to so much after the deadline only earns nothing; a later one counts as lost.
MAX_LATENESS_S = 0.5
TIMING_SLACK_S = 0.05  # added to each time limit because the messages pass through sockets
CLOSE_RACE_S = 0.05  # a set-up written so shortly before a close is sent again, once
RELEASE_LIMIT_S = 1.0  # from the end of a call to the release at its caller
UNREPORTED_RELEASE_LIMIT_S = 8.0  # the same, if the lab hub could not report the end
DRAIN_LIMIT_S = 1.0  # from the notification until no more set-ups may reach a draining or removed hub
# An event counts as notified so long after discovery recorded it, whether it arrived or not,
# or so long after discovery became reachable again.
NOTIFICATION_LIMIT_S = 7.0
NOTIFICATION_LIMIT_AFTER_OUTAGE_S = 6.0
KILL_MARGIN_S = 0.7  # SIGKILL follows SIGTERM after the longest deadline plus this margin
MAX_DEADLINE_S = 3.0  # a longer deadline counts as this one


@dataclass
class SetUpRequest:
    """A set-up of a caller, identified by its Call-ID, and the responses to it."""

    call_id: str
    deadline: float = 0.0
    written_at: float = 0.0  # when the last byte was written; 0: never written whole
    cancelled_at: float = 0.0  # 0: not cancelled
    exemption: str = ""  # the reason why no answer is required any more
    final_responses: list[tuple[float, int, bytes]] = field(default_factory=list)  # time, status, body
    release_times: list[float] = field(default_factory=list)
    resent: bool = False

    @property
    def established(self) -> bool:
        """Whether a final response below 300 arrived."""
        return any(status < 300 for _, status, _ in self.final_responses)


@dataclass
class ObservedAttempt:
    """One set-up that arrived whole at a lab hub, until its final response was written or it was given up."""

    call_id: str
    hub: str
    started_at: float
    ended_at: float = 0.0
    outcome: str = ""  # answered, refused, cancelled, closed, reset, unknown
    body: bytes = b""
    call_ended_at: float = 0.0  # when the established call ended
    call_end_cause: str = ""  # released, unreported (the hub could not report it), by the program
    arrival_uncertain: bool = False  # it arrived during a hang of its hub, at an unknown time


@dataclass
class HubStatusChange:
    """One event of discovery about one lab hub."""

    hub: str
    state: str
    recorded_at: float  # when discovery recorded it
    notified_at: float = 0.0  # when it was written to the program; 0: never


@dataclass
class Observations:
    """Everything that the parties of one trial observed."""

    requests: dict[str, SetUpRequest] = field(default_factory=dict)
    attempts: list[ObservedAttempt] = field(default_factory=list)
    changes: list[HubStatusChange] = field(default_factory=list)
    discovery_reachable_at: list[float] = field(default_factory=list)  # the ends of its outages
    unanswered_misbehaving_callers: int = 0  # with no refusal, error or close within 3 s
    problems: list[str] = field(default_factory=list)  # reported by a party itself
    process_started_at: float = 0.0
    stop_requested_at: float = 0.0  # SIGTERM
    program_ended_at: float = 0.0
    min_resend_gap_s: float = 0.3
    max_lag_s: float = 0.0  # the longest delay of the test environment's own loop

    def add_problem(self, text: str) -> None:
        """Records a broken rule that a party noticed itself."""
        self.problems.append(text)


def check_rules(observations: Observations) -> list[str]:
    """Returns one line per broken rule."""
    violations = list(observations.problems)
    attempts_by_call: dict[str, list[ObservedAttempt]] = {}
    for attempt in observations.attempts:
        attempts_by_call.setdefault(attempt.call_id, []).append(attempt)
    for request in observations.requests.values():
        violations += _check_answers(request, attempts_by_call.get(request.call_id, []), observations)
        violations += _check_releases(request, attempts_by_call.get(request.call_id, []), observations)
    for call_id, attempts in attempts_by_call.items():
        violations += _check_single_pending(call_id, attempts, observations.min_resend_gap_s)
    violations += _check_draining(observations)
    if observations.unanswered_misbehaving_callers:
        violations.append(
            f"{observations.unanswered_misbehaving_callers} misbehaving callers got no response and no close"
        )
    return violations


def _check_answers(
    request: SetUpRequest, attempts: list[ObservedAttempt], observations: Observations
) -> list[str]:
    violations = []
    label = f"request {request.call_id}"
    if len(request.final_responses) > 1:
        violations.append(
            f"{label}: a second answer ({[status for _, status, _ in request.final_responses]})"
        )
    if (
        request.release_times
        and request.final_responses
        and request.release_times[0] < request.final_responses[0][0]
    ):
        violations.append(f"{label}: released before its answer ({request.final_responses[0][1]})")
    lag_s = observations.max_lag_s
    if (
        request.cancelled_at
        and request.final_responses
        and request.final_responses[0][0] > request.cancelled_at + CLOSE_RACE_S + lag_s
    ):
        late_ms = (request.final_responses[0][0] - request.cancelled_at) * 1000
        violations.append(f"{label}: answered {late_ms:.0f} ms after it was cancelled")
    if (
        request.written_at
        and not request.final_responses
        and not request.cancelled_at
        and not request.exemption
    ):
        violations.append(
            f"{label}: lost, sent "
            f"{request.written_at - (observations.stop_requested_at or request.written_at):.2f} s "
            "after SIGTERM, no answer"
        )
    if request.final_responses and request.final_responses[0][0] > request.deadline + MAX_LATENESS_S + lag_s:
        violations.append(
            f"{label}: answered {request.final_responses[0][0] - request.deadline:.2f} s after its deadline"
        )
    bodies = {attempt.body for attempt in attempts if attempt.body}
    for _, status, body in request.final_responses:
        if status < 300 and body not in bodies:
            violations.append(f"{label}: answered with a body that no lab hub sent for it")
    return violations


def _check_releases(
    request: SetUpRequest, attempts: list[ObservedAttempt], observations: Observations
) -> list[str]:
    """Checks only calls that ended well before the program did."""
    answered_attempts = [
        a for a in attempts if a.body and request.final_responses and a.body == request.final_responses[0][2]
    ]
    if not request.established or not answered_attempts or request.cancelled_at:
        return []
    attempt = answered_attempts[0]
    limit_s = (
        RELEASE_LIMIT_S if attempt.call_end_cause == "released" else UNREPORTED_RELEASE_LIMIT_S
    ) + TIMING_SLACK_S
    call_ended_at = max(attempt.call_ended_at, request.final_responses[0][0])
    observed_until = observations.stop_requested_at or observations.program_ended_at
    if not attempt.call_ended_at or call_ended_at + limit_s > observed_until:
        return []
    releases_in_time = [at for at in request.release_times if at <= call_ended_at + limit_s]
    return (
        []
        if releases_in_time
        else [f"request {request.call_id}: its end ({attempt.call_end_cause}) was not reported in time"]
    )


def _check_single_pending(call_id: str, attempts: list[ObservedAttempt], min_gap_s: float) -> list[str]:
    """Checks that attempts of a set-up do not overlap and that resends keep the minimum gap."""
    violations = []
    by_start = sorted(attempts, key=lambda attempt: attempt.started_at)
    for earlier, later in zip(by_start, by_start[1:], strict=False):
        if earlier.outcome == "unknown" or earlier.arrival_uncertain or later.arrival_uncertain:
            continue
        if not earlier.ended_at or earlier.ended_at > later.started_at + TIMING_SLACK_S:
            violations.append(f"request {call_id}: two attempts pending, at {earlier.hub} and {later.hub}")
            continue
        gap_s = later.started_at - earlier.ended_at
        if earlier.outcome in ("cancelled", "closed", "reset") and gap_s < min_gap_s - TIMING_SLACK_S:
            violations.append(
                f"request {call_id}: sent again {gap_s * 1000:.0f} ms "
                f"after it was {earlier.outcome} at {earlier.hub}"
            )
    return violations


def _notification_time(change: HubStatusChange, observations: Observations) -> float:
    """Returns the time from which the program must know of the change."""
    known_from = min(change.notified_at or float("inf"), change.recorded_at + NOTIFICATION_LIMIT_S)
    for reachable_at in observations.discovery_reachable_at:
        if reachable_at >= change.recorded_at:
            known_from = min(known_from, reachable_at + NOTIFICATION_LIMIT_AFTER_OUTAGE_S)
    return known_from


def _check_draining(observations: Observations) -> list[str]:
    """Checks that no set-up reaches a hub long after it was notified as draining or removed."""
    violations = []
    for number, change in enumerate(observations.changes):
        if change.state == "up":
            continue
        limit_passed_at = _notification_time(change, observations) + DRAIN_LIMIT_S + TIMING_SLACK_S
        later_up_changes = [
            c for c in observations.changes[number + 1 :] if c.hub == change.hub and c.state == "up"
        ]
        up_again_at = later_up_changes[0].recorded_at if later_up_changes else float("inf")
        for attempt in observations.attempts:
            if attempt.hub == change.hub and limit_passed_at < attempt.started_at < up_again_at:
                after_s = attempt.started_at - limit_passed_at + DRAIN_LIMIT_S
                violations.append(
                    f"request {attempt.call_id}: sent to {change.hub} {after_s:.2f} s "
                    f"after it was {change.state}"
                )
    return violations


def earliest_kill(longest_deadline_s: float) -> float:
    """Seconds from SIGTERM to the earliest SIGKILL."""
    return min(longest_deadline_s, MAX_DEADLINE_S) + KILL_MARGIN_S
