"""The configuration document, which holds all resources at one version."""

from __future__ import annotations

import zlib

import cbor2

from briarspoke.configuration import codes
from briarspoke.configuration.resources import classes_by_kind
from briarspoke.configuration.snapshot import Configuration
from briarspoke.errors import CodedError, invariant

FORMAT_VERSION = 1
STORE_KEY = "config"
WRITE_IDS_KEPT = 16
# The store accepts values up to 1 MB; the difference is reserved for its encoding.
MAX_PACKED_BYTES = 900_000
# Limits the memory that a damaged or malicious document can take.
MAX_UNPACKED_BYTES = 32_000_000


class ConfigurationTooLargeError(CodedError):
    """The packed document exceeds :data:`MAX_PACKED_BYTES`."""


class Entry:
    """One resource in the document.

    :param changed_at: version of the document that last changed the resource.
    :param value: the resource as a JSON object with every option.
    """

    __slots__ = ("_resource", "changed_at", "value")

    def __init__(self, *, changed_at, value):
        self.changed_at = changed_at
        self.value = value
        self._resource = None

    def resource(self, kind, problems):
        """Returns the checked resource, or None if it has problems.

        :param problems: list that problems are appended to.
        """
        if self._resource is None:
            path = f"$.{kind}.{self.value['name']}"
            self._resource = classes_by_kind[kind].from_json(self.value, path, problems)
        return self._resource

    def __eq__(self, other):
        if not isinstance(other, Entry):
            return NotImplemented
        return (self.changed_at, self.value) == (other.changed_at, other.value)

    __hash__ = None


class ConfigurationDocument:
    """All resources at one version; a change creates a new document.

    :param version: number that grows by one with each accepted write.
    :param write_ids: pairs (write identifier, version) of the last
        :data:`WRITE_IDS_KEPT` writes, newest last.
    :param entries: :class:`Entry` by (kind, name).
    """

    __slots__ = ("_configuration", "entries", "version", "write_ids")

    def __init__(self, *, version=0, write_ids=(), entries=None):
        self.version = version
        self.write_ids = tuple(write_ids)
        self.entries = entries or {}
        self._configuration = None

    def __repr__(self):
        return f"<ConfigurationDocument {self.version}, {len(self.entries)} resources>"

    @classmethod
    def from_configuration(cls, value, write_id="initial"):
        """Returns a document at version 1 from ``{kind: [resource, ...]}``.

        :raises ValueError: if a resource is invalid.
        """
        problems = []
        configuration = Configuration.from_json(value, problems)
        if problems:
            raise ValueError("; ".join(map(str, problems)))
        values = {
            (kind, entry["name"]): entry
            for kind, entries in configuration.as_json().items()
            for entry in entries
        }
        return cls().with_changes(values, (), write_id)

    def entry(self, kind, name):
        """Returns the :class:`Entry` of a resource, or None."""
        return self.entries.get((kind, name))

    def changed_at(self, kind, name):
        """Returns the version that last changed a resource, 0 if it does not exist."""
        entry = self.entries.get((kind, name))
        return entry.changed_at if entry else 0

    def entries_of(self, kind):
        """Returns the entries of a kind, sorted by name."""
        return [
            entry
            for (entry_kind, _), entry in sorted(self.entries.items())
            if entry_kind == kind
        ]

    def version_of_write(self, write_id):
        """Returns the version that a write created, or None if it is unknown."""
        return dict(self.write_ids).get(write_id)

    def retains_write(self, version):
        """Returns whether ``write_ids`` still covers the write of a version."""
        return self.version - WRITE_IDS_KEPT < version <= self.version

    def with_changes(self, values, deletions, write_id):
        """Returns a document at the next version.

        :param values: new JSON objects by (kind, name).
        :param deletions: (kind, name) of resources to remove.
        :param write_id: unique identifier of this write.
        """
        version = self.version + 1
        entries = dict(self.entries)
        for key in deletions:
            entries.pop(key, None)
        for key, value in values.items():
            entries[key] = Entry(changed_at=version, value=value)
        write_ids = (*self.write_ids, (write_id, version))[-WRITE_IDS_KEPT:]
        return ConfigurationDocument(
            version=version, write_ids=write_ids, entries=entries
        ).check()

    def check(self):
        """Checks the invariants of the document and returns it.

        :raises InvariantError: if versions have gaps or exceed the document's.
        """
        code = codes.CONFIGURATION_VERSION_NOT_GROWING
        versions = [version for _, version in self.write_ids]
        expected = range(self.version - len(versions) + 1, self.version + 1)
        invariant(versions == list(expected), "write identifiers have gaps", code)
        invariant(
            all(0 < e.changed_at <= self.version for e in self.entries.values()),
            "a resource is newer than the document",
            code,
        )
        return self

    def configuration(self):
        """Returns the :class:`Configuration` that nodes apply.

        :raises ValueError: if a stored resource is invalid.
        """
        if self._configuration is None:
            problems = []
            resources = {f"{kind}_by_name": {} for kind in classes_by_kind}
            for (kind, name), entry in sorted(self.entries.items(), key=_entry_key):
                found = entry.resource(kind, problems)
                resources[f"{kind}_by_name"][name] = found
            if problems:
                raise ValueError("; ".join(map(str, problems)))
            self._configuration = Configuration(version=self.version, **resources)
        return self._configuration

    def reuse_checked_resources(self, other):
        """Reuses equal entries of another document, with their checked resources.

        Checking 5,000 servers takes about 50 ms, during which the node cannot
        serve requests.
        """
        for key, entry in self.entries.items():
            known = other.entries.get(key)
            if known is not None and known == entry:
                self.entries[key] = known

    def as_json(self):
        """Returns ``{kind: [resource, ...]}``, sorted by name."""
        return {
            kind: [e.value for e in self.entries_of(kind)] for kind in classes_by_kind
        }

    def encode(self):
        """Returns the document as compressed CBOR.

        :raises ConfigurationTooLargeError: if it exceeds :data:`MAX_PACKED_BYTES`.
        """
        resources = {}
        for (kind, name), entry in sorted(self.entries.items()):
            resources.setdefault(kind, {})[name] = [entry.changed_at, entry.value]
        content = [
            FORMAT_VERSION,
            self.version,
            [list(pair) for pair in self.write_ids],
            resources,
        ]
        packed = zlib.compress(cbor2.dumps(content), 6)
        if len(packed) > MAX_PACKED_BYTES:
            raise ConfigurationTooLargeError(
                codes.CONFIGURATION_TOO_LARGE,
                f"{len(packed)} bytes of at most {MAX_PACKED_BYTES}",
            )
        return packed

    @classmethod
    def decode(cls, data):
        """Returns the document decoded from compressed CBOR.

        :raises ValueError: if the bytes are not a valid document.
        """
        try:
            unpacked = _decompress(data)
            format_version, version, write_ids, resources = cbor2.loads(unpacked)
            if format_version != FORMAT_VERSION:
                raise ValueError(f"document format {format_version} is unknown")
            if resources.keys() - classes_by_kind.keys():
                raise ValueError("the document has an unknown kind of resource")
            document = cls(
                version=_require_whole_number(version),
                write_ids=[
                    (_require_string(i), _require_whole_number(v)) for i, v in write_ids
                ],
                entries={
                    (kind, _require_string(name)): Entry(
                        changed_at=_require_whole_number(changed_at),
                        value=_require_resource(value, name),
                    )
                    for kind, by_name in resources.items()
                    for name, (changed_at, value) in by_name.items()
                },
            )
            return document.check()
        except ValueError:
            raise
        except Exception as error:
            raise ValueError(f"malformed configuration document: {error}") from error


def _entry_key(item):
    return item[0]


def _decompress(data):
    decompressor = zlib.decompressobj()
    unpacked = decompressor.decompress(data, MAX_UNPACKED_BYTES)
    if not decompressor.eof or decompressor.unused_data:
        raise ValueError("the document is truncated, too large or has trailing data")
    return unpacked


def _require_whole_number(value):
    if isinstance(value, bool) or not isinstance(value, int) or value < 0:
        raise ValueError("a version is not a non-negative integer")
    return value


def _require_string(value):
    if not isinstance(value, str):
        raise ValueError("a name is not a string")
    return value


def _require_resource(value, name):
    if not isinstance(value, dict) or value.get("name") != name:
        raise ValueError("a resource is not stored under its name")
    return value
