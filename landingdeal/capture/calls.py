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
from landingdeal.capture.messages import Seen
from landingdeal.sip.address import AddressError, parse_name_addr, parse_uri
from landingdeal.sip.message import Message

LINGER_NS = 32 * 10**9  # after its end a call's retransmissions may still pass (64 times T1)
IDLE_NS = 3600 * 10**9  # a call of which nothing passes any more is given out as it is
CALLS_MOST = 200_000  # followed at once; the one idle longest is given out first
AGAIN_NS = 60 * 10**9  # so soon after a refusal a set-up by the same caller for the same number tries again
REFUSED_MOST = 50_000


class Side(StrEnum):
    CALLER = "caller"
    CALLED = "called"


class Outcome(StrEnum):
    STOOD = "stood"
    REFUSED = "refused"
    WITHDRAWN = "withdrawn"  # CANCEL, then 487
    UNANSWERED = "unanswered"  # no final answer passed


@dataclass(frozen=True, slots=True)
class Step:
    """One message of a call, for its ladder. `again`: how often it was repeated."""

    time_ns: int
    source: Address
    target: Address
    what: str
    cseq: int
    place: tuple[int, int]


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
    provisional: int = 0  # the first one over 100
    answer_ns: int = -1
    status: int = 0  # the final answer to the first INVITE
    ack_ns: int = -1
    cancel_ns: int = -1
    bye_ns: int = -1
    bye_by: Side | None = None
    over_ns: int = -1  # the answer to BYE
    cause: int = 0  # of the Reason of a release (RFC 3326), else 0
    later_ms: float = 0.0  # time to stay away, where the refusal told one
    retransmissions: int = 0
    reinvites: list[int] = field(default_factory=list)  # when each passed
    first_try: int = 0  # the number of the call that this one tries again; 0 where it is a first try
    begun_before: bool = False
    cut_off: bool = False  # the capture ended before the call did
    invite: Message | None = None
    steps: list[Step] = field(default_factory=list)

    @property
    def outcome(self) -> Outcome:
        if 200 <= self.status < 300:
            return Outcome.STOOD
        if self.cancel_ns >= 0 and self.status in (0, 487):
            return Outcome.WITHDRAWN
        return Outcome.REFUSED if self.status else Outcome.UNANSWERED

    @property
    def start_ns(self) -> int:
        return self.invite_ns if self.invite_ns >= 0 else self.steps[0].time_ns

    @property
    def answer_ms(self) -> float:
        """From the INVITE to its final answer; -1 without both."""
        return (self.answer_ns - self.invite_ns) / 1e6 if min(self.answer_ns, self.invite_ns) >= 0 else -1.0

    @property
    def hold_ms(self) -> float:
        """How long it stood, from its answer to its BYE; -1 without both."""
        return (self.bye_ns - self.answer_ns) / 1e6 if min(self.bye_ns, self.answer_ns) >= 0 else -1.0


STEPS_MOST = 200  # of one call


class _Open:
    """A call while it is being followed."""

    __slots__ = ("record", "keys", "invite_cseq", "invite_branch", "byes", "seen_ns", "over", "caller_tag")

    def __init__(self, record: CallRecord) -> None:
        self.record = record
        self.keys: OrderedDict[tuple[str, str, int], None] = OrderedDict()  # messages seen, to know repeats
        self.invite_cseq = -1
        self.invite_branch = ""
        self.caller_tag = ""
        self.byes: set[int] = set()
        self.seen_ns = 0
        self.over = False


KEYS_MOST = 256


class Calls:
    """`feed` takes messages in order of time and gives the calls that are complete; `end` gives the rest."""

    def __init__(self) -> None:
        self.open: OrderedDict[str, _Open] = OrderedDict()  # by Call-ID, the one idle longest first
        self.refused: OrderedDict[tuple[str, str], tuple[int, int, str]] = OrderedDict()
        self.number = 0
        self.strays = 0  # messages of no call

    def feed(self, seen: Seen) -> Iterator[CallRecord]:
        message = seen.message
        method = message.cseq[1]
        if method in ("INVITE", "ACK", "BYE", "CANCEL", "UPDATE", "PRACK", "INFO"):
            yield from self._follow(seen, method)
        yield from self._settle(seen.time_ns)

    def end(self) -> Iterator[CallRecord]:
        for call in self.open.values():
            call.record.cut_off = not call.over
            yield call.record
        self.open.clear()

    # --- one message ---

    def _follow(self, seen: Seen, method: str) -> Iterator[CallRecord]:
        message = seen.message
        call = self.open.get(message.call_id)
        new = message.method == "INVITE" and not _tag(message, "to")
        if call is not None and new and call.over and message.cseq[0] > call.invite_cseq:
            yield call.record  # the same Call-ID for another call: the caller tries again (8.1.3.5)
            del self.open[message.call_id]
            call = None
        if call is None:
            if message.status and method != "INVITE" and not _tag(message, "to"):
                self.strays += 1
                return
            call = self._begin(seen, new)
        self.open.move_to_end(message.call_id)
        call.seen_ns = seen.time_ns
        if self._repeated(call, seen):
            call.record.retransmissions += 1
            return
        self._step(call, seen)
        if message.status:
            self._response(call, seen, method)
        else:
            self._request(call, seen, method)
        while len(self.open) > CALLS_MOST:
            _, idle = self.open.popitem(last=False)
            idle.record.cut_off = not idle.over
            yield idle.record

    def _begin(self, seen: Seen, new: bool) -> _Open:
        message = seen.message
        self.number += 1
        source, target = (seen.target, seen.source) if message.status else (seen.source, seen.target)
        record = CallRecord(
            self.number, message.call_id, _caller(message), _called(message), seen.transport, source, target,
            message.get("subject"), _number(message.get("x-patience")), message.get("organization"),
            begun_before=not new,
        )  # fmt: skip
        call = self.open[message.call_id] = _Open(record)
        call.caller_tag = _tag(message, "from")
        if new:
            record.invite_ns, record.invite = seen.time_ns, message
            call.invite_cseq, call.invite_branch = message.cseq[0], _branch(message)
            again = self.refused.pop((record.caller, record.called), None)
            if again is not None and seen.time_ns - again[0] <= AGAIN_NS:
                record.first_try = again[1]
        return call

    @staticmethod
    def _repeated(call: _Open, seen: Seen) -> bool:
        """The same message again: a retransmission, or the same one seen on its next way."""
        message = seen.message
        what = f"{message.status}{_tag(message, 'to')}" if message.status else message.method
        key = f"{what} {seen.source}>{seen.target} {message.cseq[1]}", _branch(message), message.cseq[0]
        if message.method == "ACK" and key in call.keys:
            return True
        if key in call.keys:
            call.keys.move_to_end(key)
            return True
        call.keys[key] = None
        while len(call.keys) > KEYS_MOST:
            call.keys.popitem(last=False)
        return False

    @staticmethod
    def _step(call: _Open, seen: Seen) -> None:
        message = seen.message
        what = f"{message.status} {message.reason_phrase}".strip() if message.status else message.method
        if message.status and message.cseq[1] != "INVITE":
            what += f" ({message.cseq[1]})"
        if len(call.record.steps) < STEPS_MOST:
            call.record.steps.append(
                Step(seen.time_ns, seen.source, seen.target, what, message.cseq[0], seen.place)
            )

    def _request(self, call: _Open, seen: Seen, method: str) -> None:
        record, message, now = call.record, seen.message, seen.time_ns
        by = Side.CALLER if _tag(message, "from") == call.caller_tag else Side.CALLED
        match method:
            case "INVITE" if message.cseq[0] != call.invite_cseq or by is Side.CALLED:
                record.reinvites.append(now)
            case "ACK" if record.ack_ns < 0 and message.cseq[0] in (call.invite_cseq, -1):
                record.ack_ns = now
                if record.status >= 300:
                    call.over = True
            case "CANCEL" if message.cseq[0] == call.invite_cseq and record.cancel_ns < 0:
                record.cancel_ns = now
            case "BYE":
                call.byes.add(message.cseq[0])
                if record.bye_ns < 0:
                    record.bye_ns, record.bye_by, record.cause = now, by, _cause(message)
            case _:
                pass

    def _response(self, call: _Open, seen: Seen, method: str) -> None:
        record, message, now = call.record, seen.message, seen.time_ns
        number, status = message.cseq[0], message.status
        if method == "INVITE" and number == call.invite_cseq:
            if status < 200:
                if record.provisional_ns < 0 and status > 100:
                    record.provisional_ns, record.provisional = now, status
            elif record.answer_ns < 0:
                record.answer_ns, record.status = now, status
                record.later_ms = _later(message)
                if status >= 300 and record.outcome is Outcome.REFUSED:
                    self._refused(record, now)
        elif method == "BYE" and status >= 200 and record.over_ns < 0:
            record.over_ns = now
            call.over = True

    def _refused(self, record: CallRecord, now: int) -> None:
        key = record.caller, record.called
        self.refused[key] = now, record.first_try or record.number, record.call_id
        self.refused.move_to_end(key)
        while len(self.refused) > REFUSED_MOST:
            self.refused.popitem(last=False)

    def _settle(self, now: int) -> Iterator[CallRecord]:
        """Gives out what is over and has been silent, or silent for very long; the table is in that order."""
        while self.open:
            key, call = next(iter(self.open.items()))
            silent = now - call.seen_ns
            if silent <= LINGER_NS or not call.over and silent <= IDLE_NS:
                return
            call.record.cut_off = not call.over
            del self.open[key]
            yield call.record


# --- what headers say ---


# Tags and branches are looked at in every message: found without taking the whole header apart.
TAG = re.compile(r";\s*tag\s*=\s*([^;\s>]+)", re.IGNORECASE)
BRANCH = re.compile(r";\s*branch\s*=\s*([^;,\s]+)", re.IGNORECASE)


def _tag(message: Message, header: str) -> str:
    found = TAG.search(message.get(header).rpartition(">")[2])
    return found[1] if found else ""


def _branch(message: Message) -> str:
    found = BRANCH.search(message.get("via").partition(",")[0])
    return found[1] if found else ""


def _caller(message: Message) -> str:
    try:
        uri = parse_uri(parse_name_addr(message.get("from")).uri)
        return f"{uri.user}@{uri.host}" if uri.user else uri.host
    except AddressError:
        return message.get("from")[:100]


def _called(message: Message) -> str:
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


def _number(text: str) -> float:
    """A plain decimal number; 0 where it is none."""
    main, _, part = text.strip().partition(".")
    plain = main.isascii() and main.isdecimal() and len(main) <= 9
    if not plain or part and not (part.isascii() and part.isdecimal()):
        return 0.0
    return float(f"{main}.{part or 0}")


def _later(message: Message) -> float:
    told = _number(message.get("x-later-ms"))
    return told or 1000 * _number(message.get("retry-after").partition(";")[0].partition("(")[0])


def _cause(message: Message) -> int:
    for part in message.get("reason").split(";"):
        name, _, value = part.partition("=")
        if name.strip().lower() == "cause" and value.strip().isdecimal():
            return int(value.strip()[:4])
    return 0
