"""Groups captured SIP messages into calls, by transaction and dialog (RFC 3261, sections 12 and 17).

No I/O; time is that of the captured packets. Each call gives one record; retransmissions count as one
message. Calls that began before the capture or continue past its end are marked, and what was not captured
is left at its default value.
"""

from __future__ import annotations

import re
from collections import OrderedDict
from collections.abc import Iterator
from dataclasses import dataclass, field
from enum import StrEnum

from landingdeal.capture.layers import Address
from landingdeal.capture.messages import CapturedMessage
from landingdeal.sip.address import AddressError, parse_name_addr, parse_uri
from landingdeal.sip.message import Message

RETRANSMISSION_WINDOW_NS = 32 * 10**9  # retransmissions may follow the end of a call for this long (64 * T1)
IDLE_CALL_TIMEOUT_NS = 3600 * 10**9  # a call without messages for this long is reported as it is
MAX_TRACKED_CALLS = 200_000  # above it the call idle longest is reported
RETRY_WINDOW_NS = 60 * 10**9  # a set-up to the same number this soon after a refusal counts as a retry
MAX_REFUSED_CALLS = 50_000


class Party(StrEnum):
    """A party of a call."""

    CALLER = "caller"
    CALLED = "called"


class Outcome(StrEnum):
    """The result of a set-up."""

    ESTABLISHED = "stood"
    REFUSED = "refused"
    CANCELLED = "withdrawn"  # CANCEL, then 487 or no final response
    UNANSWERED = "unanswered"  # no final response was captured


@dataclass(frozen=True, slots=True)
class LadderMessage:
    """One message in the ladder diagram of a call."""

    time_ns: int
    source: Address
    target: Address
    label: str
    cseq: int
    position: tuple[int, int]  # offset in the file and packet number


@dataclass(slots=True)
class CallRecord:
    """One call. Times are in nanoseconds since 1970, -1 if no such message was captured."""

    number: int  # position in the order of first messages, from 1
    call_id: str
    caller: str  # user@host of the From URI
    called: str  # user part of the Request-URI, else the whole URI
    transport: str
    source: Address  # sender of the first request
    target: Address
    class_name: str = ""
    patience_ms: float = 0.0
    organization: str = ""
    invite_ns: int = -1
    provisional_ns: int = -1
    provisional_status: int = 0  # first provisional status above 100
    answer_ns: int = -1
    status: int = 0  # status of the final response to the first INVITE
    ack_ns: int = -1
    cancel_ns: int = -1
    bye_ns: int = -1
    released_by: Party | None = None
    bye_response_ns: int = -1  # final response to BYE
    cause: int = 0  # from the Reason header of the BYE (RFC 3326), else 0
    retry_after_ms: float = 0.0  # X-Later-Ms or Retry-After of the final response, else 0
    retransmissions: int = 0
    reinvites: list[int] = field(default_factory=list)  # times of re-INVITEs
    first_try: int = 0  # number of the call that was tried first; 0 if this is no retry
    started_before_capture: bool = False
    cut_off: bool = False  # reported before the end of the call was seen
    invite: Message | None = None
    ladder: list[LadderMessage] = field(default_factory=list)

    @property
    def outcome(self) -> Outcome:
        """Derived from the final response and the CANCEL."""
        if 200 <= self.status < 300:
            return Outcome.ESTABLISHED
        if self.cancel_ns >= 0 and self.status in (0, 487):
            return Outcome.CANCELLED
        return Outcome.REFUSED if self.status else Outcome.UNANSWERED

    @property
    def start_ns(self) -> int:
        """Time of the INVITE, or of the first captured message without one."""
        return self.invite_ns if self.invite_ns >= 0 else self.ladder[0].time_ns

    @property
    def answer_ms(self) -> float:
        """Time from the INVITE to its final response; -1 if either is missing."""
        return (self.answer_ns - self.invite_ns) / 1e6 if min(self.answer_ns, self.invite_ns) >= 0 else -1.0

    @property
    def hold_ms(self) -> float:
        """Time from the final response to the BYE; -1 if either is missing."""
        return (self.bye_ns - self.answer_ns) / 1e6 if min(self.bye_ns, self.answer_ns) >= 0 else -1.0


MAX_LADDER_MESSAGES = 200  # per call


class _TrackedCall:
    """A call in progress, with the state needed to recognize its messages."""

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


MAX_MESSAGE_KEYS = 256  # per call, for recognizing repeated messages


class CallTracker:
    """Builds call records: `feed` takes messages in time order and yields finished calls, `end` the rest."""

    def __init__(self) -> None:
        self.tracked: OrderedDict[str, _TrackedCall] = OrderedDict()  # by Call-ID, least recent first
        self.refused_calls: OrderedDict[tuple[str, str], tuple[int, int, str]] = OrderedDict()
        self.last_number = 0
        self.unmatched_responses = 0

    def feed(self, captured: CapturedMessage) -> Iterator[CallRecord]:
        """Processes one message and yields the calls that it completes."""
        message = captured.message
        method = message.cseq[1]
        if method in ("INVITE", "ACK", "BYE", "CANCEL", "UPDATE", "PRACK", "INFO"):
            yield from self._process(captured, method)
        yield from self._expire(captured.time_ns)

    def end(self) -> Iterator[CallRecord]:
        """Yields the calls that are still tracked at the end of the capture."""
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
            yield call.record  # a retry with the same Call-ID (RFC 3261, 8.1.3.5)
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
        """Whether the message was seen before: a retransmission, or the same packet captured twice."""
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
        label = f"{message.status} {message.reason_phrase}".strip() if message.status else message.method
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
        """Yields calls that are finished and past the retransmission window, or idle for very long.

        The table is ordered by idle time, so the scan stops at the first call that stays.
        """
        while self.tracked:
            key, call = next(iter(self.tracked.items()))
            idle_ns = now - call.last_seen_ns
            if idle_ns <= RETRANSMISSION_WINDOW_NS or not call.finished and idle_ns <= IDLE_CALL_TIMEOUT_NS:
                return
            call.record.cut_off = not call.finished
            del self.tracked[key]
            yield call.record


# --- header parsing ---


# Read in every message, so they are matched without parsing the whole header.
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
    except AddressError:
        return message.get("from")[:100]


def _called_of(message: Message) -> str:
    text = message.uri
    if not text:
        try:
            text = parse_name_addr(message.get("to")).uri
        except AddressError:
            return ""
    try:
        return parse_uri(text).user or text
    except AddressError:
        return text[:100]


def _decimal(text: str) -> float:
    """Parses an unsigned decimal number; 0 if the text is not one."""
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
