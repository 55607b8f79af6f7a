# This file is part of crowdeck.
#
# Copyright the crowdeck maintainers and contributors.
# SPDX-License-Identifier: Apache-2.0

"""Converts messages to Cap'n Proto structs and back.

The converters are derived from the fields of the classes: a new message needs
a struct in the schema and a class, but no code here.
"""

from collections import abc
import importlib.resources
import itertools
import operator
import typing

import attrs
import capnp
import cattrs
from cattrs import gen

from crowdeck import errors
from crowdeck.wire import messages
from crowdeck.wire import questions

# pycapnp reads the schema at import; there is no generated code.
SCHEMA: typing.Any = capnp.load(
    str(importlib.resources.files("crowdeck.wire") / "crowdeck.capnp")
)

_Struct = dict[str, typing.Any]


def _to_camel_case(name: str) -> str:
    first, *rest = name.split("_")
    return first + "".join(part.capitalize() for part in rest)


def _union_field_name(cls: type) -> str:
    return cls.__name__[0].lower() + cls.__name__[1:]


def _field_overrides(cls: type) -> dict[str, typing.Any]:
    return {
        field.name: cattrs.override(rename=_to_camel_case(field.name))
        for field in attrs.fields(cls)
    }


def _make_converter() -> cattrs.Converter:
    converter = cattrs.Converter(
        unstruct_collection_overrides={tuple: list, abc.Sequence: list},
    )
    converter.register_unstructure_hook_factory(
        attrs.has,
        lambda cls: gen.make_dict_unstructure_fn(
            cls, converter, **_field_overrides(cls)
        ),
    )
    converter.register_structure_hook_factory(
        attrs.has,
        lambda cls: gen.make_dict_structure_fn(
            cls, converter, **_field_overrides(cls)
        ),
    )
    # Cap'n Proto has a type for bytes; by default, cattrs would convert them
    # from and to base64 text.
    converter.register_structure_hook(bytes, lambda value, _: bytes(value))
    converter.register_unstructure_hook(bytes, lambda value: value)
    return converter


_CONVERTER = _make_converter()


def _malformed_error(error: Exception) -> errors.CrowdeckError:
    return errors.CrowdeckError(
        errors.Code.MALFORMED,
        f"cannot decode a message ({type(error).__name__})",
    )


class UnionCodec:
    """Encodes and decodes a union of message classes."""

    def __init__(self, union: typing.Any) -> None:
        classes: tuple[type, ...] = typing.get_args(union)
        self._class_by_name = {_union_field_name(cls): cls for cls in classes}
        self._name_by_class = {
            cls: name for name, cls in self._class_by_name.items()
        }

    def encode(self, message: typing.Any) -> _Struct:
        """Return the struct as a dict.

        :raises KeyError: if the class is not in the union.
        """
        name = self._name_by_class[type(message)]
        return {name: _CONVERTER.unstructure(message)}

    def decode(self, struct: typing.Any) -> typing.Any:
        """Return the message in ``struct``.

        :raises CrowdeckError: ``MALFORMED`` if it is not a valid message.
        """
        try:
            name = str(struct.which())
            body = getattr(struct, name).to_dict(verbose=True)
            return _CONVERTER.structure(body, self._class_by_name[name])
        except Exception as error:
            # cattrs and pycapnp raise many types of errors; all of them
            # mean that the message is invalid.
            raise _malformed_error(error) from error


class ColumnCodec:
    """Encodes and decodes records of one class as a list per field."""

    def __init__(self, cls: type) -> None:
        self._cls = cls
        names = [field.name for field in attrs.fields(cls)]
        self._columns = [_to_camel_case(name) for name in names]
        self._get_values = operator.attrgetter(*names)

    def encode(self, records: list[typing.Any]) -> _Struct:
        """Return the columns as a dict."""
        columns = zip(*map(self._get_values, records), strict=True)
        return dict(zip(self._columns, map(list, columns), strict=True))

    def decode(self, struct: typing.Any) -> list[typing.Any]:
        """Return the records.

        :raises ValueError: if the columns have different lengths.
        """
        columns = [list(getattr(struct, name)) for name in self._columns]
        rows = zip(*columns, strict=True)
        return list(itertools.starmap(self._cls, rows))


RECORDS = UnionCodec(messages.Record)
_COLUMNS: dict[str, ColumnCodec] = {
    "steps": ColumnCodec(messages.Step),
    "tokens": ColumnCodec(messages.Token),
    "answers": ColumnCodec(messages.Answer),
}
_COLUMN_NAMES: dict[type, str] = {
    messages.Step: "steps",
    messages.Token: "tokens",
    messages.Answer: "answers",
}
QUESTIONS = UnionCodec(questions.Question)
REPLIES = UnionCodec(questions.Reply)


def encode_runs(records: abc.Iterable[messages.Record]) -> list[_Struct]:
    """Return the runs of a batch as dicts, in the order of the records.

    A run contains consecutive records of one class.
    """
    runs: list[_Struct] = []
    for cls, group in itertools.groupby(records, type):
        name = _COLUMN_NAMES.get(cls)
        if name is None:
            runs.extend({"record": RECORDS.encode(record)} for record in group)
        else:
            runs.append({name: _COLUMNS[name].encode(list(group))})
    return runs


def decode_runs(runs: typing.Any) -> abc.Iterator[messages.Record]:
    """Yield the records of a batch.

    :raises CrowdeckError: ``MALFORMED`` if one cannot be decoded.
    """
    for run in runs:
        name = str(run.which())
        if name == "record":
            yield RECORDS.decode(run.record)
            continue
        try:
            records = _COLUMNS[name].decode(getattr(run, name))
        except Exception as error:
            raise _malformed_error(error) from error
        yield from records


def encode_greeting(greeting: messages.Greeting) -> _Struct:
    """Return the greeting as a dict."""
    struct: _Struct = _CONVERTER.unstructure(greeting)
    return struct


def decode_greeting(struct: typing.Any) -> messages.Greeting:
    """Return the greeting in ``struct``."""
    return _CONVERTER.structure(
        struct.to_dict(verbose=True), messages.Greeting
    )
