"""Typed options that validate JSON values and collect every problem."""

from __future__ import annotations

import json
import re

from briarspoke import codes

REQUIRED = object()

OPTION_MISSING = codes.register(
    8001,
    "option-missing",
    codes.Kind.CALLER_ERROR,
    422,
    "A required option is missing.",
)
OPTION_UNKNOWN = codes.register(
    8002, "option-unknown", codes.Kind.CALLER_ERROR, 422, "An option is unknown."
)
OPTION_TYPE = codes.register(
    8003,
    "option-type",
    codes.Kind.CALLER_ERROR,
    422,
    "An option has a value of the wrong type.",
)
OPTION_RANGE = codes.register(
    8004,
    "option-range",
    codes.Kind.CALLER_ERROR,
    422,
    "An option has a value outside its bounds or choices.",
)
OPTION_FORMAT = codes.register(
    8005,
    "option-format",
    codes.Kind.CALLER_ERROR,
    422,
    "An option has a value in the wrong format.",
)


def parse_json(data):
    """Returns the value of JSON text or bytes.

    Unlike ``json.loads``, it rejects constants that are not JSON, such as ``NaN``, and
    objects with duplicate names, of which only the last value would be used.

    :raises ValueError: if the data is not JSON.
    """
    try:
        return json.loads(
            data,
            parse_constant=_reject_constant,
            object_pairs_hook=_reject_duplicate_names,
        )
    except RecursionError as error:
        raise ValueError("it is nested too deeply") from error


def _reject_constant(name):
    raise ValueError(f"{name} is not a JSON value")


def _reject_duplicate_names(pairs):
    value = dict(pairs)
    if len(value) < len(pairs):
        names = [name for name, _ in pairs]
        duplicate = next(name for name in names if names.count(name) > 1)
        raise ValueError(f"duplicate name {duplicate[:40]!r} in an object")
    return value


class Problem:
    """One reason why a value is invalid.

    :param path: JSON path of the value, such as ``$.listen.port``.
    :param code: the :class:`briarspoke.codes.ResultCode`.
    :param message: what is wrong, to be read after the path; without secrets.
    """

    __slots__ = ("code", "message", "path")

    def __init__(self, *, path, code, message):
        self.path = path
        self.code = code
        self.message = message

    def __repr__(self):
        return f"<Problem {self.code.number} {self.path}: {self.message}>"

    def __str__(self):
        return f"{self.path}: {self.message} [{self.code.number} {self.code.name}]"

    def as_json(self):
        """Returns the problem as a JSON object."""
        return {
            "path": self.path,
            "code": self.code.number,
            "name": self.code.name,
            "message": self.message,
        }


class Option:
    """Base of all options.

    :param default: value of an absent option, or a function that returns it;
        ``REQUIRED`` makes the option required.
    :param help: one sentence for the documentation, with the unit.
    :param secret: whether the value is secret; problems then omit even its type.
    """

    __slots__ = ("default", "help", "secret")
    type_name = "any"

    def __init__(self, *, default=REQUIRED, help="", secret=False):
        self.default = default
        self.help = help
        self.secret = secret

    def check(self, value, path, problems):
        """Returns the checked value and appends each :class:`Problem` to ``problems``.

        :param path: JSON path of the value.
        """
        return value

    def check_absent(self, path, problems):
        """Returns the default, or adds a problem if the option is required."""
        if self.default is REQUIRED:
            problems.append(
                Problem(path=path, code=OPTION_MISSING, message="is required")
            )
            return None
        return self.default() if callable(self.default) else self.default

    def add_type_problem(self, value, path, problems):
        """Adds a problem with the type of a value."""
        message = f"is not {self.type_name}"
        if not self.secret:
            message += f", but {type(value).__name__}"
        problems.append(Problem(path=path, code=OPTION_TYPE, message=message))

    def json_schema(self):
        """Returns the JSON schema of the option."""
        return {}


class Text(Option):
    """A string, checked against a pattern and a maximum length."""

    __slots__ = ("max_length", "pattern")
    type_name = "a string"

    def __init__(self, *, pattern=None, max_length=1024, **kwargs):
        super().__init__(**kwargs)
        self.pattern = pattern
        self.max_length = max_length

    def check(self, value, path, problems):
        if not isinstance(value, str):
            self.add_type_problem(value, path, problems)
            return None
        if len(value) > self.max_length:
            message = f"has more than {self.max_length} characters"
            problems.append(Problem(path=path, code=OPTION_RANGE, message=message))
        elif self.pattern and not re.fullmatch(self.pattern, value):
            message = f"does not match {self.pattern}"
            problems.append(Problem(path=path, code=OPTION_FORMAT, message=message))
        return value

    def json_schema(self):
        schema = {"type": "string", "maxLength": self.max_length}
        if self.pattern:
            schema["pattern"] = f"^(?:{self.pattern})$"
        return schema


class Choice(Option):
    """One string out of a fixed set."""

    __slots__ = ("choices",)
    type_name = "a string"

    def __init__(self, choices, **kwargs):
        super().__init__(**kwargs)
        self.choices = tuple(choices)

    def check(self, value, path, problems):
        if not isinstance(value, str):
            self.add_type_problem(value, path, problems)
        elif value not in self.choices:
            message = f"is not one of {', '.join(self.choices)}"
            problems.append(Problem(path=path, code=OPTION_RANGE, message=message))
        return value

    def json_schema(self):
        return {"type": "string", "enum": list(self.choices)}


class Number(Option):
    """A number within inclusive bounds.

    :param minimum: smallest value allowed, or None.
    :param maximum: largest value allowed, or None.
    """

    __slots__ = ("maximum", "minimum")
    type_name = "a number"
    json_type = "number"
    python_types = (int, float)

    def __init__(self, *, minimum=None, maximum=None, **kwargs):
        super().__init__(**kwargs)
        self.minimum = minimum
        self.maximum = maximum

    def check(self, value, path, problems):
        if isinstance(value, bool) or not isinstance(value, self.python_types):
            self.add_type_problem(value, path, problems)
            return None
        # Comparisons with NaN are false, so NaN is rejected as well.
        at_least_minimum = self.minimum is None or value >= self.minimum
        at_most_maximum = self.maximum is None or value <= self.maximum
        if not (at_least_minimum and at_most_maximum and abs(value) != float("inf")):
            message = f"is not between {self.minimum} and {self.maximum}"
            problems.append(Problem(path=path, code=OPTION_RANGE, message=message))
        return value

    def json_schema(self):
        schema = {"type": self.json_type}
        if self.minimum is not None:
            schema["minimum"] = self.minimum
        if self.maximum is not None:
            schema["maximum"] = self.maximum
        return schema


class Integer(Number):
    """A whole number within inclusive bounds."""

    __slots__ = ()
    type_name = "a whole number"
    json_type = "integer"
    python_types = (int,)


class Boolean(Option):
    """True or false."""

    __slots__ = ()
    type_name = "true or false"

    def check(self, value, path, problems):
        if not isinstance(value, bool):
            self.add_type_problem(value, path, problems)
        return value

    def json_schema(self):
        return {"type": "boolean"}


class ListOf(Option):
    """A list whose items are all checked by one option."""

    __slots__ = ("item", "max_items")
    type_name = "a list"

    def __init__(self, item, *, max_items=10_000, **kwargs):
        super().__init__(**kwargs)
        self.item = item
        self.max_items = max_items

    def check(self, value, path, problems):
        if not isinstance(value, list):
            self.add_type_problem(value, path, problems)
            return []
        if len(value) > self.max_items:
            message = f"has more than {self.max_items} items"
            problems.append(Problem(path=path, code=OPTION_RANGE, message=message))
            return []
        return [
            self.item.check(entry, f"{path}[{index}]", problems)
            for index, entry in enumerate(value)
        ]

    def json_schema(self):
        return {
            "type": "array",
            "items": self.item.json_schema(),
            "maxItems": self.max_items,
        }


class MapOf(Option):
    """An object with arbitrary names whose values are all checked by one option.

    :param key_pattern: regular expression that each name has to match.
    """

    __slots__ = ("item", "key_pattern")
    type_name = "an object"

    def __init__(self, item, *, key_pattern=".+", **kwargs):
        super().__init__(**kwargs)
        self.item = item
        self.key_pattern = key_pattern

    def check(self, value, path, problems):
        if not isinstance(value, dict):
            self.add_type_problem(value, path, problems)
            return {}
        checked = {}
        for name, entry in value.items():
            if not re.fullmatch(self.key_pattern, name):
                message = f"has a name that does not match {self.key_pattern}"
                problems.append(
                    Problem(path=f"{path}.{name}", code=OPTION_FORMAT, message=message)
                )
                continue
            checked[name] = self.item.check(entry, f"{path}.{name}", problems)
        return checked

    def json_schema(self):
        return {
            "type": "object",
            "propertyNames": {"pattern": f"^(?:{self.key_pattern})$"},
            "additionalProperties": self.item.json_schema(),
        }


class Section(Option):
    """An object with a fixed set of named options.

    :param options: option by name.
    :param build: function that is called with the checked values as keyword arguments
        if the section has no problem. Without it, the checked dict is returned.
    """

    __slots__ = ("build", "options")
    type_name = "an object"

    def __init__(self, options, *, build=None, **kwargs):
        super().__init__(**kwargs)
        self.options = options
        self.build = build

    def check(self, value, path, problems):
        if not isinstance(value, dict):
            self.add_type_problem(value, path, problems)
            return None
        earlier_problem_count = len(problems)
        for name in value:
            if name not in self.options:
                problems.append(
                    Problem(
                        path=f"{path}.{name}",
                        code=OPTION_UNKNOWN,
                        message="is not a known option",
                    )
                )
        checked = {
            name: option.check(value[name], f"{path}.{name}", problems)
            if name in value
            else option.check_absent(f"{path}.{name}", problems)
            for name, option in self.options.items()
        }
        if len(problems) > earlier_problem_count or self.build is None:
            return checked
        return self.build(**checked)

    def check_absent(self, path, problems):
        if self.default is not REQUIRED:
            return super().check_absent(path, problems)
        # An absent section is treated as an empty one.
        return self.check({}, path, problems)

    def json_schema(self):
        required = [
            name
            for name, option in self.options.items()
            if option.default is REQUIRED and not isinstance(option, Section)
        ]
        properties = {}
        for name, option in self.options.items():
            schema = option.json_schema()
            if option.help:
                schema["description"] = option.help
            if option.default is not REQUIRED and not callable(option.default):
                schema["default"] = option.default
            properties[name] = schema
        return {
            "type": "object",
            "properties": properties,
            "required": required,
            "additionalProperties": False,
        }


class Nullable(Option):
    """Either null or a value of another option."""

    __slots__ = ("item",)

    def __init__(self, item, *, default=None, help=""):
        super().__init__(default=default, help=help or item.help, secret=item.secret)
        self.item = item

    def check(self, value, path, problems):
        if value is None:
            return None
        return self.item.check(value, path, problems)

    def json_schema(self):
        return {"anyOf": [{"type": "null"}, self.item.json_schema()]}
