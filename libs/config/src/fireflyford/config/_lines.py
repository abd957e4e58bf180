"""Line numbers of the values in a JSON text."""

from collections.abc import Mapping
import dataclasses
import json
import re

import msgspec

from fireflyford.config import _faults

_TOKEN = re.compile(r'"(?:[^"\\]|\\.)*"|[{}\[\],:]|[^\s{}\[\],:"]+')


@dataclasses.dataclass(frozen=True)
class Positions:
    """Positions of the values in a JSON text.

    Attributes:
        lines: Line of each value. A value in an object has the line of its
            name. Names that appear twice have the line of the last one, which
            is the one that counts.
        duplicates: Paths of fields that an object has twice.
    """

    lines: Mapping[_faults.Path, int]
    duplicates: tuple[_faults.Path, ...]


def find_positions(text: str) -> Positions:
    r"""Returns the positions of the values of a valid JSON text.

    >>> find_positions('{"a":\n [1,\n  2]}').lines[("a", 1)]
    3
    >>> find_positions('[{"a": 1, "a": 2}]').duplicates
    ((0, 'a'),)
    """
    scanner = _Scanner(text)
    return Positions(scanner.lines, tuple(dict.fromkeys(scanner.duplicates)))


def line_of(lines: Mapping[_faults.Path, int], path: _faults.Path) -> int:
    """Returns the line of a value, or that of what would contain it.

    >>> line_of({(): 1, ("a",): 2}, ("a", "missing"))
    2
    """
    while path and path not in lines:
        path = path[:-1]
    return lines.get(path, 1)


def line_of_failure(text: bytes, message: str) -> int | None:
    r"""Returns the line that a message of the parser names, None if none.

    The parser names a byte of malformed JSON, and a path in other cases.

    >>> line_of_failure(b'{\n  x}', "JSON is malformed (byte 4)")
    2
    """
    offset = re.search(r"\(byte (\d+)\)", message)
    if offset is not None:
        return text.count(b"\n", 0, int(offset[1])) + 1
    named = re.search(r"`(?:key` in `)?\$([^`]*)`", message)
    if named is None:
        return None
    try:
        msgspec.json.decode(text)
        lines = find_positions(text.decode()).lines
    except (ValueError, RecursionError):
        return None
    parts = re.findall(r"\.([^.\[\]]+)|\[(\d+)\]", named[1])
    path = tuple(name or int(index) for name, index in parts)
    return line_of(lines, path)


class _Scanner:
    """Walks the tokens of a valid JSON text without recursion."""

    def __init__(self, text: str) -> None:
        """Scans a text."""
        self.lines: dict[_faults.Path, int] = {}
        self.duplicates: list[_faults.Path] = []
        # Path of each open object or array, and the index of the next element
        # of an array, None for an object.
        self._open: list[tuple[_faults.Path, int | None]] = []
        self._name: str | None = None
        line, position = 1, 0
        tokens = list(_TOKEN.finditer(text))
        for index, token in enumerate(tokens):
            line += text.count("\n", position, token.start())
            position = token.start()
            following = tokens[index + 1][0] if index + 1 < len(tokens) else ""
            self._handle(token[0], following, line)

    def _handle(self, token: str, following: str, line: int) -> None:
        if token in ",:":
            return
        if token in "}]":
            self._open.pop()
            return
        if following == ":" and self._name is None:
            self._name = json.loads(token)
            path = (*self._open[-1][0], self._name)
            if path in self.lines:
                self.duplicates.append(path)
            self.lines[path] = line
            return
        path = self._next_path()
        self.lines.setdefault(path, line)
        if token in "{[":
            self._open.append((path, None if token == "{" else 0))

    def _next_path(self) -> _faults.Path:
        if not self._open:
            return ()
        path, index = self._open[-1]
        if index is None:
            assert self._name is not None
            name, self._name = self._name, None
            return (*path, name)
        self._open[-1] = (path, index + 1)
        return (*path, index)
