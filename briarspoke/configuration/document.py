"""The configuration document: every resource under one version."""

from __future__ import annotations

import zlib

import cbor2

from briarspoke.configuration import codes
from briarspoke.configuration.resources import resource_classes
from briarspoke.configuration.snapshot import Configuration
from briarspoke.errors import CodedError, invariant

FORMAT = 1
STORE_KEY = "config"
WRITE_IDS_KEPT = 16
# The store accepts values up to 1 MB; the rest is reserve for its own encoding.
MAX_PACKED_BYTES = 900_000
# Bounds the memory that a damaged or hostile document can take.
MAX_UNPACKED_BYTES = 32_000_000


class ConfigurationTooLargeError(CodedError):
    """The packed document exceeds :data:`MAX_PACKED_BYTES`."""


class Entry:
    """One resource as stored.

    :param changed_at: version of the document that last changed it.
    :param value: the resource as a JSON object with every option.
    """

    __slots__ = ("_resource", "changed_at", "value")

    def __init__(self, *, changed_at, value):
        self.changed_at = changed_at
        self.value = value
        self._resource = None

    def resource(self, kind, problems):
        """Returns the checked resource, or None when a problem was added."""
        if self._resource is None:
            path = f"$.{kind}.{self.value['name']}"
            self._resource = resource_classes[kind].from_json(
                self.value, path, problems
            )
        return self._resource

    def __eq__(self, other):
        if not isinstance(other, Entry):
            return NotImplemented
        return (self.changed_at, self.value) == (other.changed_at, other.value)

    __hash__ = None


class ConfigurationDocument:
    """All resources at one version; never changed in place.

    :param version: grows by one with each accepted write.
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
        """Returns version 1 with the resources of ``{kind: [resource, ...]}``.

        :raises ValueError: if the value has problems.
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
        """Returns the :class:`Entry`, or None."""
        return self.entries.get((kind, name))

    def changed_at(self, kind, name):
        """Returns the version that last changed a resource, 0 if there is none."""
        entry = self.entries.get((kind, name))
        return entry.changed_at if entry else 0

    def entries_of(self, kind):
        """Returns the entries of a kind, sorted by name."""
        return [entry for (of, _), entry in sorted(self.entries.items()) if of == kind]

    def version_of_write(self, write_id):
        """Returns the version that a write created, None if it is not known."""
        return dict(self.write_ids).get(write_id)

    def remembers(self, version):
        """Returns whether the write of a version would be among ``write_ids``."""
        return self.version - WRITE_IDS_KEPT < version <= self.version

    def with_changes(self, values, deletions, write_id):
        """Returns the next version.

        :param values: new JSON object by (kind, name).
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
        """Asserts what holds for every version and returns the document.

        :raises InvariantError: if a version is out of order.
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

        :raises ValueError: if a stored resource has problems.
        """
        if self._configuration is None:
            problems = []
            resources = {f"{kind}_by_name": {} for kind in resource_classes}
            for (kind, name), entry in sorted(self.entries.items(), key=_key):
                found = entry.resource(kind, problems)
                resources[f"{kind}_by_name"][name] = found
            if problems:
                raise ValueError("; ".join(map(str, problems)))
            self._configuration = Configuration(version=self.version, **resources)
        return self._configuration

    def share(self, other):
        """Takes over the resources that another document has already checked.

        Checking 5,000 servers anew takes about 50 ms, during which a node serves
        nothing.
        """
        for key, entry in self.entries.items():
            known = other.entries.get(key)
            if known is not None and known == entry:
                self.entries[key] = known

    def as_json(self):
        """Returns ``{kind: [resource, ...]}``, sorted by name."""
        return {
            kind: [e.value for e in self.entries_of(kind)] for kind in resource_classes
        }

    def encode(self):
        """Returns the packed document as bytes.

        :raises ConfigurationTooLargeError: if the store would not accept it.
        """
        resources = {}
        for (kind, name), entry in sorted(self.entries.items()):
            resources.setdefault(kind, {})[name] = [entry.changed_at, entry.value]
        content = [
            FORMAT,
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
        """Returns the document of packed bytes.

        :raises ValueError: if the bytes are no valid document.
        """
        try:
            unpacked = _decompress(data)
            number, version, write_ids, resources = cbor2.loads(unpacked)
            if number != FORMAT:
                raise ValueError(f"format {number} is not known")
            if resources.keys() - resource_classes.keys():
                raise ValueError("a kind of resource is not known")
            document = cls(
                version=_whole(version),
                write_ids=[(_text(i), _whole(v)) for i, v in write_ids],
                entries={
                    (kind, _text(name)): Entry(
                        changed_at=_whole(changed_at), value=_resource(value, name)
                    )
                    for kind, by_name in resources.items()
                    for name, (changed_at, value) in by_name.items()
                },
            )
            return document.check()
        except ValueError:
            raise
        except Exception as error:
            raise ValueError(f"no configuration document: {error}") from error


def _key(item):
    return item[0]


def _decompress(data):
    decompressor = zlib.decompressobj()
    unpacked = decompressor.decompress(data, MAX_UNPACKED_BYTES)
    if not decompressor.eof or decompressor.unused_data:
        raise ValueError("the document is cut off, too large or has trailing data")
    return unpacked


def _whole(value):
    if isinstance(value, bool) or not isinstance(value, int) or value < 0:
        raise ValueError("a version is not a whole number")
    return value


def _text(value):
    if not isinstance(value, str):
        raise ValueError("a name is not a string")
    return value


def _resource(value, name):
    if not isinstance(value, dict) or value.get("name") != name:
        raise ValueError("a resource is not stored under its name")
    return value
