"""Changes to the configuration document and differences between its versions."""

from __future__ import annotations

from briarspoke.configuration import codes, validation
from briarspoke.configuration.resources import classes_by_kind
from briarspoke.schema import OPTION_TYPE, OPTION_UNKNOWN, Problem

# Expected version that matches any version of an existing resource.
ANY_VERSION = -1
# Options of a server that cannot change while it owns partitions: its grants can be
# revoked only by the controller of the old zone, at the old address and for the old
# service.
OPTIONS_FIXED_WHILE_OWNING = ("zone", "service", "address")


class Put:
    """Creates or replaces one resource.

    :param value: the resource as an unchecked JSON value.
    :param path: JSON path of the value in the operator's input, for problems.
    :param name: name in the request path, or None to use the name in the value.
    """

    __slots__ = ("kind", "name", "path", "value")

    def __init__(self, *, kind, value, path="$", name=None):
        self.kind = kind
        self.value = value
        self.path = path
        self.name = name


class Delete:
    """Removes one resource. A resource that does not exist is a problem."""

    __slots__ = ("kind", "name", "path")

    def __init__(self, *, kind, name, path="$"):
        self.kind = kind
        self.name = name
        self.path = path


class Change:
    """Puts and deletes that take effect atomically.

    :param write_id: unique identifier of this write.
    :param expected: expected version by (kind, name): 0 for an absent resource,
        :data:`ANY_VERSION` for any version. Other resources are not compared.
    :param replace: True removes every resource that the change does not put.
    :param expected_version: expected version of the whole document, or None.
    """

    __slots__ = (
        "deletes",
        "expected",
        "expected_version",
        "puts",
        "replace",
        "write_id",
    )

    def __init__(
        self,
        *,
        write_id,
        puts=(),
        deletes=(),
        expected=None,
        replace=False,
        expected_version=None,
    ):
        self.write_id = write_id
        self.puts = tuple(puts)
        self.deletes = tuple(deletes)
        self.expected = dict(expected or {})
        self.replace = replace
        self.expected_version = expected_version

    def affected_resources(self, document):
        """Returns (kind, name) of each resource that the change puts or deletes.

        :param document: document that the change applies to.
        """
        keys = {(put.kind, _name_of(put)) for put in self.puts}
        keys.update((delete.kind, delete.name) for delete in self.deletes)
        if self.replace:
            keys.update(document.entries)
        return keys


class Conflict:
    """A resource that is not at the expected version.

    ``kind`` and ``name`` are None for the whole document.
    """

    __slots__ = ("expected", "found", "kind", "name")

    def __init__(self, *, kind, name, expected, found):
        self.kind = kind
        self.name = name
        self.expected = expected
        self.found = found

    def __repr__(self):
        return f"<Conflict {self.kind}/{self.name} {self.expected} {self.found}>"

    def as_json(self):
        """Returns the conflict as a JSON object; version 0 means absent."""
        return {
            "kind": self.kind,
            "name": self.name,
            "expected_version": "any"
            if self.expected == ANY_VERSION
            else self.expected,
            "found_version": self.found,
        }


class Difference:
    """One resource that differs between two documents.

    :param before: the old JSON object, None for a new resource.
    :param after: the new JSON object, None for a deleted resource.
    """

    __slots__ = ("after", "before", "kind", "name")

    def __init__(self, *, kind, name, before, after):
        self.kind = kind
        self.name = name
        self.before = before
        self.after = after

    @property
    def action(self):
        """``create``, ``update`` or ``delete``."""
        if self.before is None:
            return "create"
        return "delete" if self.after is None else "update"

    def options(self):
        """Returns ``{path: (before, after)}`` of the options that differ."""
        found = {}
        _collect_differences("$", self.before, self.after, found)
        return found

    def as_json(self):
        """Returns the difference as a JSON object."""
        return {
            "kind": self.kind,
            "name": self.name,
            "action": self.action,
            "before": self.before,
            "after": self.after,
        }


class Plan:
    """Result of planning a change to a document.

    :param document: the next document; the old one if nothing differs; None if
        there are problems or conflicts.
    :param ownership_problems: problems of changes to servers that own partitions.
    """

    __slots__ = (
        "conflicts",
        "differences",
        "document",
        "ownership_problems",
        "problems",
    )

    def __init__(
        self,
        *,
        document=None,
        differences=(),
        problems=(),
        conflicts=(),
        ownership_problems=(),
    ):
        self.document = document
        self.differences = list(differences)
        self.problems = list(problems)
        self.conflicts = list(conflicts)
        self.ownership_problems = list(ownership_problems)


def plan(document, change, *, partitions_owned=None):
    """Returns the :class:`Plan` of a change without modifying the document.

    :param partitions_owned: function that returns the number of partitions that a
        server, given by name, owns. None skips the check for owners.
    """
    conflicts = _conflicts(document, change)
    if conflicts:
        return Plan(conflicts=conflicts)
    problems = []
    values, paths = _checked_values(change, problems)
    deletions = _deletions(document, change, values, problems)
    if problems:
        return Plan(problems=problems)
    differing = {
        key: value
        for key, value in values.items()
        if key not in document.entries or document.entries[key].value != value
    }
    if not differing and not deletions:
        return Plan(document=document)
    after = document.with_changes(differing, deletions, change.write_id)
    problems = validation.check(after.configuration(), paths=paths)
    problems += validation.check_transition(document, after, paths=paths)
    if problems:
        return Plan(problems=_drop_redundant(problems))
    found = differences(document, after)
    paths.update({(d.kind, d.name): d.path for d in change.deletes})
    ownership_problems = (
        _ownership_problems(found, paths, partitions_owned)
        if partitions_owned is not None
        else ()
    )
    return Plan(
        document=after, differences=found, ownership_problems=ownership_problems
    )


def differences(before, after):
    """Returns the list of :class:`Difference` between two documents."""
    found = []
    for key in sorted(before.entries.keys() | after.entries.keys()):
        old, new = before.entries.get(key), after.entries.get(key)
        old_value = old.value if old else None
        new_value = new.value if new else None
        if old_value != new_value:
            found.append(
                Difference(kind=key[0], name=key[1], before=old_value, after=new_value)
            )
    return found


def parse_puts(value, path, problems):
    """Returns the list of :class:`Put` of ``{kind: [resource, ...]}``.

    :param path: JSON path of the value.
    :param problems: list that problems are appended to.
    """
    puts = []
    for kind, entries in _entries_by_kind(value, path, problems):
        puts += [
            Put(kind=kind, value=entry, path=f"{path}.{kind}[{index}]")
            for index, entry in enumerate(entries)
        ]
    return puts


def parse_deletes(value, path, problems):
    """Returns the list of :class:`Delete` of ``{kind: [name, ...]}``.

    :param path: JSON path of the value.
    :param problems: list that problems are appended to.
    """
    deletes = []
    for kind, names in _entries_by_kind(value, path, problems):
        for index, name in enumerate(names):
            where = f"{path}.{kind}[{index}]"
            if isinstance(name, str):
                deletes.append(Delete(kind=kind, name=name, path=where))
            else:
                problems.append(
                    Problem(path=where, code=OPTION_TYPE, message="is not a string")
                )
    return deletes


def _entries_by_kind(value, path, problems):
    if not isinstance(value, dict):
        problems.append(
            Problem(path=path, code=OPTION_TYPE, message="is not an object")
        )
        return
    for kind, entries in value.items():
        if kind not in classes_by_kind:
            message = "is not a kind of resource"
            problems.append(
                Problem(path=f"{path}.{kind}", code=OPTION_UNKNOWN, message=message)
            )
        elif not isinstance(entries, list):
            problems.append(
                Problem(
                    path=f"{path}.{kind}", code=OPTION_TYPE, message="is not a list"
                )
            )
        else:
            yield kind, entries


def _name_of(put):
    if put.name is not None:
        return put.name
    name = put.value.get("name") if isinstance(put.value, dict) else None
    return name if isinstance(name, str) else ""


def _conflicts(document, change):
    conflicts = []
    expected = change.expected_version
    if expected is not None and expected != document.version:
        conflicts.append(
            Conflict(kind=None, name=None, expected=expected, found=document.version)
        )
    for (kind, name), version in sorted(change.expected.items()):
        found = document.changed_at(kind, name)
        if version == ANY_VERSION and found > 0:
            continue
        if found != version:
            conflicts.append(
                Conflict(kind=kind, name=name, expected=version, found=found)
            )
    return conflicts


def _checked_values(change, problems):
    values, paths = {}, {}
    for put in change.puts:
        value = put.value
        if isinstance(value, dict) and put.name is not None:
            value = {"name": put.name, **value}
        resource = classes_by_kind[put.kind].from_json(value, put.path, problems)
        if resource is None:
            continue
        key = (put.kind, resource.name)
        if put.name not in (None, resource.name):
            problems.append(
                Problem(
                    path=f"{put.path}.name",
                    code=codes.NAME_MISMATCH,
                    message=f"is not {put.name}",
                )
            )
        if key in values:
            problems.append(
                Problem(
                    path=f"{put.path}.name",
                    code=codes.DUPLICATE_NAME,
                    message=f"is also the name of {paths[key]}",
                )
            )
        values[key] = resource.as_json()
        paths[key] = put.path
    return values, paths


def _deletions(document, change, values, problems):
    deletions = set()
    for delete in change.deletes:
        key = (delete.kind, delete.name)
        if key in values:
            message = "is put by the same change"
            problems.append(
                Problem(path=delete.path, code=codes.DUPLICATE_NAME, message=message)
            )
        elif key not in document.entries:
            message = f"{delete.kind} has no {delete.name[:63]!r}"
            problems.append(
                Problem(
                    path=delete.path, code=codes.RESOURCE_NOT_FOUND, message=message
                )
            )
        deletions.add(key)
    if change.replace:
        deletions |= document.entries.keys() - values.keys()
    return deletions


def _ownership_problems(found, paths, partitions_owned):
    problems = []
    for difference in found:
        if difference.kind != "servers" or difference.action == "create":
            continue
        count = partitions_owned(difference.name)
        if not count:
            continue
        path = paths.get(("servers", difference.name), f"$.servers.{difference.name}")
        text = f"{difference.name} owns {count} partition(s); drain it first"
        if difference.action == "delete":
            changed = [path]
        else:
            changed = [
                f"{path}.{option}"
                for option in OPTIONS_FIXED_WHILE_OWNING
                if difference.before[option] != difference.after[option]
            ]
        problems += [
            Problem(path=where, code=codes.SERVER_OWNS_PARTITIONS, message=text)
            for where in changed
        ]
    return problems


def _drop_redundant(problems):
    # A reference to a deleted resource is reported both as unknown and as in use.
    # Only the latter is kept.
    in_use = {
        p.path for p in problems if p.code in (codes.ZONE_IN_USE, codes.SERVICE_IN_USE)
    }
    unknown = (codes.UNKNOWN_SERVICE_NAMED, codes.UNKNOWN_ZONE_NAMED)
    return [p for p in problems if not (p.path in in_use and p.code in unknown)]


def _collect_differences(path, before, after, found):
    if isinstance(before, dict) and isinstance(after, dict):
        for name in sorted(before.keys() | after.keys()):
            _collect_differences(
                f"{path}.{name}", before.get(name), after.get(name), found
            )
    elif before != after:
        found[path] = (before, after)
