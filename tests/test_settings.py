from __future__ import annotations

from pathlib import Path

import pytest

from briarspoke import settings
from briarspoke.commands import check

VALUE = {
    "node": "entry-1",
    "zone": "poa",
    "store_url": "http://127.0.0.1:2379",
    "cluster_key": "0123456789abcdef",
}
EXAMPLES = sorted(Path(__file__).parents[1].glob("examples/*/*.json"))


class TestSettings:
    def paths(self, **options):
        return [p.path for p in settings.problems_of({**VALUE, **options})]

    def test_valid(self):
        assert settings.from_json(VALUE).admin_listen == "127.0.0.1:8082"

    def test_addresses(self):
        # Guards against accepting an address on which the process cannot listen: it
        # would fail after it has started to serve.
        assert self.paths(admin_listen="127.0.0.1:8080") == ["$.admin_listen"]
        assert self.paths(admin_listen="127.0.0.1:70000") == ["$.admin_listen"]
        assert self.paths(admin_listen="1.1.1.999:80") == ["$.admin_listen"]
        ports = dict.fromkeys(settings.LISTEN_OPTIONS, "127.0.0.1:0")
        assert self.paths(**ports) == []

    def test_tokens_are_unique(self):
        # Guards against two operators with the same token: changes of one would be
        # logged under the name of the other.
        operator = {"token": "t" * 16, "role": "reader"}
        operators = {"a": operator, "b": {**operator, "role": "writer"}}
        assert self.paths(operators=operators) == ["$.operators.b.token"]

    @pytest.mark.parametrize("value", [None, [], 1, "x", {}])
    def test_wrong_type(self, value):
        with pytest.raises(settings.InvalidValuesError):
            settings.from_json(value)


class TestExamples:
    """Guards against example files that are not valid."""

    @pytest.mark.parametrize(
        "path", EXAMPLES, ids=lambda p: f"{p.parent.name}-{p.stem}"
    )
    def test_check(self, path, capsys):
        assert check.run(path) == 0

    @pytest.mark.parametrize(
        ("name", "counts", "slots"),
        [
            (
                "granilite",
                {"tabela": 14, "orcamento": 8, "vistoria": 8, "sinal": 8},
                6,
            ),
            (
                "lavendelhaus",
                {"lager": 13, "abfuellung": 8, "etiketten": 6, "bestellung": 6},
                4,
            ),
        ],
    )
    def test_sizes(self, name, counts, slots):
        path = Path(__file__).parents[1] / "examples" / name / "configuration.json"
        servers = settings.read_json(path)["servers"]
        found = dict.fromkeys(counts, 0)
        for server in servers:
            found[server["service"]] += 1
            assert (server["slots"], server["connections"]) == (slots, 110)
        assert found == counts
