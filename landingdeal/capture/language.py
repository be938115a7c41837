"""The filter language for calls: `class == "test-report" and answer_ms > 1500 and called ~ "^2"`.

A filter compares fields with a text, a number or true/false, joined by `and`, `or`, `not` and parentheses;
`~` and `!~` search with a regular expression. Every error message names the column of the error.
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
    ?start: or_expression
    ?or_expression: and_expression ("or" and_expression)*   -> or_expression
    ?and_expression: term ("and" term)*                     -> and_expression
    ?term: "not" term               -> not_expression
        | "(" or_expression ")"
        | NAME OP value             -> comparison
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

CallPredicate = Callable[[CallRecord], bool]
FieldGetter = Callable[[CallRecord], Any]

TEXT_FIELDS: dict[str, FieldGetter] = {
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
NUMBER_FIELDS: dict[str, FieldGetter] = {
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
FLAG_FIELDS: dict[str, FieldGetter] = {
    "again": lambda call: call.first_try > 0,
    "begun_before": lambda call: call.started_before_capture,
    "cut_off": lambda call: call.cut_off,
    "answered": lambda call: call.answer_ns >= 0,
}
OPERATORS: dict[str, Callable[[Any, Any], bool]] = {
    "==": operator.eq, "!=": operator.ne, "<": operator.lt, "<=": operator.le, ">": operator.gt,
    ">=": operator.ge,
}  # fmt: skip


class FilterError(ConfigError):
    """A filter can't be parsed. The message names the column and the reason."""


def _error_at(token: Token, reason: str) -> FilterError:
    return FilterError(f"filter, column {token.column}: {reason}")


class _FilterBuilder(Transformer[Token, CallPredicate]):
    """Builds one predicate from the syntax tree of a filter."""

    def or_expression(self, predicates: list[CallPredicate]) -> CallPredicate:
        return lambda call: any(predicate(call) for predicate in predicates)

    def and_expression(self, predicates: list[CallPredicate]) -> CallPredicate:
        return lambda call: all(predicate(call) for predicate in predicates)

    def not_expression(self, predicates: list[CallPredicate]) -> CallPredicate:
        (predicate,) = predicates
        return lambda call: not predicate(call)

    def flag(self, parts: list[Token]) -> CallPredicate:
        (name,) = parts
        field = FLAG_FIELDS.get(name)
        if field is None:
            known = name in TEXT_FIELDS or name in NUMBER_FIELDS
            reason = f"{name} needs a comparison" if known else _unknown_field(name)
            raise _error_at(name, reason)
        return lambda call: bool(field(call))

    def comparison(self, parts: list[Token]) -> CallPredicate:
        name, symbol, value = parts
        if name in TEXT_FIELDS:
            return self._text_comparison(name, symbol, value)
        if name in NUMBER_FIELDS:
            return self._number_comparison(name, symbol, value)
        if name in FLAG_FIELDS:
            if symbol not in ("==", "!=") or value not in ("true", "false"):
                raise _error_at(value, f"{name} is true or false")
            expected = (value == "true") is (symbol == "==")
            flag = FLAG_FIELDS[name]
            return lambda call: bool(flag(call)) is expected
        raise _error_at(name, _unknown_field(name))

    @staticmethod
    def _text_comparison(name: Token, symbol: Token, value: Token) -> CallPredicate:
        field = TEXT_FIELDS[name]
        if value.type == "NUMBER" and name != "called":
            raise _error_at(value, f"{name} is compared with a text, not a number")
        text = re.sub(r"\\(.)", r"\1", value[1:-1]) if value.type == "STRING" else str(value)
        if symbol in ("~", "!~"):
            try:
                pattern = re.compile(value[1:-1] if value.type == "STRING" else re.escape(value))
            except re.error as error:
                raise _error_at(value, f"invalid regular expression: {error}") from None
            should_match = symbol == "~"
            return lambda call: (pattern.search(field(call)) is not None) is should_match
        compare = OPERATORS[symbol]
        return lambda call: compare(field(call), text)

    @staticmethod
    def _number_comparison(name: Token, symbol: Token, value: Token) -> CallPredicate:
        if symbol not in OPERATORS:
            raise _error_at(symbol, f"{name} is a number; {symbol} applies only to texts")
        if value.type != "NUMBER":
            raise _error_at(value, f"{name} is a number")
        field, compare, number = NUMBER_FIELDS[name], OPERATORS[symbol], float(value)
        return lambda call: compare(field(call), number)


def _unknown_field(name: str) -> str:
    return f"unknown field {name}; fields: {', '.join(sorted([*TEXT_FIELDS, *NUMBER_FIELDS, *FLAG_FIELDS]))}"


_parser = Lark(GRAMMAR, parser="lalr", lexer="contextual", maybe_placeholders=False)


def parse_filter(text: str) -> CallPredicate:
    """The predicate of a filter. An empty filter accepts every call. Raises FilterError."""
    if not text.strip():
        return lambda call: True
    try:
        return _FilterBuilder().transform(_parser.parse(text))
    except VisitError as error:
        if isinstance(error.orig_exc, FilterError):
            raise error.orig_exc from None
        raise
    except UnexpectedEOF:
        raise FilterError(f"filter, column {len(text) + 1}: the filter ends too early") from None
    except UnexpectedCharacters as error:
        raise FilterError(
            f"filter, column {error.column}: unexpected {text[error.pos_in_stream or 0 :][:12]!r}"
        ) from None
    except UnexpectedInput as error:
        token = getattr(error, "token", None)
        if token is None or token.type == "$END":
            raise FilterError(f"filter, column {len(text) + 1}: the filter ends too early") from None
        raise FilterError(f"filter, column {token.column}: unexpected {str(token)!r}") from None
