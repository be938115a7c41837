"""From messages to calls: transactions and dialogs as somebody who looks on sees them (RFC 3261 12 and 17).

Decisions and state only, by the capture's clock. One record a call; retransmissions are one request. Calls
that began before the capture or were cut off by its end are marked, and nothing is invented for them.
"""

from __future__ import annotations

import re
from collections import OrderedDict
from collections.abc import Iterator
from dataclasses import dataclass, field
from enum import StrEnum

from landingdeal.capture.layers import Address
from landingdeal.capture.messages import CapturedMessage
from landingdeal.sip.address import BadAddress, parse_name_addr, parse_uri
from landingdeal.sip.message import Message

RETRANSMISSION_WINDOW_NS = 32 * 10**9  # after its end a call's retransmissions may still pass (64 times T1)
IDLE_CALL_TIMEOUT_NS = 3600 * 10**9  # a call of which nothing passes any more is given out as it is
MAX_TRACKED_CALLS = 200_000  # followed at once; the one idle longest is given out first
RETRY_WINDOW_NS = (
    60 * 10**9
)  # so soon after a refusal a set-up by the same caller for the same number tries again
MAX_REFUSED_CALLS = 50_000


class Party(StrEnum):
    CALLER = "caller"
    CALLED = "called"


class Outcome(StrEnum):
    ESTABLISHED = "stood"
    REFUSED = "refused"
    CANCELLED = "withdrawn"  # CANCEL, then 487
    UNANSWERED = "unanswered"  # no final answer passed


@dataclass(frozen=True, slots=True)
class LadderMessage:
    """One message of a call, for its ladder. `again`: how often it was repeated."""

    time_ns: int
    source: Address
    target: Address
    label: str
    cseq: int
    position: tuple[int, int]


@dataclass(slots=True)
class CallRecord:
    """One call. Times in nanoseconds since 1970, -1 where nothing of the kind passed."""

    number: int  # in the order of the first messages
    call_id: str
    caller: str  # the From URI's user and host
    called: str  # the Request-URI's user, else the whole URI
    transport: str
    source: Address  # where the first INVITE came from
    target: Address
    class_name: str = ""
    patience_ms: float = 0.0
    organization: str = ""
    invite_ns: int = -1
    provisional_ns: int = -1
    provisional_status: int = 0  # the first one over 100
    answer_ns: int = -1
    status: int = 0  # the final answer to the first INVITE
    ack_ns: int = -1
    cancel_ns: int = -1
    bye_ns: int = -1
    released_by: Party | None = None
    bye_response_ns: int = -1  # the answer to BYE
    cause: int = 0  # of the Reason of a release (RFC 3326), else 0
    retry_after_ms: float = 0.0  # time to stay away, where the refusal told one
    retransmissions: int = 0
    reinvites: list[int] = field(default_factory=list)  # when each passed
    first_try: int = 0  # the number of the call that this one tries again; 0 where it is a first try
    started_before_capture: bool = False
    cut_off: bool = False  # the capture ended before the call did
    invite: Message | None = None
    ladder: list[LadderMessage] = field(default_factory=list)

    @property
    def outcome(self) -> Outcome:
        if 200 <= self.status < 300:
            return Outcome.ESTABLISHED
        if self.cancel_ns >= 0 and self.status in (0, 487):
            return Outcome.CANCELLED
        return Outcome.REFUSED if self.status else Outcome.UNANSWERED

    @property
    def start_ns(self) -> int:
        return self.invite_ns if self.invite_ns >= 0 else self.ladder[0].time_ns

    @property
    def answer_ms(self) -> float:
        """From the INVITE to its final answer; -1 without both."""
        return (self.answer_ns - self.invite_ns) / 1e6 if min(self.answer_ns, self.invite_ns) >= 0 else -1.0

    @property
    def hold_ms(self) -> float:
        """How long it stood, from its answer to its BYE; -1 without both."""
        return (self.bye_ns - self.answer_ns) / 1e6 if min(self.bye_ns, self.answer_ns) >= 0 else -1.0


MAX_LADDER_MESSAGES = 200  # of one call


class _TrackedCall:
    """A call while it is being followed."""

    __slots__ = (
        "record", "message_keys", "invite_cseq", "invite_branch", "bye_cseqs", "last_seen_ns", "finished",
        "caller_tag",
    )  # fmt: skip

    def __init__(self, record: CallRecord) -> None:
        self.record = record
        self.message_keys: OrderedDict[tuple[str, str, int], None] = OrderedDict()
        self.invite_cseq = -1
        self.invite_branch = ""
        self.caller_tag = ""
        self.bye_cseqs: set[int] = set()
        self.last_seen_ns = 0
        self.finished = False


MAX_MESSAGE_KEYS = 256


class CallTracker:
    """`feed` takes messages in order of time and gives the calls that are complete; `end` gives the rest."""

    def __init__(self) -> None:
        self.tracked: OrderedDict[str, _TrackedCall] = OrderedDict()  # by Call-ID, the one idle longest first
        self.refused_calls: OrderedDict[tuple[str, str], tuple[int, int, str]] = OrderedDict()
        self.last_number = 0
        self.unmatched_responses = 0  # messages of no call

    def feed(self, captured: CapturedMessage) -> Iterator[CallRecord]:
        message = captured.message
        method = message.cseq[1]
        if method in ("INVITE", "ACK", "BYE", "CANCEL", "UPDATE", "PRACK", "INFO"):
            yield from self._process(captured, method)
        yield from self._expire(captured.time_ns)

    def end(self) -> Iterator[CallRecord]:
        for call in self.tracked.values():
            call.record.cut_off = not call.finished
            yield call.record
        self.tracked.clear()

    # --- one message ---

    def _process(self, captured: CapturedMessage, method: str) -> Iterator[CallRecord]:
        message = captured.message
        call = self.tracked.get(message.call_id)
        is_new_call = message.method == "INVITE" and not _tag_of(message, "to")
        if call is not None and is_new_call and call.finished and message.cseq[0] > call.invite_cseq:
            yield call.record  # the same Call-ID for another call: the caller tries again (8.1.3.5)
            del self.tracked[message.call_id]
            call = None
        if call is None:
            if message.status and method != "INVITE" and not _tag_of(message, "to"):
                self.unmatched_responses += 1
                return
            call = self._start_tracking(captured, is_new_call)
        self.tracked.move_to_end(message.call_id)
        call.last_seen_ns = captured.time_ns
        if self._is_repeat(call, captured):
            call.record.retransmissions += 1
            return
        self._add_to_ladder(call, captured)
        if message.status:
            self._process_response(call, captured, method)
        else:
            self._process_request(call, captured, method)
        while len(self.tracked) > MAX_TRACKED_CALLS:
            _, idlest = self.tracked.popitem(last=False)
            idlest.record.cut_off = not idlest.finished
            yield idlest.record

    def _start_tracking(self, captured: CapturedMessage, is_new_call: bool) -> _TrackedCall:
        message = captured.message
        self.last_number += 1
        source, target = (
            (captured.target, captured.source) if message.status else (captured.source, captured.target)
        )
        record = CallRecord(
            self.last_number, message.call_id, _caller_of(message), _called_of(message), captured.transport,
            source, target, message.get("subject"), _decimal(message.get("x-patience")),
            message.get("organization"),
            started_before_capture=not is_new_call,
        )  # fmt: skip
        call = self.tracked[message.call_id] = _TrackedCall(record)
        call.caller_tag = _tag_of(message, "from")
        if is_new_call:
            record.invite_ns, record.invite = captured.time_ns, message
            call.invite_cseq, call.invite_branch = message.cseq[0], _branch_of(message)
            refusal = self.refused_calls.pop((record.caller, record.called), None)
            if refusal is not None and captured.time_ns - refusal[0] <= RETRY_WINDOW_NS:
                record.first_try = refusal[1]
        return call

    @staticmethod
    def _is_repeat(call: _TrackedCall, captured: CapturedMessage) -> bool:
        """The same message again: a retransmission, or the same one seen on its next way."""
        message = captured.message
        kind = f"{message.status}{_tag_of(message, 'to')}" if message.status else message.method
        key = (
            f"{kind} {captured.source}>{captured.target} {message.cseq[1]}",
            _branch_of(message),
            message.cseq[0],
        )
        if message.method == "ACK" and key in call.message_keys:
            return True
        if key in call.message_keys:
            call.message_keys.move_to_end(key)
            return True
        call.message_keys[key] = None
        while len(call.message_keys) > MAX_MESSAGE_KEYS:
            call.message_keys.popitem(last=False)
        return False

    @staticmethod
    def _add_to_ladder(call: _TrackedCall, captured: CapturedMessage) -> None:
        message = captured.message
        label = f"{message.status} {message.reason}".strip() if message.status else message.method
        if message.status and message.cseq[1] != "INVITE":
            label += f" ({message.cseq[1]})"
        if len(call.record.ladder) < MAX_LADDER_MESSAGES:
            call.record.ladder.append(
                LadderMessage(
                    captured.time_ns,
                    captured.source,
                    captured.target,
                    label,
                    message.cseq[0],
                    captured.position,
                )
            )

    def _process_request(self, call: _TrackedCall, captured: CapturedMessage, method: str) -> None:
        record, message, now = call.record, captured.message, captured.time_ns
        sender = Party.CALLER if _tag_of(message, "from") == call.caller_tag else Party.CALLED
        match method:
            case "INVITE" if message.cseq[0] != call.invite_cseq or sender is Party.CALLED:
                record.reinvites.append(now)
            case "ACK" if record.ack_ns < 0 and message.cseq[0] in (call.invite_cseq, -1):
                record.ack_ns = now
                if record.status >= 300:
                    call.finished = True
            case "CANCEL" if message.cseq[0] == call.invite_cseq and record.cancel_ns < 0:
                record.cancel_ns = now
            case "BYE":
                call.bye_cseqs.add(message.cseq[0])
                if record.bye_ns < 0:
                    record.bye_ns, record.released_by, record.cause = now, sender, _cause_of(message)
            case _:
                pass

    def _process_response(self, call: _TrackedCall, captured: CapturedMessage, method: str) -> None:
        record, message, now = call.record, captured.message, captured.time_ns
        cseq_number, status = message.cseq[0], message.status
        if method == "INVITE" and cseq_number == call.invite_cseq:
            if status < 200:
                if record.provisional_ns < 0 and status > 100:
                    record.provisional_ns, record.provisional_status = now, status
            elif record.answer_ns < 0:
                record.answer_ns, record.status = now, status
                record.retry_after_ms = _retry_after_ms(message)
                if status >= 300 and record.outcome is Outcome.REFUSED:
                    self._remember_refusal(record, now)
        elif method == "BYE" and status >= 200 and record.bye_response_ns < 0:
            record.bye_response_ns = now
            call.finished = True

    def _remember_refusal(self, record: CallRecord, now: int) -> None:
        key = record.caller, record.called
        self.refused_calls[key] = now, record.first_try or record.number, record.call_id
        self.refused_calls.move_to_end(key)
        while len(self.refused_calls) > MAX_REFUSED_CALLS:
            self.refused_calls.popitem(last=False)

    def _expire(self, now: int) -> Iterator[CallRecord]:
        """Gives out what is over and has been silent, or silent for very long; the table is in that order."""
        while self.tracked:
            key, call = next(iter(self.tracked.items()))
            idle_ns = now - call.last_seen_ns
            if idle_ns <= RETRANSMISSION_WINDOW_NS or not call.finished and idle_ns <= IDLE_CALL_TIMEOUT_NS:
                return
            call.record.cut_off = not call.finished
            del self.tracked[key]
            yield call.record


# --- what headers say ---


# Tags and branches are looked at in every message: found without taking the whole header apart.
TAG_PARAMETER = re.compile(r";\s*tag\s*=\s*([^;\s>]+)", re.IGNORECASE)
BRANCH_PARAMETER = re.compile(r";\s*branch\s*=\s*([^;,\s]+)", re.IGNORECASE)


def _tag_of(message: Message, header: str) -> str:
    match = TAG_PARAMETER.search(message.get(header).rpartition(">")[2])
    return match[1] if match else ""


def _branch_of(message: Message) -> str:
    match = BRANCH_PARAMETER.search(message.get("via").partition(",")[0])
    return match[1] if match else ""


def _caller_of(message: Message) -> str:
    try:
        uri = parse_uri(parse_name_addr(message.get("from")).uri)
        return f"{uri.user}@{uri.host}" if uri.user else uri.host
    except BadAddress:
        return message.get("from")[:100]


def _called_of(message: Message) -> str:
    text = message.uri
    if not text:
        try:
            text = parse_name_addr(message.get("to")).uri
        except BadAddress:
            return ""
    try:
        return parse_uri(text).user or text
    except BadAddress:
        return text[:100]


def _decimal(text: str) -> float:
    """A plain decimal number; 0 where it is none."""
    integer, _, fraction = text.strip().partition(".")
    valid = integer.isascii() and integer.isdecimal() and len(integer) <= 9
    if not valid or fraction and not (fraction.isascii() and fraction.isdecimal()):
        return 0.0
    return float(f"{integer}.{fraction or 0}")


def _retry_after_ms(message: Message) -> float:
    exact_ms = _decimal(message.get("x-later-ms"))
    return exact_ms or 1000 * _decimal(message.get("retry-after").partition(";")[0].partition("(")[0])


def _cause_of(message: Message) -> int:
    for part in message.get("reason").split(";"):
        name, _, value = part.partition("=")
        if name.strip().lower() == "cause" and value.strip().isdecimal():
            return int(value.strip()[:4])
    return 0
