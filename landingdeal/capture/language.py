"""The filter language for calls: `class == "test-report" and answer_ms > 1500 and called ~ "^2"`.

Comparisons of a field with a text, a number or true/false, joined by `and`, `or`, `not` and parentheses; `~`
and `!~` search with a regular expression. Every error names the column at which it stands.
"""

from __future__ import annotations

import operator
import re
from collections.abc import Callable
from typing import Any

from lark import Lark, Token, Transformer
from lark.exceptions import UnexpectedCharacters, UnexpectedEOF, UnexpectedInput, VisitError

from landingdeal.capture.calls import CallRecord
from landingdeal.errors import ConfigError

GRAMMAR = r"""
    ?start: either
    ?either: both ("or" both)*      -> either
    ?both: one ("and" one)*         -> both
    ?one: "not" one                 -> negated
        | "(" either ")"
        | NAME OP value             -> compared
        | NAME                      -> flag
    ?value: STRING | NUMBER | WORD
    OP: "==" | "!=" | "<=" | ">=" | "<" | ">" | "~" | "!~"
    NAME: /(?!(?:and|or|not)\b)[a-z][a-z_]*/
    WORD: /(?!(?:and|or|not)\b)[A-Za-z][\w.\-]*/
    STRING: /"(?:[^"\\]|\\.)*"/
    NUMBER: /-?\d+(?:\.\d+)?/
    %import common.WS
    %ignore WS
"""

Test = Callable[[CallRecord], bool]
Field = Callable[[CallRecord], Any]

TEXTS: dict[str, Field] = {
    "method": lambda call: "INVITE",
    "class": lambda call: call.class_name,
    "call_id": lambda call: call.call_id,
    "caller": lambda call: call.caller,
    "called": lambda call: call.called,
    "organization": lambda call: call.organization,
    "transport": lambda call: call.transport,
    "source": lambda call: call.source[0],
    "target": lambda call: call.target[0],
    "outcome": lambda call: call.outcome.value,
    "ended_by": lambda call: call.released_by.value if call.released_by else "",
}
NUMBERS: dict[str, Field] = {
    "number": lambda call: call.number,
    "status": lambda call: call.status,
    "answer_ms": lambda call: call.answer_ms,
    "hold_ms": lambda call: call.hold_ms,
    "patience_ms": lambda call: call.patience_ms,
    "later_ms": lambda call: call.retry_after_ms,
    "cause": lambda call: call.cause,
    "retransmissions": lambda call: call.retransmissions,
    "reinvites": lambda call: len(call.reinvites),
    "source_port": lambda call: call.source[1],
    "target_port": lambda call: call.target[1],
    "at": lambda call: call.start_ns / 1e9,
}
FLAGS: dict[str, Field] = {
    "again": lambda call: call.first_try > 0,
    "begun_before": lambda call: call.started_before_capture,
    "cut_off": lambda call: call.cut_off,
    "answered": lambda call: call.answer_ns >= 0,
}
ORDERED: dict[str, Callable[[Any, Any], bool]] = {
    "==": operator.eq, "!=": operator.ne, "<": operator.lt, "<=": operator.le, ">": operator.gt,
    ">=": operator.ge,
}  # fmt: skip


class BadFilter(ConfigError):
    """The text says what is wrong, and at which column."""


def _wrong(token: Token, why: str) -> BadFilter:
    return BadFilter(f"filter, column {token.column}: {why}")


class _Make(Transformer[Token, Test]):
    """From the parsed tree to one function."""

    def either(self, tests: list[Test]) -> Test:
        return lambda call: any(test(call) for test in tests)

    def both(self, tests: list[Test]) -> Test:
        return lambda call: all(test(call) for test in tests)

    def negated(self, tests: list[Test]) -> Test:
        (test,) = tests
        return lambda call: not test(call)

    def flag(self, parts: list[Token]) -> Test:
        (name,) = parts
        field = FLAGS.get(name)
        if field is None:
            known = name in TEXTS or name in NUMBERS
            why = f"{name} wants a comparison" if known else _unknown(name)
            raise _wrong(name, why)
        return lambda call: bool(field(call))

    def compared(self, parts: list[Token]) -> Test:
        name, sign, value = parts
        if name in TEXTS:
            return self._text(name, sign, value)
        if name in NUMBERS:
            return self._number(name, sign, value)
        if name in FLAGS:
            if sign not in ("==", "!=") or value not in ("true", "false"):
                raise _wrong(value, f"{name} is true or false")
            wanted = (value == "true") is (sign == "==")
            flag = FLAGS[name]
            return lambda call: bool(flag(call)) is wanted
        raise _wrong(name, _unknown(name))

    @staticmethod
    def _text(name: Token, sign: Token, value: Token) -> Test:
        field = TEXTS[name]
        if value.type == "NUMBER" and name != "called":
            raise _wrong(value, f"{name} is a text")
        text = re.sub(r"\\(.)", r"\1", value[1:-1]) if value.type == "STRING" else str(value)
        if sign in ("~", "!~"):
            try:
                pattern = re.compile(value[1:-1] if value.type == "STRING" else re.escape(value))
            except re.error as error:
                raise _wrong(value, f"no regular expression: {error}") from None
            found = sign == "~"
            return lambda call: (pattern.search(field(call)) is not None) is found
        compare = ORDERED[sign]
        return lambda call: compare(field(call), text)

    @staticmethod
    def _number(name: Token, sign: Token, value: Token) -> Test:
        if sign not in ORDERED:
            raise _wrong(sign, f"{name} is a number, which {sign} does not search")
        if value.type != "NUMBER":
            raise _wrong(value, f"{name} is a number")
        field, compare, number = NUMBERS[name], ORDERED[sign], float(value)
        return lambda call: compare(field(call), number)


def _unknown(name: str) -> str:
    return f"no field {name}; known are {', '.join(sorted([*TEXTS, *NUMBERS, *FLAGS]))}"


_parser = Lark(GRAMMAR, parser="lalr", lexer="contextual", maybe_placeholders=False)


def parse(text: str) -> Test:
    """Raises BadFilter. An empty filter lets every call through."""
    if not text.strip():
        return lambda call: True
    try:
        return _Make().transform(_parser.parse(text))
    except VisitError as error:
        if isinstance(error.orig_exc, BadFilter):
            raise error.orig_exc from None
        raise
    except UnexpectedEOF:
        raise BadFilter(f"filter, column {len(text) + 1}: it ends too early") from None
    except UnexpectedCharacters as error:
        raise BadFilter(f"filter, column {error.column}: {text[error.pos_in_stream or 0 :][:12]!r}") from None
    except UnexpectedInput as error:
        token = getattr(error, "token", None)
        if token is None or token.type == "$END":
            raise BadFilter(f"filter, column {len(text) + 1}: it ends too early") from None
        raise BadFilter(f"filter, column {token.column}: {str(token)!r} was not expected") from None
