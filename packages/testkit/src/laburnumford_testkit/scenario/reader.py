"""Parses scenario files and checks their contents."""

import functools
import importlib.resources
import pathlib
import re
from collections.abc import Callable
from typing import Any

import lark
from lark import exceptions as lark_exceptions

from laburnumford_objects import deployment as deployments
from laburnumford_objects import errors as object_errors
from laburnumford_objects import object_set
from laburnumford_testkit import errors
from laburnumford_testkit.caller import call as call_module
from laburnumford_testkit.scenario import event, expectation, script, timed_load

EXAMPLES_FOLDER = pathlib.Path(__file__).parents[5] / "examples"
MAX_SCENARIO_CHARACTERS = 65_536
MAX_SCENARIO_S = 20.0
_MAX_RATE_PER_S = 500
_MAX_BODY_BYTES = 20_000_000
_MAX_SHOWN_CHARACTERS = 60
_NODE_SETTINGS_STEM = "node"  # settings of a node, in the same folder as the deployment files

_TEXT_BY_TERMINAL = {
    "$END": "the end of the file",
    "CHUNKED": "in chunks",
    "DECIMAL": "a number such as 1.2",
    "DURATION": "a time such as 500 ms or 2 s",
    "INT": "a whole number",
    "LIMIT": "at least, at most",
    "METHOD": "GET, POST, PUT",
    "NAME": "a name",
    "ONE_WAY": "one way",
    "OUTCOME": "answered, refused, unknown",
    "PATH": "a path such as /stock/7",
    "PERCENT": "a share such as 95 %",
    "QUANTILE": "p50, p99, p999",
    "SIZE": "a size such as 400 bytes or 3 MB",
    "STRING": "a title in quotes",
    "_NL": "the end of the line",
}
_BYTES_BY_UNIT = {"bytes": 1, "KB": 1000, "MB": 1_000_000}
_ACTIONS_WITH_REQUIRED_END = frozenset({"pause_server", "pause_node", "partition", "down"})
_SERVER_ACTIONS = frozenset(
    {"slow", "refuse", "late", "truncate", "close_", "stall", "pause_server", "drain"}
    | {"kill_server", "pause_node", "kill_node", "stop_node", "replaced"}
)
_ACTIONS_WITHOUT_END = frozenset({"publish", "replaced", "stop_node"})

Tree = lark.Tree[lark.Token]


def load(path: pathlib.Path, examples: pathlib.Path = EXAMPLES_FOLDER) -> script.Script:
    """Reads a scenario from a file.

    Args:
        path: the scenario file.
        examples: folder of the deployment files.

    Raises:
        ScenarioError: the file cannot be read or contains an error.
    """
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise errors.ScenarioError(str(path), 1, f"cannot be read: {error}") from error
    return read(text, str(path), examples)


def read(text: str, name: str, examples: pathlib.Path = EXAMPLES_FOLDER) -> script.Script:
    """Reads a scenario from a text.

    Args:
        text: the scenario.
        name: name of the file, for error messages.
        examples: folder of the deployment files.

    Raises:
        ScenarioError: the text contains an error; the message names file, line and what was
            expected.
    """
    if len(text) > MAX_SCENARIO_CHARACTERS:
        raise errors.ScenarioError(
            name, 1, f"found {len(text)} characters; expected at most {MAX_SCENARIO_CHARACTERS}"
        )
    return _Builder(name=name, text=text, examples=examples).build(_parse(text, name))


@functools.cache
def _parser() -> lark.Lark:
    grammar = (importlib.resources.files(__package__) / "grammar.lark").read_text("utf-8")
    return lark.Lark(grammar, parser="lalr", propagate_positions=True, maybe_placeholders=True)


def _parse(text: str, name: str) -> Tree:
    try:
        return _parser().parse(text + "\n")
    except lark_exceptions.UnexpectedInput as error:
        raise errors.ScenarioError(name, max(1, error.line), _describe(error, text)) from error


def _describe(error: lark_exceptions.UnexpectedInput, text: str) -> str:
    if isinstance(error, lark_exceptions.UnexpectedToken):
        found = "the end of the line" if error.token.type in ("_NL", "$END") else str(error.token)
        accepted = error.accepts or error.expected
    else:
        rest = text[error.pos_in_stream or 0 :].splitlines() or [""]
        found = rest[0].split(" ")[0]
        accepted = getattr(error, "allowed", None) or set()
    words = sorted({_terminal_text(terminal) for terminal in accepted})
    return f"found {found[:_MAX_SHOWN_CHARACTERS]!r}; expected {', '.join(words) or 'a statement'}"


def _terminal_text(terminal: str) -> str:
    if terminal in _TEXT_BY_TERMINAL:
        return _TEXT_BY_TERMINAL[terminal]
    return str(_parser().get_terminal(terminal).pattern.value)


class _Builder:
    """Converts the syntax tree of a file to a script and checks what the grammar cannot check."""

    def __init__(self, *, name: str, text: str, examples: pathlib.Path) -> None:
        self._name = name
        self._lines = (text + "\n").split("\n")
        self._examples = examples
        self._line = 1
        self._title = ""
        self._objects: object_set.ObjectSet | None = None
        self._services: tuple[str, ...] = ()
        self._seed = 1
        self._service_ms: dict[str, float] = {}
        self._calls: dict[str, call_module.Call] = {}
        self._doubled_kinds: set[str] = set()
        self._loads: list[timed_load.TimedLoad] = []
        self._events: list[event.Event] = []
        self._expectations: list[expectation.Expectation] = []

    def build(self, tree: Tree) -> script.Script:
        """Returns the script of a syntax tree.

        Raises:
            ScenarioError: a statement is missing or has a value that is not allowed.
        """
        for statement in _subtrees(tree):
            self._line = statement.meta.line
            add: Callable[[Tree], None] = getattr(self, f"_add_{statement.data}")
            add(statement)
        self._line = max(1, len("\n".join(self._lines).rstrip().split("\n")))
        for found, wanted in (
            (self._title, "scenario"),
            (self._objects, "deployment"),
            (self._loads, "load"),
        ):
            if not found:
                raise self._error(f"found no line '{wanted}'; expected one")
        return script.Script(
            title=self._title,
            objects=self._deployment(),
            services=self._services or tuple(self._deployment().services_by_name),
            seed=self._seed,
            service_ms_by_service=self._service_ms,
            calls_by_kind=self._calls,
            doubled_kinds=frozenset(self._doubled_kinds),
            loads=tuple(self._loads),
            events=tuple(self._events),
            expectations=tuple(self._expectations),
        )

    def _error(self, message: str) -> errors.ScenarioError:
        return errors.ScenarioError(self._name, self._line, message)

    def _deployment(self) -> object_set.ObjectSet:
        if self._objects is None:
            raise self._error("found no line 'deployment' above; expected one")
        return self._objects

    def _check_known(self, kind: str, name: str, allowed: set[str]) -> str:
        name = str(name)
        if name not in allowed:
            words = ", ".join(sorted(allowed)) or "none"
            raise self._error(f"found {kind} {name!r}; expected one of: {words}")
        return name

    def _servers_by_zone(self) -> dict[str, list[str]]:
        objects = self._deployment()
        groups = {
            objects.services_by_name[name].group
            for name in self._services or objects.services_by_name
        }
        found: dict[str, list[str]] = {}
        for group in sorted(groups):
            for server in objects.groups_by_name[group].backend_servers:
                found.setdefault(server.zone, []).append(server.name)
        return found

    def _server_names(self, names: tuple[str, ...]) -> tuple[str, ...]:
        """Returns the names of the servers; the name of a zone is replaced by those of its servers."""
        zones = self._servers_by_zone()
        allowed = {name for servers in zones.values() for name in servers}
        found: list[str] = []
        for name in names:
            if name in zones:
                found += zones[name]
            else:
                found.append(self._check_known("server or zone", name, allowed | set(zones)))
        return tuple(found)

    def _add_title(self, tree: Tree) -> None:
        self._title = _tokens(tree)[0].strip('"')

    def _add_deployment(self, tree: Tree) -> None:
        known = {path.stem for path in self._examples.glob("*.jsonc")} - {_NODE_SETTINGS_STEM}
        name = self._check_known("deployment", _tokens(tree)[0], known)
        try:
            self._objects = deployments.load(str(self._examples / f"{name}.jsonc"))
        except object_errors.LaburnumfordError as error:
            raise self._error(str(error)) from error

    def _add_services(self, tree: Tree) -> None:
        if self._events or self._loads:
            raise self._error(
                "found line 'services' below a line 'load' or 'at'; expected it above"
            )
        allowed = set(self._deployment().services_by_name)
        self._services = tuple(
            self._check_known("service", name, allowed) for name in _name_lists(tree)[0]
        )

    def _add_seed(self, tree: Tree) -> None:
        self._seed = int(_tokens(tree)[0])

    def _add_speed(self, tree: Tree) -> None:
        name, duration = _tokens(tree)
        self._check_known("service", name, set(self._deployment().services_by_name))
        self._service_ms[name] = 1000 * _seconds(duration)

    def _add_call(self, tree: Tree) -> None:
        kind, method, path = (str(token) for token in _tokens(tree))
        fields: dict[str, Any] = {}
        for option in _subtrees(tree):
            values = _tokens(option)
            if option.data == "body":
                fields["body_bytes"] = self._body_bytes(values[0])
                fields["body_rate"] = float(self._body_bytes(values[1])) if values[1:] else None
            elif option.data == "answer":
                fields["answer_bytes"] = self._body_bytes(values[0])
                fields["chunked_answer"] = bool(values[1:])
            elif option.data == "two_nodes":
                self._doubled_kinds.add(kind)
            else:
                name = {"timeout": "timeout_ms", "work": "work_ms"}[str(option.data)]
                fields[name] = int(1000 * self._bounded_seconds(values[0]))
        self._calls[kind] = call_module.Call(kind=kind, method=method, path=path, **fields)

    def _add_load(self, tree: Tree) -> None:
        kind, rate, begin, end = _tokens(tree)
        self._check_known("kind of calls", kind, set(self._calls))
        if not 1 <= int(rate) <= _MAX_RATE_PER_S:
            raise self._error(f"found rate {rate}; expected 1 to {_MAX_RATE_PER_S} per second")
        entry_nodes = _name_lists(tree)
        self._loads.append(
            timed_load.TimedLoad(
                kind=str(kind),
                rate_per_s=float(rate),
                begin_s=self._bounded_seconds(begin),
                end_s=self._end_seconds(begin, end),
                entry_nodes=self._server_names(entry_nodes[0]) if entry_nodes else (),
            )
        )

    def _add_event(self, tree: Tree) -> None:
        (action,) = _subtrees(tree, excluded="names")
        action_name = str(action.data)
        tokens = [token for token in tree.children if isinstance(token, lark.Token)]
        times = [token for token in tokens if token.type == "DURATION"]
        names = tuple(str(token) for token in tokens if token.type == "NAME")
        if len(times) == 1 and action_name in _ACTIONS_WITH_REQUIRED_END:
            raise self._error("found no end of this fault; expected until and a time")
        if len(times) == 2 and action_name in _ACTIONS_WITHOUT_END:
            raise self._error(
                "found until for an action without an end; expected the end of the line"
            )
        fields: dict[str, Any] = {}
        for value in _tokens(action):
            if value.type == "PERCENT":
                fields["share"] = float(value.rstrip("% \t")) / 100
            elif value.type == "DURATION":
                fields["magnitude"] = self._bounded_seconds(value)
            elif value.type == "INT":
                fields["magnitude"] = float(value)
            elif value.type == "ONE_WAY":
                fields["one_way"] = True
        if action_name == "zone_lost":
            zone = self._check_known("zone", _tokens(action)[0], set(self._servers_by_zone()))
            names = self._server_names((zone,))
        elif action_name == "partition":
            first, second = _name_lists(action)
            names, fields["other_side_names"] = (
                self._server_names(first),
                self._server_names(second),
            )
        elif action_name == "replaced":
            names = self._server_names(_name_lists(action)[0])
        elif action_name in _SERVER_ACTIONS:
            names = self._server_names(names)
        self._events.append(
            event.Event(
                action=action_name,
                line=self._line,
                begin_s=self._bounded_seconds(times[0]),
                end_s=self._end_seconds(times[0], times[1]) if len(times) == 2 else None,
                target_names=names,
                **fields,
            )
        )

    def _add_expect(self, tree: Tree) -> None:
        (bound,) = _subtrees(tree, excluded="window")
        values = _tokens(bound)
        fields: dict[str, Any] = {"measure": "runs"}
        kinds = [str(value) for value in values if value.type == "NAME"]
        for kind in kinds:
            self._check_known("kind of calls", kind, set(self._calls))
        if bound.data == "share_bound":
            key = "lowest" if "least" in values[-2] else "highest"
            fields = {"measure": str(values[0]), key: float(values[-1].rstrip("% \t"))}
        elif bound.data == "time_bound":
            fields = {"measure": str(values[0]), "highest": 1000 * _seconds(values[-1])}
        elif bound.data == "order":
            fields = {"measure": str(values[0]), "above_measure": str(values[2])}
            fields["above_kind"] = kinds[1]
        else:
            fields["highest"] = float(values[-1])
        for window in _subtrees(tree):
            if window.data == "window":
                begin, end = _tokens(window)
                fields["begin_s"] = self._bounded_seconds(begin)
                fields["end_s"] = self._end_seconds(begin, end)
        self._expectations.append(
            expectation.Expectation(
                text=self._lines[self._line - 1].partition("#")[0].strip(),
                line=self._line,
                kind=kinds[0] if kinds else "",
                **fields,
            )
        )

    def _bounded_seconds(self, text: str) -> float:
        found = _seconds(text)
        if found > MAX_SCENARIO_S:
            raise self._error(f"found {text}; expected at most {MAX_SCENARIO_S:g} s")
        return found

    def _end_seconds(self, begin: str, end: str) -> float:
        if _seconds(end) <= _seconds(begin):
            raise self._error(f"found {end}; expected a time after {begin}")
        return self._bounded_seconds(end)

    def _body_bytes(self, text: str) -> int:
        number, unit = re.fullmatch(r"([0-9]+)\s*(\w+)", text).groups()  # type: ignore[union-attr]
        found = int(number) * _BYTES_BY_UNIT[unit]
        if not 1 <= found <= _MAX_BODY_BYTES:
            raise self._error(f"found {text}; expected 1 to {_MAX_BODY_BYTES} bytes")
        return found


def _subtrees(tree: Tree, excluded: str = "names") -> list[Tree]:
    return [
        child for child in tree.children if isinstance(child, lark.Tree) and child.data != excluded
    ]


def _tokens(tree: Tree) -> list[lark.Token]:
    return [child for child in tree.children if isinstance(child, lark.Token)]


def _name_lists(tree: Tree) -> list[tuple[str, ...]]:
    return [
        tuple(str(name) for name in child.children)
        for child in tree.children
        if isinstance(child, lark.Tree) and child.data == "names"
    ]


def _seconds(text: str) -> float:
    if text.endswith("ms"):
        return float(text[:-2]) / 1000
    return float(text[:-1])
