from __future__ import annotations

import pytest

from briarspoke import schema
from briarspoke.configuration import codes
from briarspoke.configuration.changes import Change, Delete, Put, plan
from briarspoke.configuration.document import ConfigurationDocument
from briarspoke.configuration.validation import check_json

SERVER = {"name": "a", "service": "s", "zone": "z", "address": "10.0.0.1:80"}
BASE = {"zones": [{"name": "z"}], "services": [{"name": "s"}], "servers": [SERVER]}


def problems_of(value):
    return {(problem.path, problem.code) for problem in check_json(value)}


def service(**options):
    return {**BASE, "services": [{"name": "s", **options}]}


def shares(lookup, booking, bulk):
    values = {"lookup": lookup, "booking": booking, "bulk": bulk}
    return {"ranks": {rank: {"share": share} for rank, share in values.items()}}


def server(**options):
    return {**BASE, "servers": [{**SERVER, **options}]}


class TestCheck:
    """Guards against configurations that nodes cannot apply completely."""

    @pytest.mark.parametrize(
        ("value", "path", "code"),
        [
            (
                server(service="t"),
                "$.servers[0].service",
                codes.UNKNOWN_SERVICE_NAMED,
            ),
            (server(zone="y"), "$.servers[0].zone", codes.UNKNOWN_ZONE_NAMED),
            (
                server(address="10.0.0.1:0"),
                "$.servers[0].address",
                codes.INVALID_ADDRESS,
            ),
            (
                server(address="999.0.0.1:1"),
                "$.servers[0].address",
                codes.INVALID_ADDRESS,
            ),
            (
                {**BASE, "servers": [SERVER, {**SERVER, "name": "b"}]},
                "$.servers[1].address",
                codes.DUPLICATE_ADDRESS,
            ),
            (
                {**BASE, "servers": [SERVER, SERVER]},
                "$.servers[1].name",
                codes.DUPLICATE_NAME,
            ),
            (
                service(**shares(0.6, 0.3, 0.2)),
                "$.services[0].ranks",
                codes.SHARES_ABOVE_ONE,
            ),
            (
                service(**shares(0.0, 0.3, 0.2)),
                "$.services[0].ranks.lookup.share",
                codes.RANK_WITHOUT_SHARE,
            ),
            (
                service(rank_rules=[{"rank": "bulk"}], **shares(0.5, 0.3, 0.0)),
                "$.services[0].ranks.bulk.share",
                codes.RANK_WITHOUT_SHARE,
            ),
            (
                {**BASE, "limits": [{"name": "l", "service": "s"}]},
                "$.limits[0]",
                codes.LIMIT_WITHOUT_BOUND,
            ),
            (
                {
                    **BASE,
                    "limits": [
                        {"name": "l", "service": "s", "scope": "rank", "rate": 1}
                    ],
                },
                "$.limits[0].rank",
                codes.LIMIT_WITHOUT_RANK,
            ),
            (
                {**BASE, "limits": [{"name": "l", "service": "q", "rate": 1}]},
                "$.limits[0].service",
                codes.UNKNOWN_SERVICE_NAMED,
            ),
            (
                service(key={"source": "path", "name": "id"}),
                "$.services[0].key.name",
                schema.OPTION_FORMAT,
            ),
        ],
    )
    def test_each_problem_has_path_and_code(self, value, path, code):
        assert (path, code) in problems_of(value)

    def test_valid(self):
        assert problems_of(BASE) == set()
        # 0.7 + 0.2 + 0.1 is slightly below 1 and 0.1 + 0.2 + 0.7 slightly above.
        assert problems_of(service(**shares(0.1, 0.2, 0.7))) == set()
        # A rank that no request is assigned to needs no share.
        assert problems_of(service(**shares(0.5, 0.5, 0.0))) == set()

    def test_all_problems_at_once(self):
        # Guards against reporting only one problem per attempt of the operator.
        value = {
            "zones": [{"name": "Z"}],
            "services": [{"name": "s", "partitions": 0, "frogs": 1}],
            "servers": [{**SERVER, "zone": "y"}, {"name": "b"}],
            "frogs": [],
            "limits": {},
        }
        paths = {path for path, _ in problems_of(value)}
        assert paths == {
            "$.zones[0].name",
            "$.services[0].partitions",
            "$.services[0].frogs",
            "$.servers[0].zone",
            "$.servers[1].service",
            "$.servers[1].zone",
            "$.servers[1].address",
            "$.frogs",
            "$.limits",
        }

    @pytest.mark.parametrize("value", [None, [], 1, "x"])
    def test_value_is_not_an_object(self, value):
        assert problems_of(value) == {("$", codes.CALL_BODY_MALFORMED)}


class TestTransition:
    """Guards against changes that make keys or servers unreachable."""

    def problems(self, *, puts=(), deletes=(), replace=False):
        document = ConfigurationDocument.from_configuration(BASE)
        change = Change(write_id="w", puts=puts, deletes=deletes, replace=replace)
        planned = plan(document, change)
        assert planned.document is None or not planned.problems
        return {(problem.path, problem.code) for problem in planned.problems}

    def test_fixed_options(self):
        value = {"name": "s", "partitions": 8, "fenced": False}
        put = Put(kind="services", name="s", value=value)
        assert self.problems(puts=[put]) == {
            ("$.partitions", codes.PARTITIONS_CHANGED),
            ("$.fenced", codes.FENCED_CHANGED),
        }

    def test_deletion_of_resources_in_use(self):
        deletes = [
            Delete(kind="zones", name="z"),
            Delete(kind="services", name="s"),
        ]
        assert self.problems(deletes=deletes) == {
            ("$.servers.a.zone", codes.ZONE_IN_USE),
            ("$.servers.a.service", codes.SERVICE_IN_USE),
        }
        everything = [*deletes, Delete(kind="servers", name="a")]
        assert self.problems(deletes=everything) == set()

    def test_deletion_of_absent_resource(self):
        deletes = [Delete(kind="zones", name="y", path="$.delete.zones[0]")]
        assert self.problems(deletes=deletes) == {
            ("$.delete.zones[0]", codes.RESOURCE_NOT_FOUND)
        }

    def test_name_differs_from_path(self):
        put = Put(kind="zones", name="y", value={"name": "x"})
        assert self.problems(puts=[put]) == {("$.name", codes.NAME_MISMATCH)}

    def test_replace_removes_the_rest(self):
        document = ConfigurationDocument.from_configuration(BASE)
        put = Put(kind="zones", value={"name": "y"})
        planned = plan(document, Change(write_id="w", puts=[put], replace=True))
        assert set(planned.document.entries) == {("zones", "y")}
        assert {d.action for d in planned.differences} == {"create", "delete"}
